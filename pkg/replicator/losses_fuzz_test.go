package replicator

import (
	"encoding/binary"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// lossSettings draws bounds in bytes that a few entries reach.
func lossSettings(t *rapid.T) Settings {
	settings := fuzzSettings(t)
	drawBytes := func(name string, most int) identifier.Bytes {
		return identifier.Bytes(rapid.IntRange(1, most).Draw(t, name))
	}
	settings.MinCopies = 2
	settings.MaxEntryBytes = 4 << 10
	settings.MaxBatchBytes = drawBytes("batch bytes", 8<<10)
	settings.MaxInFlightBytes = drawBytes("in-flight bytes", 16<<10)
	settings.MaxUncommittedBytes = drawBytes("uncommitted bytes", 64<<10)
	settings.SnapshotEveryBytes = drawBytes("snapshot bytes", 32<<10)
	settings.BytesKeptBehindSnapshot = drawBytes("kept bytes", 8<<10)
	settings.SnapshotChunkBytes = drawBytes("chunk bytes", 200)
	return settings
}

// proposeSized proposes entries of drawn sizes up to and one byte beyond the bound at every leader.
func (workload *workload) proposeSized(t *rapid.T) {
	for _, keeper := range workload.keepers {
		if !keeper.alive || keeper.replicator.Role() != RoleLeader {
			continue
		}
		var inputs []Input
		for range rapid.IntRange(1, 5).Draw(t, "entries") {
			bound := int(workload.settings.MaxEntryBytes)
			size := rapid.SampledFrom([]int{8, 100, bound / 2, bound, bound + 1}).Draw(t, "size")
			handle := workload.begin(registerInput{write: true, value: uint64(workload.handle) + 1})
			data := make([]byte, size)
			binary.LittleEndian.PutUint64(data, uint64(handle))
			inputs = append(inputs, Proposed{Handle: handle, Data: data})
		}
		workload.input(keeper, inputs...)
	}
}

// disturb proposes for a drawn time, in which a disk may refuse writes and accept them again, and a
// keeper may be cut off.
func (workload *workload) disturb(t *rapid.T) {
	workload.sync = time.Duration(rapid.SampledFrom([]int{4, 4, 15}).Draw(t, "sync")) * time.Millisecond
	refusing := workload.drawKeeper(t, "refusing")
	refusing.disk.refuses = rapid.Bool().Draw(t, "refuses")
	if rapid.Bool().Draw(t, "cut off") {
		workload.isolate(workload.drawKeeper(t, "cut").host)
	}
	for range rapid.IntRange(1, 12).Draw(t, "proposals") {
		workload.proposeSized(t)
		workload.readEverywhere()
		workload.runFor(time.Duration(rapid.SampledFrom([]int{1, 5, 20, 300}).Draw(t, "pause")) * time.Millisecond)
	}
	if rapid.Bool().Draw(t, "accepts writes") {
		workload.acceptWrites(refusing)
	}
}

func (workload *workload) drawKeeper(t *rapid.T, label string) *keeper {
	return workload.keepers[rapid.IntRange(0, len(workload.keepers)-1).Draw(t, label)]
}

// losePower ends all keepers at once, empties the disk of one and starts them again at drawn times.
// A second disk is lost only once the first keeper is a voter again, so one copy of each accepted
// entry remains.
func (workload *workload) losePower(t *rapid.T, lost *keeper) *keeper {
	if lost == nil || !lost.joining {
		lost = workload.drawKeeper(t, "lost")
	}
	for _, keeper := range workload.keepers {
		if keeper.alive {
			workload.crash(keeper)
		}
	}
	workload.loseDisk(lost)
	if rapid.Bool().Draw(t, "heals") {
		workload.heal()
	}
	for _, keeper := range workload.keepers {
		incarnation := keeper.incarnation
		back := time.Duration(rapid.SampledFrom([]int{0, 10, 400, 2000}).Draw(t, "back")) * time.Millisecond
		workload.schedule(workload.now+back, func() {
			if !keeper.alive && keeper.incarnation == incarnation {
				workload.start(keeper)
			}
		})
	}
	return lost
}

// loseLeader ends the process of the next leader for a drawn time, at a drawn moment while the log is
// replayed to the keeper without its disk. Another keeper may be cut off until then.
func (workload *workload) loseLeader(t *rapid.T) {
	for range 5000 {
		if workload.leader() != nil {
			break
		}
		workload.runFor(time.Millisecond)
	}
	leader := workload.leader()
	if leader == nil || rapid.IntRange(0, 3).Draw(t, "leader stays") == 0 {
		workload.runFor(time.Duration(rapid.IntRange(0, 6000).Draw(t, "calm")) * time.Millisecond)
		return
	}
	if cut := workload.drawKeeper(t, "cut from the leader"); cut != leader {
		workload.isolate(cut.host)
	}
	moment := rapid.SampledFrom([]int{20, 150, 500, 4000}).Draw(t, "scale")
	workload.runFor(time.Duration(rapid.IntRange(0, moment).Draw(t, "until the leader is lost")) * time.Millisecond)
	workload.crash(leader)
	incarnation := leader.incarnation
	back := time.Duration(rapid.IntRange(0, 5000).Draw(t, "leader back")) * time.Millisecond
	workload.schedule(workload.now+back, func() {
		if !leader.alive && leader.incarnation == incarnation {
			workload.start(leader)
		}
	})
	workload.heal()
	workload.runFor(time.Duration(rapid.IntRange(0, 5000).Draw(t, "after")) * time.Millisecond)
}

// TestDiskAndPowerLosses guards against the loss of accepted entries and against keepers that elect
// nobody: one disk is lost at the moment when all other keepers lose power, twice in one run,
// with entries of all sizes and disks that refuse writes for a while.
func TestDiskAndPowerLosses(t *testing.T) {
	fixedChecks("150")
	var total tally
	rapid.Check(t, func(t *rapid.T) {
		workload := newWorkload(rapid.Uint64().Draw(t, "seed"), 3, lossSettings(t))
		workload.maintainMembers()
		workload.runFor(3 * time.Second)
		var lost *keeper
		for range 2 {
			workload.disturb(t)
			lost = workload.losePower(t, lost)
			workload.loseLeader(t)
			if rapid.Bool().Draw(t, "repaired") {
				workload.heal()
				workload.runFor(5 * time.Second)
			}
		}
		workload.verifyRecovery()
		for _, keeper := range workload.keepers {
			if keeper.joining {
				workload.oracle.addViolation("%s is no voter after all faults ended", keeper.host)
			}
		}
		if len(workload.oracle.violations) > 0 {
			t.Fatal(workload.oracle.violations)
		}
		total.add(workload)
	})
	t.Logf("%+v", total)
}
