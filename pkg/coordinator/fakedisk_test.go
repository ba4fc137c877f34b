package coordinator_test

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// syncTime is how long a keeper's disk takes.
const syncTime = 4 * time.Millisecond

// fakeDisk keeps what a keeper has synced; what is under way when the process ends
// is lost. It is never long enough for snapshots.
type fakeDisk struct {
	hardState replicator.HardState
	entries   []replicator.Entry
}

// persist writes and syncs.
func (network *network) persist(host *fakeHost, output *coordinator.Persist) {
	generation := host.generation
	network.at(syncTime, func() {
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

// makeKeepers starts all hosts anew as keepers.
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
