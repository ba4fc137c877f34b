package replicator

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// fullHistory is a state machine whose snapshot is as large as one with a full history of configurations.
type fullHistory struct{ *register }

func (machine fullHistory) Snapshot() []byte {
	return append(machine.register.Snapshot(), make([]byte, 8<<20)...)
}

func (machine fullHistory) Restore(data []byte) error { return machine.register.Restore(data[:24]) }

// Guards against a keeper that gets one snapshot after the other and never catches up while large entries
// are accepted, since the leader keeps less data behind its snapshot than is accepted while one is sent.
// It was cut off for some seconds; a round trip takes 60 ms, and a change of 400 KiB is made each 300 ms.
func TestKeeperCatchesUpWhileLargeEntriesAreAccepted(t *testing.T) {
	simulation := newSimulation(3, 3, DefaultSettings())
	simulation.oneWay = 30 * time.Millisecond
	for _, keeper := range simulation.keepers {
		keeper.replicator.StateMachine = fullHistory{keeper.register}
	}
	simulation.runFor(3 * time.Second)
	leader := simulation.leader()
	var away *keeper
	for _, keeper := range simulation.keepers {
		if keeper != leader {
			away = keeper
		}
	}
	installed := 0
	var chunks identifier.Bytes
	simulation.onSend = func(_ identifier.HostID, send Send) {
		if send.Message.SnapshotChunk != nil && send.To == away.host {
			chunks += identifier.Bytes(len(send.Message.SnapshotChunk.Data))
		}
	}
	last := away.replicator.snapshot.Index
	propose := func(count int) {
		for range count {
			simulation.input(leader, Proposed{Handle: Handle(simulation.steps) + 1<<32, Data: largeEntry()})
			simulation.runFor(300 * time.Millisecond)
			if now := away.replicator.snapshot.Index; now != last {
				installed, last = installed+1, now
			}
		}
	}
	simulation.isolate(away.host)
	propose(60)
	simulation.heal()
	const limit = 60 * time.Second
	for range int(limit / (300 * time.Millisecond)) {
		propose(1)
		if away.replicator.hard.Commit+3 >= leader.replicator.hard.Commit {
			return
		}
	}
	t.Errorf("after %v the keeper lacks %d entries; it took %d snapshots, %d MiB of chunks were sent; violations %v", limit,
		leader.replicator.hard.Commit-away.replicator.hard.Commit, installed, chunks>>20, simulation.oracle.violations)
}
