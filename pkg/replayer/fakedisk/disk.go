// Package fakedisk is the disk of a keeper in virtual time: writes become durable
// in order, one sync after the other, and outlive the process.
package fakedisk

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// Disk keeps what was synced. Set the exported fields before use.
type Disk struct {
	// Sync is how long one sync takes.
	Sync time.Duration
	// After runs an action later.
	After func(delay time.Duration, action func())

	restored replicator.Restored
	waiting  []Write
	syncing  bool
	life     int
}

// Write is one thing to write; exactly one of Persist and Snapshot is set. Done is
// called once it is durable, unless the process died before.
type Write struct {
	Persist  *replicator.Persist
	Snapshot *replicator.Snapshot
	Done     func()
}

// Restored returns what a starting process finds.
func (disk *Disk) Restored() replicator.Restored { return disk.restored }

// Crash drops what was not synced yet.
func (disk *Disk) Crash() {
	disk.life++
	disk.waiting = nil
	disk.syncing = false
}

// Write queues a write. Those that wait while a sync runs share the next one.
func (disk *Disk) Write(write Write) {
	disk.waiting = append(disk.waiting, write)
	disk.sync()
}

func (disk *Disk) sync() {
	if disk.syncing || len(disk.waiting) == 0 {
		return
	}
	disk.syncing = true
	group, life := disk.waiting, disk.life
	disk.waiting = nil
	disk.After(disk.Sync, func() {
		if disk.life != life {
			return
		}
		for _, write := range group {
			disk.apply(write)
			write.Done()
		}
		disk.syncing = false
		disk.sync()
	})
}

func (disk *Disk) apply(write Write) {
	if write.Snapshot != nil {
		disk.restored.Snapshot = write.Snapshot
		disk.truncateBefore(write.Snapshot.Index + 1)
		return
	}
	persist := write.Persist
	if persist.Snapshot != nil {
		disk.restored.Snapshot = persist.Snapshot
		disk.restored.Entries = nil
	}
	if persist.TruncateFrom > 0 {
		disk.truncateFrom(persist.TruncateFrom)
	}
	disk.restored.Entries = append(disk.restored.Entries, persist.Entries...)
	disk.restored.HardState = persist.HardState
}

func (disk *Disk) truncateFrom(index identifier.LogIndex) {
	for position, entry := range disk.restored.Entries {
		if entry.Index >= index {
			disk.restored.Entries = disk.restored.Entries[:position:position]
			return
		}
	}
}

func (disk *Disk) truncateBefore(index identifier.LogIndex) {
	for position, entry := range disk.restored.Entries {
		if entry.Index >= index {
			disk.restored.Entries = disk.restored.Entries[position:]
			return
		}
	}
	disk.restored.Entries = nil
}
