package dispatcher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/limiter"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// equalRuns returns the run times of a job with the given number of equal tasks.
func equalRuns(tasks int, runTime time.Duration) []time.Duration {
	runTimes := make([]time.Duration, tasks)
	for index := range runTimes {
		runTimes[index] = runTime
	}
	return runTimes
}

// submit submits a job, with its true run times declared, to the lead now.
func submit(cell *fake.Cell, id string, team identifier.TeamID, runTimes []time.Duration) *fake.Record {
	declared := func(actual time.Duration) time.Duration { return actual }
	return cell.Submit(newJob(id, team, "counter", runTimes, declared), identifier.Never, runTimes)
}

func runFor(cell *fake.Cell, length time.Duration) { cell.Run(cell.Now.Add(length)) }

func checkPromises(t *testing.T, cell *fake.Cell) {
	t.Helper()
	for _, violation := range cell.Violations {
		t.Error(violation)
	}
	if tasks, work := cell.Lead().Queued(); tasks != 0 || work != 0 {
		t.Errorf("%d tasks and %v of work are left in the queue", tasks, work)
	}
	for team, running := range cell.Running {
		if inFlight := cell.Lead().InFlight(team); running == 0 && inFlight != 0 {
			t.Errorf("%d tasks of team %s count as running and none is", inFlight, team)
		}
	}
}

func checkAnswer(t *testing.T, record *fake.Record, outcome messenger.Outcome, reason messenger.Reason, notRun bool) {
	t.Helper()
	answer := record.Answer()
	if answer == nil || answer.Outcome != outcome || answer.Reason != reason || answer.NotRun != notRun {
		t.Errorf("%s: got %+v, want %v, %v, not run %v", record.Job.Submission, answer, outcome, reason, notRun)
	}
}

// TestRefusedStartsGoElsewhere guards against jobs that fail, or starts that grow without bound,
// when a backend server refuses starts (row 2). This happens if a refused start is given up, or
// retried without a budget. One of 17 servers refuses every start for 20 s.
func TestRefusedStartsGoElsewhere(t *testing.T) {
	cell := newCell()
	cell.Refuse = func(server int, _ dispatcher.TaskKey) dispatcher.RefusalKind {
		if server == 3 {
			return dispatcher.RefusalNoFreeSlot
		}
		return dispatcher.RefusalUnspecified
	}
	cell.Open()
	calm := &load{cell: cell, random: randomOf(0), team: "a", slots: 60, until: identifier.Moment(20 * time.Second)}
	calm.start()
	runFor(cell, 30*time.Second)
	checkPromises(t, cell)
	for id, record := range cell.Records {
		if answer := record.Answer(); answer == nil || answer.Outcome != messenger.OutcomeComplete {
			t.Errorf("%s: %+v", id, answer)
		}
	}
	t.Logf("%d starts, %d of them refused", cell.Starts, cell.Refusals)
	if cell.Refusals*10 > cell.Starts {
		t.Errorf("%d of %d starts were refused", cell.Refusals, cell.Starts)
	}
}

// TestRefusedEverywhere guards against a job that is answered "failed", or never, although all its
// starts were refused and it did not run, and against retries that flood the backend servers. This
// happens if a refused start counts as a start, or retries have no budget. Every start is refused
// for 20 s while 100 jobs arrive.
func TestRefusedEverywhere(t *testing.T) {
	cell := newCell()
	cell.Refuse = func(int, dispatcher.TaskKey) dispatcher.RefusalKind { return dispatcher.RefusalNoFreeSlot }
	cell.Open()
	for number := range 100 {
		cell.At(cell.Now.Add(time.Duration(number)*200*time.Millisecond), func() {
			submit(cell, fmt.Sprintf("s-%d", number), "a", equalRuns(2, 100*time.Millisecond))
		})
	}
	runFor(cell, 20*time.Second)
	settings := cell.Settings.Limits.Limiter
	first := 200.0
	bound := first*(1+settings.RetryRatio) + settings.TeamRetryRate*(20+settings.RetryWindow.Seconds())
	t.Logf("%d starts, bound %.0f", cell.Starts, bound)
	if float64(cell.Starts) > bound {
		t.Errorf("%d starts for %.0f tasks, bound %.0f", cell.Starts, first, bound)
	}
	runFor(cell, 400*time.Second)
	checkPromises(t, cell)
	for id, record := range cell.Records {
		if answer := record.Answer(); answer == nil || !answer.NotRun {
			t.Errorf("%s: %+v", id, answer)
		}
	}
}

// TestCancellationWave guards against cancelled work that still takes slots or counts for its team
// (row 13), because cancelled tasks stay queued or in flight. A team fills the slots and the queue
// and cancels everything; then another job arrives.
func TestCancellationWave(t *testing.T) {
	cell := newCell()
	cell.Open()
	cell.Post(&dispatcher.LimitsConfigured{Teams: []limiter.TeamLimits{{Team: "a", TasksInFlight: 100, Weight: 1}}})
	var wave []*fake.Record
	for number := range 40 {
		wave = append(wave, submit(cell, fmt.Sprintf("w-%d", number), "a", equalRuns(10, 10*time.Second)))
	}
	runFor(cell, time.Second)
	if cell.MaxRunning["a"] != 100 {
		t.Errorf("%d tasks of the team ran at once, want its limit of 100", cell.MaxRunning["a"])
	}
	for _, record := range wave {
		cell.Cancel(record)
	}
	runFor(cell, 10*time.Millisecond)
	checkPromises(t, cell)
	next := submit(cell, "next", "a", equalRuns(100, 100*time.Millisecond))
	runFor(cell, time.Second)
	checkAnswer(t, next, messenger.OutcomeComplete, messenger.ReasonNone, false)
	if next.Stretch() > 1.05 {
		t.Errorf("the job after the wave took %.2f times its ideal", next.Stretch())
	}
	for _, record := range wave {
		answer := record.Answer()
		if answer == nil || answer.NotRun != (len(record.Started) == 0) {
			t.Errorf("%s: %+v after %d starts", record.Job.Submission, answer, len(record.Started))
		}
	}
	checkPromises(t, cell)
}

// TestStragglersHoldOnlyTheirSlot guards against short jobs that wait behind a straggler, and
// against a straggler that starts a second time (row 14), because stragglers distort the estimates,
// the fair share or the expected wait. 130 of 136 slots hold tasks that run 200 times longer than
// all others did; then short jobs of the same team arrive.
func TestStragglersHoldOnlyTheirSlot(t *testing.T) {
	cell := newCell()
	cell.Open()
	for number := range 50 {
		submit(cell, fmt.Sprintf("before-%d", number), "a", equalRuns(1, 100*time.Millisecond))
	}
	runFor(cell, time.Second)
	declared := func(time.Duration) time.Duration { return 100 * time.Millisecond }
	runTimes := equalRuns(130, 20*time.Second)
	straggler := cell.Submit(newJob("straggler", "a", "counter", runTimes, declared), identifier.Never, runTimes)
	runFor(cell, time.Second)
	var short []*fake.Record
	for number := range 100 {
		short = append(short, submit(cell, fmt.Sprintf("short-%d", number), "a", equalRuns(1, 100*time.Millisecond)))
		runFor(cell, 50*time.Millisecond)
	}
	runFor(cell, 30*time.Second)
	checkPromises(t, cell)
	checkAnswer(t, straggler, messenger.OutcomeComplete, messenger.ReasonNone, false)
	for _, record := range short {
		checkAnswer(t, record, messenger.OutcomeComplete, messenger.ReasonNone, false)
		if record.Stretch() > 1.05 {
			t.Errorf("%s took %.2f times its ideal", record.Job.Submission, record.Stretch())
		}
	}
}

// TestDeadlinesByWhatWasObserved guards against jobs that are refused, or admitted and then fail,
// because of the run times that they declare (row 15). A team's tasks run 400 ms whatever they
// declare; then jobs with deadlines arrive.
func TestDeadlinesByWhatWasObserved(t *testing.T) {
	cell := newCell()
	cell.Open()
	send := func(id string, declaredTime, left time.Duration) *fake.Record {
		runTimes := equalRuns(1, 400*time.Millisecond)
		declared := func(time.Duration) time.Duration { return declaredTime }
		return cell.Submit(newJob(id, "a", "counter", runTimes, declared), cell.Now.Add(left), runTimes)
	}
	unknown := send("unknown", time.Hour, time.Second)
	for number := range 30 {
		send(fmt.Sprintf("learn-%d", number), time.Duration(1+number%7)*time.Second, time.Minute)
		runFor(cell, 100*time.Millisecond)
	}
	overstated := send("overstated", time.Hour, time.Second)
	understated := send("understated", time.Millisecond, 200*time.Millisecond)
	runFor(cell, 2*time.Second)
	checkPromises(t, cell)
	checkAnswer(t, unknown, messenger.OutcomeComplete, messenger.ReasonNone, false)
	checkAnswer(t, overstated, messenger.OutcomeComplete, messenger.ReasonNone, false)
	checkAnswer(t, understated, messenger.OutcomeRefused, messenger.ReasonDeadlineUnreachable, true)
}

// TestNeverRunnable guards against a caller that waits for a job that can never run (row 16). Each
// such job must be refused at once, as not run, with a request that would run.
func TestNeverRunnable(t *testing.T) {
	cell := newCell()
	cell.Settings.QueuedTasks = 500
	cell.Open()
	wide := submit(cell, "wide", "a", equalRuns(501, time.Millisecond))
	elsewhere := newJob("elsewhere", "a", "counter", equalRuns(1, time.Millisecond), nil)
	elsewhere.MayRun = []identifier.FailureDomain{"leuven"}
	misplaced := cell.Submit(elsewhere, identifier.Never, equalRuns(1, time.Millisecond))
	cell.Run(cell.Now)
	runFor(cell, 0)
	for record, nearest := range map[*fake.Record]string{wide: "up to 500 tasks would run", misplaced: "with it in may-run the job would run"} {
		checkAnswer(t, record, messenger.OutcomeRefused, messenger.ReasonNeverRunnable, true)
		if answer := record.Answer(); answer != nil && !strings.Contains(answer.Detail, nearest) {
			t.Errorf("%q does not name the closest request that would run", answer.Detail)
		}
	}
}

// TestNoServerLeft guards against jobs without a deadline that wait for ever when the last backend
// server has left. All servers leave; jobs arrive at once and later. Both the waiting and the later
// jobs must be refused as not run, with a time after which to retry.
func TestNoServerLeft(t *testing.T) {
	cell := newCell()
	cell.Open()
	for number := range testServers {
		cell.Leave(number)
	}
	waiting := submit(cell, "waiting", "a", equalRuns(3, 100*time.Millisecond))
	runFor(cell, 3*time.Second)
	late := submit(cell, "late", "a", equalRuns(3, 100*time.Millisecond))
	runFor(cell, 0)
	checkPromises(t, cell)
	for _, record := range []*fake.Record{waiting, late} {
		checkAnswer(t, record, messenger.OutcomeRefused, messenger.ReasonNoBackendServer, true)
	}
	if late.AnsweredAt != late.ArrivedAt {
		t.Errorf("the late job was answered after %v", late.AnsweredAt.Sub(late.ArrivedAt))
	}
}

// TestUrgentFirstWithoutStarvation guards against an urgent job that waits behind others of its
// team, and against others that never run while urgent jobs keep arriving. This happens without an
// order by class, or with a strict one. There is one slot; a patient job waits while an urgent one
// arrives every 100 ms, each running 100 ms.
func TestUrgentFirstWithoutStarvation(t *testing.T) {
	cell := &fake.Cell{Settings: dispatcher.DefaultSettings(), Servers: 1, Slots: 1}
	cell.Settings.Limits.QueueWaitRatio = 1000
	cell.Open()
	cell.Post(&dispatcher.LimitsConfigured{Classes: []dispatcher.ClassLimits{{Class: "counter", Urgent: true}}})
	send := func(id string, class identifier.ClassName) *fake.Record {
		runTimes := equalRuns(1, 100*time.Millisecond)
		declared := func(actual time.Duration) time.Duration { return actual }
		return cell.Submit(newJob(id, "a", class, runTimes, declared), identifier.Never, runTimes)
	}
	send("first", "batch")
	runFor(cell, 10*time.Millisecond)
	patient := send("patient", "batch")
	urgent := send("urgent", "counter")
	for number := range 50 {
		runFor(cell, 100*time.Millisecond)
		send(fmt.Sprintf("urgent-%d", number), "counter")
	}
	runFor(cell, 10*time.Second)
	checkPromises(t, cell)
	if urgent.AnsweredAt > patient.AnsweredAt {
		t.Error("the urgent job waited for the patient one")
	}
	headStart := cell.Settings.Limits.Queue.UrgentHeadStart
	if waited := patient.AnsweredAt.Sub(patient.ArrivedAt); waited > headStart+500*time.Millisecond {
		t.Errorf("the patient job took %v, head start %v", waited, headStart)
	}
}
