package keeper

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// smallestDisk is the smallest disk of a keeper that large configurations must not fill by half.
const smallestDisk identifier.Bytes = 128_000_000

// snapshotsOnDisk are the current and the previous snapshot and the file of the next one.
const snapshotsOnDisk = 3

// TestLargeChangesFitTheDisk guards against keepers whose disks are filled by large configurations:
// the journal keeps two snapshots while it writes a third, and drops its log by whole segments.
func TestLargeChangesFitTheDisk(t *testing.T) {
	machine := newMachine()
	for number := range 200 {
		machine.execute(identifier.LogIndex(number), largeChange(number+1))
	}
	settings := replicator.DefaultSettings()
	needed := snapshotsOnDisk*identifier.Bytes(len(machine.Snapshot())) + journaler.DefaultSegmentBytes +
		settings.SnapshotEveryBytes + settings.MaxUncommittedBytes + 2*settings.MaxEntryBytes
	if needed > smallestDisk/2 {
		t.Errorf("the journal needs up to %d bytes, want at most %d", needed, smallestDisk/2)
	}
}
