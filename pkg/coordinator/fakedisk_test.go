package coordinator_test

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// usualSyncTime is how long a sync of a keeper's disk takes.
const usualSyncTime = 4 * time.Millisecond

// fakeDisk holds what a keeper has synced; writes in progress when the process ends are lost. The
// log never grows long enough for snapshots.
type fakeDisk struct {
	hardState replicator.HardState
	entries   []replicator.Entry
	// joiningAs is the incarnation under which the keeper joined with this disk first.
	joiningAs identifier.Incarnation
}

// persist writes to the host's disk after a sync, unless its process has ended by then.
func (network *network) persist(host *fakeHost, output *coordinator.Persist) {
	generation := host.generation
	network.at(network.syncTime, func() {
		if host.generation != generation {
			return
		}
		host.disk.write(&output.Persist)
		network.tick(host, &coordinator.Persisted{Sequence: output.Persist.Sequence})
	})
}

func (disk *fakeDisk) write(persist *replicator.Persist) {
	disk.hardState = persist.HardState
	if persist.TruncateFrom > 0 {
		disk.entries = slices.DeleteFunc(disk.entries, func(entry replicator.Entry) bool {
			return entry.Index >= persist.TruncateFrom
		})
	}
	disk.entries = append(disk.entries, persist.Entries...)
}

func (disk *fakeDisk) restored() *coordinator.Restored {
	return &coordinator.Restored{Restored: replicator.Restored{
		HardState: disk.hardState, Entries: slices.Clone(disk.entries),
	}}
}

// makeKeepers restarts all hosts as keepers.
func (network *network) makeKeepers() {
	for _, host := range network.hosts {
		network.crashHost(host)
		host.keeper = true
	}
	for _, host := range network.hosts {
		network.startHost(host)
	}
	network.advance(5 * time.Second)
}
