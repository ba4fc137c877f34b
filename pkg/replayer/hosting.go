package replayer

import "github.com/stoathitch/stoathitch/pkg/coordinator"

// newCoordinator makes the very host that the daemon runs.
func (replay *replay) newCoordinator(host *entryHost) *coordinator.Coordinator {
	return &coordinator.Coordinator{Self: describeHost(host), Settings: replay.settings}
}

func describeHost(host *entryHost) coordinator.Host {
	return coordinator.Host{ID: host.id, FailureDomain: host.domain}
}

func peerConnected(host *entryHost) coordinator.Input {
	return &coordinator.PeerConnected{Host: describeHost(host)}
}

func peerDisconnected(host *entryHost) coordinator.Input {
	return &coordinator.PeerDisconnected{Host: describeHost(host)}
}
