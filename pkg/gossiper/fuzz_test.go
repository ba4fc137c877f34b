package gossiper

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// observedVersion is the newest version that one process reported of a member or record. The value
// orders records of two processes with the same incarnation.
type observedVersion struct {
	incarnation identifier.Incarnation
	version     uint64
	value       string
}

// orderChecker checks that nothing a process reported reverts to an older version.
type orderChecker struct {
	t    *rapid.T
	seen map[string]observedVersion
}

func (orderChecker *orderChecker) observe(of *node, output Output) {
	process := fmt.Sprintf("%s/%d", of.member.Host, of.processes)
	switch output := output.(type) {
	case RecordChanged:
		observed := observedVersion{version: output.Record.Version, value: string(output.Record.Value)}
		if output.Host != "" {
			state, _ := of.gossiper.State(output.Host)
			observed.incarnation = state.Member.Incarnation
		}
		orderChecker.advance(process+" record "+string(output.Host)+"/"+output.Record.Key, observed)
	case MemberChanged:
		observed := observedVersion{
			incarnation: output.New.Member.Incarnation,
			version:     output.New.Refutation*4 + uint64(output.New.Status),
		}
		orderChecker.advance(process+" member "+string(output.New.Member.Host), observed)
	case MemberForgotten:
		orderChecker.t.Fatalf("%s forgot %s within minutes", process, output.Host)
	}
}

func (orderChecker *orderChecker) advance(what string, observed observedVersion) {
	before, known := orderChecker.seen[what]
	order := cmp.Or(
		cmp.Compare(observed.incarnation, before.incarnation),
		cmp.Compare(observed.version, before.version),
		cmp.Compare(observed.value, before.value),
	)
	if known && order <= 0 {
		orderChecker.t.Fatalf("%s went from %v to %v", what, before, observed)
	}
	orderChecker.seen[what] = observed
}

// TestNothingRevertsAndAllConverge runs hosts through loss, duplication, reordering, partitions,
// restarts, replacements, drifting clocks and late ticks in any order. It guards against hosts that
// disagree permanently, an old record that comes back, and a living host that stays dead for others.
// These occur when the order of updates depends on their arrival instead of their content.
func TestNothingRevertsAndAllConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		hosts := domains * rapid.IntRange(1, 3).Draw(t, "hosts-a-domain")
		net := newNetwork(hosts, domains, rapid.Uint64().Draw(t, "seed"))
		orderChecker := &orderChecker{t: t, seen: make(map[string]observedVersion)}
		net.observe = orderChecker.observe
		for _, current := range net.nodes {
			current.rate = rapid.Float64Range(0.95, 1.05).Draw(t, "rate")
		}
		net.startAll(0)
		run := &fuzzRun{net: net}
		t.Repeat(map[string]func(*rapid.T){
			"":                  func(*rapid.T) {},
			"time-passes":       run.passTime,
			"kill":              run.kill,
			"restart":           run.restart,
			"publish":           run.publish,
			"change-network":    run.changeNetwork,
			"partition":         run.partition,
			"heal":              func(*rapid.T) { net.cut = nil },
			"connection-closes": run.closeConnection,
			"be-late":           run.delayNode,
		})
		run.clearFaults()
		// Messages of killed processes may still arrive, up to three seconds late, and bring back
		// a host that then has to be detected as dead once more.
		net.run(4 * time.Second)
		for end := net.now + time.Minute; net.converged() != nil && net.now < end; {
			net.run(time.Second)
		}
		// The hosts must stay converged.
		net.run(5 * time.Second)
		if err := net.converged(); err != nil {
			t.Fatalf("after a minute without faults: %v", err)
		}
		run.checkRecords(t)
	})
}

// fuzzRun holds what the final checks need to know of a run.
type fuzzRun struct {
	net       *network
	published uint64
	cluster   uint64
	// newestCluster is the highest cluster-wide version that a running host has when the faults end.
	newestCluster uint64
}

func (run *fuzzRun) draw(t *rapid.T) *node {
	return rapid.SampledFrom(run.net.nodes).Draw(t, "node")
}

func (run *fuzzRun) passTime(t *rapid.T) {
	run.net.run(time.Duration(rapid.IntRange(1, 20000).Draw(t, "milliseconds")) * time.Millisecond)
}

func (run *fuzzRun) kill(t *rapid.T) { run.net.kill(run.draw(t)) }

func (run *fuzzRun) restart(t *rapid.T) {
	current := run.draw(t)
	// A clock that went back gives an incarnation below the previous one or equal to it.
	back := rapid.SampledFrom([]int{0, 0, 0, 1000, 5000}).Draw(t, "clock-back")
	current.member.Incarnation -= identifier.Incarnation(back)
	// One seed keeps its address: if all seeds moved at once, no protocol could find hosts that have
	// lost each other.
	replaced := rapid.Bool().Draw(t, "replaced") && current.index != 0
	run.net.restart(current, replaced)
}

func (run *fuzzRun) publish(t *rapid.T) {
	current := run.draw(t)
	if !current.up {
		return
	}
	run.published++
	value := []byte(fmt.Sprint(run.published))
	key := rapid.SampledFrom([]string{"load", "lead"}).Draw(t, "key")
	run.net.tick(current, RecordPublished{Key: key, Value: value})
	if rapid.Bool().Draw(t, "cluster-wide") {
		run.cluster++
		run.net.tick(current, ClusterRecordPublished{Record: configurationRecord(run.cluster)})
	}
}

func (run *fuzzRun) changeNetwork(t *rapid.T) {
	run.net.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
	run.net.duplicate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplicate")
	run.net.jitter = rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Second}).Draw(t, "jitter")
}

// partition isolates a set of hosts, in both directions or in one.
func (run *fuzzRun) partition(t *rapid.T) {
	side := rapid.Uint16().Draw(t, "side")
	oneWay := rapid.Bool().Draw(t, "one-way")
	inSide := func(current *node) bool { return side>>current.index&1 == 1 }
	run.net.cut = func(from, to *node) bool {
		if oneWay {
			return inSide(from) && !inSide(to)
		}
		return inSide(from) != inSide(to)
	}
}

func (run *fuzzRun) closeConnection(t *rapid.T) {
	current, other := run.draw(t), run.draw(t)
	if current.up {
		run.net.tick(current, PeerConnectionClosed{Host: other.member.Host})
	}
}

func (run *fuzzRun) delayNode(t *rapid.T) {
	lateness := rapid.SampledFrom([]int{0, 0, 200, 2000}).Draw(t, "milliseconds-late")
	run.draw(t).lateness = time.Duration(lateness) * time.Millisecond
}

func (run *fuzzRun) clearFaults() {
	net := run.net
	net.cut = nil
	net.loss, net.duplicate, net.jitter = 0, 0, time.Millisecond
	for _, current := range net.nodes {
		current.lateness = 0
		if !current.up && current.index < 5 {
			// Without any seed, hosts that never met could not find each other.
			net.restart(current, false)
		}
		record, _ := current.gossiper.ClusterRecord("config")
		if current.up {
			run.newestCluster = max(run.newestCluster, record.Version)
		}
	}
}

// checkRecords compares every host's records with those of their owners, and the cluster-wide record
// with the newest that any running host had. It may be newer still, from a message that a host sent
// before it was killed.
func (run *fuzzRun) checkRecords(t *rapid.T) {
	for _, owner := range run.net.nodes {
		record, _ := owner.gossiper.ClusterRecord("config")
		if owner.up && record.Version < run.newestCluster {
			t.Fatalf("%s has configuration %d, the newest is %d", owner.member.Host, record.Version, run.newestCluster)
		}
		for _, viewer := range run.net.nodes {
			if !owner.up || !viewer.up {
				continue
			}
			for _, key := range []string{"load", "lead"} {
				published, _ := owner.gossiper.Record(owner.member.Host, key)
				view, _ := viewer.gossiper.Record(owner.member.Host, key)
				if published.Version != view.Version || string(published.Value) != string(view.Value) {
					t.Fatalf("%s has %v of %s, which published %v", viewer.member.Host, view, owner.member.Host, published)
				}
			}
		}
	}
}
