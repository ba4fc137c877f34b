package coordinator_test

import (
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// fakeDisk is a keeper's journal. What is written is synced at once.
type fakeDisk struct {
	hard     replicator.HardState
	snapshot *replicator.Snapshot
	entries  []replicator.Entry
}

func (disk *fakeDisk) restored() []coordinator.Input {
	if disk == nil {
		return nil
	}
	restored := replicator.Restored{HardState: disk.hard, Snapshot: disk.snapshot, Entries: append([]replicator.Entry(nil), disk.entries...)}
	return []coordinator.Input{&coordinator.Restored{Restored: restored}}
}

func (disk *fakeDisk) persist(persist replicator.Persist) {
	if persist.Snapshot != nil {
		disk.snapshot = persist.Snapshot
		disk.entries = nil
	}
	if persist.TruncateFrom > 0 {
		disk.dropFrom(persist.TruncateFrom)
	}
	disk.entries = append(disk.entries, persist.Entries...)
	disk.hard = persist.HardState
}

func (disk *fakeDisk) dropFrom(index identifier.LogIndex) {
	for position, entry := range disk.entries {
		if entry.Index >= index {
			disk.entries = disk.entries[:position]
			return
		}
	}
}
