package coordinator_test

import (
	"fmt"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// answerTime is how long, in virtual time, a healthy system takes to answer an operator.
const answerTime = 3 * time.Second

func newSpec(count int, runTime time.Duration, repeatable bool) *planner.Spec {
	return &planner.Spec{Team: "forecast", Urgency: placer.UrgencyNormal, Batches: []planner.Batch{{
		Kind: "train", Count: count, RunTime: runTime, Repeatable: repeatable,
		Need: identifier.Resources{MilliCPU: 1000, Memory: 1 << 30},
	}}}
}

// newIntentDomain returns a failure domain with three keepers that is ready to plan intents. The
// test fails at its end if a guarantee was violated.
func newIntentDomain(t *testing.T, workers int) *network {
	t.Helper()
	network := newIntentNetwork([]identifier.FailureDomain{"leuven"}, 3, workers)
	network.advance(10 * time.Second)
	t.Cleanup(func() {
		if len(network.intents.violations) > 0 {
			t.Errorf("broken promises: %v", network.intents.violations)
		}
	})
	return network
}

func (world *intentWorld) create(host *fakeHost, operator planner.OperatorID, name identifier.IntentName, spec *planner.Spec) uint64 {
	world.repeatable[name] = spec.Batches[0].Repeatable
	request := identifier.RequestID(fmt.Sprintf("create-%s-%s", name, operator))
	return world.sendCommand(host, planner.Command{Kind: planner.CommandCreate, Request: request, Operator: operator, Name: name, Spec: spec})
}

// startIntent creates, plans and confirms an intent.
func (world *intentWorld) startIntent(t *testing.T, name identifier.IntentName, spec *planner.Spec) {
	t.Helper()
	host := world.network.hosts[1]
	world.create(host, "an", name, spec)
	world.network.advance(answerTime)
	record := world.read(host, name)
	if record == nil || record.State != planner.StatePlanned {
		t.Fatalf("%s was not planned: %+v", name, record)
	}
	world.sendCommand(host, planner.Command{
		Kind: planner.CommandConfirm, Request: "confirm-" + identifier.RequestID(name), Operator: "an", Name: name,
		Revision: record.Revision, PlanNumber: record.Plan.Number,
	})
	world.network.advance(time.Second)
}

func (world *intentWorld) expectState(t *testing.T, name identifier.IntentName, state planner.State) *planner.Record {
	t.Helper()
	for _, host := range world.network.hosts {
		if host.coordinator == nil {
			continue
		}
		record := world.read(host, name)
		if record == nil {
			t.Fatalf("%s is not known at %s", name, host.id)
		}
		if record.State != state {
			t.Fatalf("%s is %s at %s, want %s: %+v", name, record.State, host.id, state, record.Steps)
		}
		return record
	}
	return nil
}

// Symptom: two operators each believe that their intent is the one that runs.
// Sequence: both create the same name at different hosts at once; both confirm and cancel with
// equal numbers; one resends to another host after its answer is lost and the leading keeper has
// crashed (row 21).
// Cause: only the order in the log may decide, and the answers must be stored with it.
func TestOperatorsRace(t *testing.T) {
	network := newIntentDomain(t, 2)
	world := network.intents
	one := world.create(network.hosts[0], "an", "nightly", newSpec(2, time.Minute, true))
	other := world.create(network.hosts[2], "bo", "nightly", newSpec(3, time.Minute, true))
	network.advance(answerTime)
	won, lost := world.result(one), world.result(other)
	if won.Kind != planner.ResultAccepted {
		won, lost = lost, won
	}
	if won.Kind != planner.ResultAccepted || lost.Kind != planner.ResultConflict || lost.Winner == nil {
		t.Fatalf("creations were answered %+v and %+v", won, lost)
	}
	record := world.expectState(t, "nightly", planner.StatePlanned)
	if lost.Winner.Operator != record.Changes[0].Operator || lost.Winner.Spec.Tasks() != record.Spec.Tasks() || lost.Winner.Wall == 0 && record.Changes[0].Wall != 0 {
		t.Fatalf("the loser was sent %+v, the log has %+v", lost.Winner, record.Changes[0])
	}
	confirmation := planner.Command{Kind: planner.CommandConfirm, Request: "c", Operator: "an", Name: "nightly", Revision: record.Revision, PlanNumber: 1}
	confirmed := world.sendCommand(network.hosts[1], confirmation)
	rejected := world.sendCommand(network.hosts[2], planner.Command{Kind: planner.CommandReject, Request: "r", Operator: "bo", Name: "nightly", Revision: record.Revision})
	network.advance(answerTime)
	first, second := world.result(confirmed), world.result(rejected)
	if (first.Kind == planner.ResultAccepted) == (second.Kind == planner.ResultAccepted) {
		t.Fatalf("confirmation and rejection were answered %+v and %+v", first, second)
	}
	network.crashHost(network.hosts[1])
	network.advance(10 * time.Second)
	again := world.sendCommand(network.hosts[0], confirmation)
	network.advance(answerTime)
	if result := world.result(again); result == nil || !reflect.DeepEqual(result, first) {
		t.Fatalf("the resend was answered %+v, first %+v", result, first)
	}
}

// Symptom: an intent that no worker could ever run waits forever.
// Sequence: it declares more than any worker has, or a failure domain that does not exist (row 16).
// Expected: it is refused at once, with every reason and the nearest spec that would run.
func TestNeverRunnableIsRefusedAtOnce(t *testing.T) {
	network := newIntentDomain(t, 2)
	world := network.intents
	spec := newSpec(2, time.Minute, true)
	spec.Batches[0].Need.MilliCPU = 64_000
	world.create(network.hosts[0], "an", "huge", spec)
	elsewhere := newSpec(2, time.Minute, true)
	elsewhere.MayRun = []identifier.FailureDomain{"atlantis"}
	world.create(network.hosts[0], "an", "elsewhere", elsewhere)
	network.advance(answerTime)
	for _, name := range []identifier.IntentName{"huge", "elsewhere"} {
		record := world.expectState(t, name, planner.StateImpossible)
		if len(record.Plan.Refusals) == 0 || record.Plan.Nearest == nil {
			t.Errorf("%s was refused with %+v", name, record.Plan)
		}
	}
}

// Symptom: tasks of a dead worker run twice, or never.
// Sequence: a worker dies in the middle of an intent (rows 16, 21 and 23 with a worker's death).
// Cause: the leases of the dead worker must expire first. Then repeatable tasks run again, and the
// outcome of the others is unknown.
func TestWorkerDiesInTheMiddle(t *testing.T) {
	network := newIntentDomain(t, 3)
	world := network.intents
	world.startIntent(t, "again", newSpec(6, 20*time.Second, true))
	world.startIntent(t, "once", newSpec(6, 20*time.Second, false))
	victim := 0
	for number, worker := range world.workers {
		if len(worker.running) > len(world.workers[victim].running) {
			victim = number
		}
	}
	world.workers[victim].crash()
	network.advance(2 * time.Minute)
	world.expectState(t, "again", planner.StateComplete)
	if tally := world.expectState(t, "once", planner.StateFailed).Tally(); tally[planner.OutcomeUnknown] == 0 {
		t.Errorf("no task has an unknown outcome: %s", tally)
	}
}

// Symptom: a change of the driving host loses the work in progress, or runs it twice.
// Sequence: the driving host dies in the middle of an intent.
// Cause: the next driver must have a higher epoch, adopt the running tasks within the quiet time
// and start nothing that was claimed.
func TestDrivingHostDiesInTheMiddle(t *testing.T) {
	network := newIntentDomain(t, 3)
	world := network.intents
	world.startIntent(t, "once", newSpec(6, 30*time.Second, false))
	network.crashHost(network.leadOf("leuven"))
	network.advance(2 * time.Minute)
	world.expectState(t, "once", planner.StateComplete)
}

// Symptom: the outcome of a task that has succeeded is reported as unknown.
// Sequence: a worker reports how its tasks ended; the driving host dies before it has written that
// to the log.
// Cause: the worker must keep the end until it is in the log, and send it to the next driver.
func TestEndsOutliveTheDrivingHost(t *testing.T) {
	network := newIntentDomain(t, 2)
	world := network.intents
	world.startIntent(t, "once", newSpec(4, 20*time.Second, false))
	for _, other := range network.hosts {
		network.connection(string(network.leadOf("leuven").id), string(other.id)).delay = 5 * time.Millisecond
	}
	for ended := false; !ended; {
		network.advance(50 * time.Microsecond)
		for _, worker := range world.workers {
			ended = ended || len(worker.ended) > 0
		}
	}
	// The driver has received it and could have answered, but no other keeper has.
	network.advance(2*hop + 50*time.Microsecond)
	network.crashHost(network.leadOf("leuven"))
	network.advance(time.Minute)
	world.expectState(t, "once", planner.StateComplete)
}

// Symptom: confirmed work stops because the keepers are unreachable.
// Sequence: the driving host loses its connections to both other keepers while an intent runs, and
// regains them.
// Cause: a repeatable batch is claimed as a whole, so it must continue without keepers.
func TestConfirmedWorkGoesOnWithoutKeepers(t *testing.T) {
	network := newIntentNetwork([]identifier.FailureDomain{"leuven", "roeselare"}, 2, 2)
	world := network.intents
	network.advance(10 * time.Second)
	spec := newSpec(30, 5*time.Second, true)
	spec.MayRun = []identifier.FailureDomain{"leuven"}
	world.startIntent(t, "again", spec)
	for _, one := range network.hosts[:2] {
		for _, other := range network.hosts[2:] {
			network.disconnectHosts(one, other)
		}
	}
	before := len(world.runs)
	network.advance(30 * time.Second)
	world.waiters++
	network.tick(network.hosts[0], &coordinator.OperatorRequest{Waiter: world.waiters, Read: &keeper.IntentRead{Name: "again", Stale: true}})
	if shown := world.answers[world.waiters]; shown == nil || len(shown.Result.Intents.Records) != 1 {
		t.Errorf("a disconnected keeper answered a stale read with %+v", shown)
	}
	if begun := len(world.runs); begun <= before {
		t.Errorf("%d tasks had begun before the failure domain was disconnected, %d after", before, begun)
	}
	for _, one := range network.hosts[:2] {
		for _, other := range network.hosts[2:] {
			network.connectHosts(one, other)
		}
	}
	network.advance(time.Minute)
	world.expectState(t, "again", planner.StateComplete)
	if len(world.violations) > 0 {
		t.Errorf("broken promises: %v", world.violations)
	}
}

// Symptom: a team's intents use more than its quota, or a raised quota does not take effect.
// Sequence: a configuration with a quota is accepted, an intent runs under it, a task that exceeds
// it is declared, the quota is raised.
// Cause: each driver must get its share of the quota in the tick in which the configuration takes
// effect.
func TestQuotasOfConfiguration(t *testing.T) {
	network := newIntentDomain(t, 2)
	world := network.intents
	for _, host := range network.hosts {
		host.coordinator.QuotasOf = func(document []byte) ([]planner.TeamQuota, bool) {
			limit, err := strconv.Atoi(string(document))
			quota := placer.Quota{Limit: identifier.Resources{MilliCPU: identifier.MilliCPU(limit)}}
			return []planner.TeamQuota{{Team: "forecast", Quota: quota}}, err == nil
		}
	}
	configure := func(version identifier.ConfigVersion, document string) {
		world.waiters++
		change := &configurer.Change{Request: identifier.RequestID(document), Expected: version, Operator: "an", Document: []byte(document)}
		network.tick(network.hosts[0], &coordinator.OperatorRequest{Waiter: world.waiters, Command: keeper.Command{Change: change}})
		network.advance(answerTime)
	}
	running := func() int {
		sum := 0
		for _, worker := range world.workers {
			sum += len(worker.running)
		}
		return sum
	}
	configure(0, "2000")
	world.startIntent(t, "again", newSpec(6, 30*time.Second, true))
	network.advance(5 * time.Second)
	if count := running(); count != 2 {
		t.Errorf("%d tasks run under a quota of 2", count)
	}
	beyond := newSpec(1, time.Minute, true)
	beyond.Batches[0].Need.MilliCPU = 3000
	world.create(network.hosts[2], "an", "beyond", beyond)
	network.advance(answerTime)
	world.expectState(t, "beyond", planner.StateImpossible)
	configure(1, "5000")
	if count := running(); count != 5 {
		t.Errorf("%d tasks run under a quota of 5", count)
	}
	network.advance(2 * time.Minute)
	world.expectState(t, "again", planner.StateComplete)
}

// Symptom: a confirmed intent never starts in one failure domain, whatever follows.
// Sequence: the changes with a confirmation are lost on the way to a driving host when its
// connection breaks; those of a second confirmation arrive before the driving host has synced
// again.
// Cause: changes carry the version after which they begin; a driver must not apply changes that
// begin after the last version it has seen.
func TestLostIntentChangesAreFetched(t *testing.T) {
	network := newIntentNetwork([]identifier.FailureDomain{"leuven", "roeselare"}, 2, 2)
	world := network.intents
	network.advance(10 * time.Second)
	var orders []planner.Command
	for _, name := range []identifier.IntentName{"first", "second"} {
		world.create(network.hosts[0], "an", name, newSpec(4, 2*time.Second, false))
		network.advance(answerTime)
		record := world.expectState(t, name, planner.StatePlanned)
		orders = append(orders, planner.Command{
			Kind: planner.CommandConfirm, Request: "confirm-" + identifier.RequestID(name), Operator: "an", Name: name,
			Revision: record.Revision, PlanNumber: record.Plan.Number,
		})
	}
	driving := network.leadOf("roeselare")
	cut := func(change func(first, second *fakeHost)) {
		for _, other := range network.hosts {
			if other != driving {
				change(driving, other)
			}
		}
	}
	// Syncs are sent every second; both confirmations fall between two of them.
	cut(network.disconnectHosts)
	world.sendCommand(network.hosts[0], orders[0])
	network.advance(20 * time.Millisecond)
	cut(network.connectHosts)
	world.sendCommand(network.hosts[0], orders[1])
	network.advance(time.Minute)
	world.expectState(t, "first", planner.StateComplete)
	world.expectState(t, "second", planner.StateComplete)
}
