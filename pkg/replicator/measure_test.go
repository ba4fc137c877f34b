package replicator

import (
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestFailoverStaysUnderTwoSeconds measures, in virtual time, from the loss of the leader to
// the next accepted write, at 1 ms one-way delay and 4 ms per sync.
func TestFailoverStaysUnderTwoSeconds(t *testing.T) {
	var gaps []time.Duration
	for seed := range uint64(500) {
		workload := newWorkload(seed, 3, DefaultSettings())
		workload.runFor(3*time.Second + time.Duration(seed)*time.Millisecond)
		workload.crash(workload.leader())
		lostAt := workload.now
		accepted := workload.oracle.accepted
		for workload.oracle.accepted == accepted && workload.now < lostAt+10*time.Second {
			workload.runFor(time.Millisecond)
			if leader := workload.leader(); leader != nil {
				workload.propose(leader, 1)
			}
		}
		gaps = append(gaps, workload.now-lostAt)
	}
	slices.Sort(gaps)
	count := len(gaps)
	t.Logf("leader lost to next accepted write, %d losses: p50 %v p99 %v max %v", count, gaps[count/2], gaps[count*99/100], gaps[count-1])
	if gaps[count-1] >= 2*time.Second {
		t.Errorf("slowest failover took %v", gaps[count-1])
	}
}

// TestIdleBytes measures the bytes that idle keepers send, without the transport's framing.
func TestIdleBytes(t *testing.T) {
	const period = 60 * time.Second
	const budget = 1000 // bytes per second of the busiest keeper; the whole daemon has 9,000
	for _, hosts := range []int{3, 5, 12} {
		workload := newWorkload(1, hosts, DefaultSettings())
		workload.runFor(5 * time.Second)
		sent := make(map[identifier.HostID]int)
		received := make(map[identifier.HostID]int)
		workload.onSend = func(from identifier.HostID, send Send) {
			data, err := encodeMessage(send.Message)
			if err != nil {
				t.Fatal(err)
			}
			sent[from] += len(data)
			received[send.To] += len(data)
		}
		workload.runFor(period)
		leader := workload.leader().host
		seconds := int(period / time.Second)
		t.Logf("%d keepers idle: leader sends %d B/s, receives %d B/s", hosts, sent[leader]/seconds, received[leader]/seconds)
		if hosts == 3 && sent[leader]/seconds > budget {
			t.Errorf("an idle leader sends %d B/s", sent[leader]/seconds)
		}
	}
}

// TestCommitTakesOneSyncAndOneRoundTrip checks that the leader's sync overlaps with those of
// the other keepers and that the proposals of one tick share them.
func TestCommitTakesOneSyncAndOneRoundTrip(t *testing.T) {
	workload := newWorkload(1, 3, DefaultSettings())
	workload.runFor(5 * time.Second)
	startedAt := workload.now
	endedAt := instant(0)
	accepted := 0
	workload.onOutcome = func(_ *keeper, outcome ProposalOutcome) {
		if outcome.Kind == OutcomeAccepted {
			accepted++
			endedAt = workload.now
		}
	}
	workload.propose(workload.leader(), 100)
	workload.runFor(time.Second)
	if accepted != 100 || endedAt-startedAt != 6*time.Millisecond {
		t.Errorf("%d of 100 accepted after %v, want all after 6ms", accepted, endedAt-startedAt)
	}
}

// BenchmarkProposals measures the CPU time of a proposal over all three keepers, in batches
// of 64, without codec, disk or network.
func BenchmarkProposals(b *testing.B) {
	members := []Member{{Host: "k0"}, {Host: "k1"}, {Host: "k2"}}
	keepers := make(map[identifier.HostID]*Replicator)
	for position, member := range members {
		keepers[member.Host] = &Replicator{
			Self: member.Host, Seed: uint64(position), Settings: DefaultSettings(),
			InitialMembers: members, StateMachine: &register{},
		}
	}
	accepted := 0
	now := identifier.Moment(0)
	var run func(host identifier.HostID, inputs ...Input)
	run = func(host identifier.HostID, inputs ...Input) {
		for _, output := range keepers[host].Tick(now, inputs) {
			switch output := output.(type) {
			case Send:
				run(output.To, MessageArrived{From: host, Message: output.Message})
			case Persist:
				run(host, Persisted{Sequence: output.Sequence})
			case SaveSnapshot:
				run(host, SnapshotSaved{Index: output.Snapshot.Index})
			case ProposalOutcome:
				accepted++
			}
		}
	}
	for _, member := range members {
		run(member.Host)
	}
	now = now.Add(2 * time.Second)
	run("k0")
	data := make([]byte, 128)
	const batch = 64
	inputs := make([]Input, batch)
	for position := range inputs {
		inputs[position] = Proposed{Data: data}
	}
	b.ResetTimer()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		run("k0", inputs...)
	}
	b.ReportMetric(float64(accepted)/b.Elapsed().Seconds(), "proposals/s")
}
