package replayer

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replayer/fakedisk"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// keepers is how many hosts of a deployment have a disk.
const keepers = 3

// newCoordinator makes the very host that the daemon runs.
func (replay *replay) newCoordinator(host *entryHost) *coordinator.Coordinator {
	created := &coordinator.Coordinator{
		Self:     host.member(),
		Seed:     replay.random.Uint64(),
		Settings: replay.settings,
	}
	for _, other := range replay.hosts {
		if other != host {
			created.Seeds = append(created.Seeds, other.member())
		}
	}
	return created
}

func (host *entryHost) member() gossiper.Member {
	member := gossiper.Member{
		Host:          host.id,
		FailureDomain: host.domain,
		Roles:         []gossiper.Role{gossiper.RoleEntry},
		Addresses:     gossiper.Addresses{Callers: string(host.id), BackendServers: string(host.id), Peers: string(host.id)},
		Incarnation:   identifier.Incarnation(host.incarnation),
	}
	if host.disk != nil {
		member.Roles = append(member.Roles, gossiper.RoleKeeper)
	}
	return member
}

// addDisks makes keepers of the first host of each failure domain, then of the
// second ones, until there are enough.
func (replay *replay) addDisks() {
	perDomain := replay.trace.Deployment.EntryHostsPerFailureDomain
	order := slices.Clone(replay.hosts)
	slices.SortStableFunc(order, func(first, second *entryHost) int {
		return slices.Index(replay.hosts, first)%perDomain - slices.Index(replay.hosts, second)%perDomain
	})
	for _, host := range order[:min(keepers, len(order))] {
		host.disk = &fakedisk.Disk{Sync: replay.trace.Deployment.SyncDuration, After: replay.after}
	}
}

// mount hands a starting keeper what its disk holds, before anything else.
func (process *hostProcess) mount() {
	if disk := process.host.disk; disk != nil {
		process.post(&coordinator.Restored{Restored: disk.Restored()})
	}
}

func (process *hostProcess) persist(persist replicator.Persist) {
	process.host.disk.Write(fakedisk.Write{Persist: &persist, Done: func() {
		process.post(&coordinator.Persisted{Sequence: persist.Sequence})
	}})
}

func (process *hostProcess) saveSnapshot(snapshot replicator.Snapshot) {
	process.host.disk.Write(fakedisk.Write{Snapshot: &snapshot, Done: func() {
		process.post(&coordinator.SnapshotSaved{Index: snapshot.Index})
	}})
}
