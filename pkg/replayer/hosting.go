package replayer

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replayer/fakedisk"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// maxKeepers is the number of hosts of a deployment that have a disk, if it has as many hosts.
const maxKeepers = 3

// newCoordinator creates the same coordinator that the daemon runs.
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
		Capacity:      host.capacity,
	}
	if host.disk != nil {
		member.Roles = append(member.Roles, gossiper.RoleKeeper)
	}
	return member
}

// addDisks makes the first host of each failure domain a keeper, then the second hosts,
// until there are maxKeepers.
func (replay *replay) addDisks() {
	perDomain := replay.trace.Deployment.EntryHostsPerFailureDomain
	order := slices.Clone(replay.hosts)
	slices.SortStableFunc(order, func(first, second *entryHost) int {
		return slices.Index(replay.hosts, first)%perDomain - slices.Index(replay.hosts, second)%perDomain
	})
	for _, host := range order[:min(maxKeepers, len(order))] {
		host.disk = &fakedisk.Disk{Sync: replay.trace.Deployment.SyncDuration, After: replay.after}
	}
}

// restoreFromDisk passes the disk's content to a starting keeper as its first input.
func (process *hostProcess) restoreFromDisk() {
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
