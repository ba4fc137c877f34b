// Package fakedisk simulates the disk of a keeper in virtual time. Writes become durable
// in order, one sync after the other, and survive a crash of the process.
package fakedisk

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// Disk keeps the synced log and snapshot of a keeper. Set the exported fields before use.
type Disk struct {
	// Sync is how long one sync takes.
	Sync time.Duration
	// After schedules an action after a delay of virtual time.
	After func(delay time.Duration, action func())

	restored    replicator.Restored
	waiting     []Write
	syncing     bool
	incarnation int
}

// Write is one write request; exactly one of Persist and Snapshot is set. Done is
// called once the write is durable, unless the process crashed before.
type Write struct {
	Persist  *replicator.Persist
	Snapshot *replicator.Snapshot
	Done     func()
}

// Restored returns the durable state that a starting process reads.
func (disk *Disk) Restored() replicator.Restored { return disk.restored }

// Crash drops the writes that are not synced yet.
func (disk *Disk) Crash() {
	disk.incarnation++
	disk.waiting = nil
	disk.syncing = false
}

// Write queues a write. Writes that are queued while a sync runs share the next sync.
func (disk *Disk) Write(write Write) {
	disk.waiting = append(disk.waiting, write)
	disk.sync()
}

func (disk *Disk) sync() {
	if disk.syncing || len(disk.waiting) == 0 {
		return
	}
	disk.syncing = true
	group, incarnation := disk.waiting, disk.incarnation
	disk.waiting = nil
	disk.After(disk.Sync, func() {
		if disk.incarnation != incarnation {
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
