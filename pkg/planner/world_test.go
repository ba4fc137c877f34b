package planner

import (
	"fmt"
	"time"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

const (
	testLease  = 10 * time.Second
	testDrift  = time.Second
	testDomain = identifier.FailureDomain("leuven")
)

var testCapacity = identifier.Resources{MilliCPU: 8000, Memory: 16 << 30}

// testingT is the part of testing.T and rapid.T that the world uses.
type testingT interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// world simulates one failure domain: the log, a driver, and workers that hold leases by
// their own clocks. It records what really ran, and every reported outcome is checked
// against that.
type world struct {
	t        testingT
	realTime identifier.Moment
	machine  *Machine
	index    identifier.LogIndex
	driver   *Driver[placer.ScoredSample]
	// shadow gets the same inputs and must return the same outputs.
	shadow  *Driver[placer.ScoredSample]
	epoch   identifier.Epoch
	offset  identifier.Moment
	workers []*fakeWorker
	inbox   []Input
	// proposals are commands of the driver that are not applied yet.
	proposals []Command
	runs      map[identifier.TaskID][]*fakeRun
	assigned  map[identifier.IntentName]State
	ended     map[identifier.IntentName]bool

	// logFirst makes the driver receive changes of the log before messages of workers.
	logFirst bool
	// withoutReports stops workers from sending usage reports.
	withoutReports bool
	// reports holds the last report of each run that the driver received.
	reports map[RunningTask]identifier.Resources
	// trace holds a line for each output of the driver.
	trace []string
	// behave returns how long a starting task runs, how it ends and what it uses.
	behave func(start StartTask) (time.Duration, TaskEnd, identifier.Resources)
}

// fakeWorker runs tasks under leases.
type fakeWorker struct {
	worker    placer.Worker
	alive     bool
	connected bool
	offset    identifier.Moment
	holder    *leaser.Holder
	running   []*fakeRun
	// undelivered holds reports of ended tasks that wait for a connection.
	undelivered []Input
}

// fakeRun is one real run of a task.
type fakeRun struct {
	task      identifier.TaskID
	number    leaser.Number
	startedAt identifier.Moment
	endsAt    identifier.Moment
	end       TaskEnd
	used      identifier.Resources
	ended     bool
	// stopped reports whether the run was cut short by an order, its lease or a death.
	stopped bool
	need    identifier.Resources
}

func newWorld(t testingT, workers int) *world {
	world := &world{
		t: t, machine: &Machine{}, realTime: 1,
		runs:     map[identifier.TaskID][]*fakeRun{},
		assigned: map[identifier.IntentName]State{},
		ended:    map[identifier.IntentName]bool{},
	}
	world.behave = func(start StartTask) (time.Duration, TaskEnd, identifier.Resources) {
		return start.RunTime, EndSucceeded, start.Need
	}
	for number := range workers {
		world.workers = append(world.workers, &fakeWorker{
			worker: placer.Worker{
				ID: identifier.WorkerID(fmt.Sprint("w", number)), Rack: identifier.RackID(fmt.Sprint("r", number/2)),
				FailureDomain: testDomain, Capacity: testCapacity,
			},
			offset: identifier.Moment(number+1) * identifier.Moment(time.Hour),
		})
	}
	world.replaceLead()
	for _, worker := range world.workers {
		world.boot(worker)
	}
	return world
}

// replaceLead makes a new host the lead. Messages on their way to the former one are lost.
func (world *world) replaceLead() {
	world.epoch++
	world.apply(Command{Kind: CommandLead, Claim: &Claim{FailureDomain: testDomain, Epoch: world.epoch}})
	world.offset += identifier.Moment(17 * time.Minute)
	quiet := world.now()
	if world.epoch > 1 {
		quiet = quiet.Add(testLease)
	}
	world.driver = NewDriver(placer.DefaultScoredSample(), testDomain, world.epoch, testLease, quiet)
	world.shadow = NewDriver(placer.DefaultScoredSample(), testDomain, world.epoch, testLease, quiet)
	world.inbox = nil
	world.reports = map[RunningTask]identifier.Resources{}
	world.assigned = map[identifier.IntentName]State{}
	world.ended = map[identifier.IntentName]bool{}
	for _, worker := range world.workers {
		if worker.alive && worker.connected {
			world.connect(worker)
		}
	}
}

func (world *world) now() identifier.Moment { return world.realTime + world.offset }

func (world *world) workerClock(worker *fakeWorker) identifier.Moment {
	return world.realTime + worker.offset
}

// boot starts a worker's process.
func (world *world) boot(worker *fakeWorker) {
	worker.alive = true
	worker.holder = &leaser.Holder{Drift: testDrift}
	worker.offset += identifier.Moment(time.Minute)
	world.connect(worker)
}

func (world *world) connect(worker *fakeWorker) {
	worker.connected = true
	world.inbox = append(world.inbox, WorkerAnnounced{Worker: worker.worker, Reading: leaser.HolderMoment(world.workerClock(worker))})
	world.deliver(worker)
}

// kill ends a worker's process together with its tasks.
func (world *world) kill(worker *fakeWorker) {
	for _, run := range worker.running {
		run.ended, run.stopped = true, true
	}
	worker.running = nil
	worker.undelivered = nil
	worker.alive = false
	world.cut(worker)
}

func (world *world) cut(worker *fakeWorker) {
	if worker.connected {
		worker.connected = false
		world.inbox = append(world.inbox, WorkerLost{Worker: worker.worker.ID})
	}
}

// apply applies a command of an operator or a driver.
func (world *world) apply(command Command) Result {
	world.index++
	command.Wall = WallTime(world.realTime / identifier.Moment(time.Millisecond))
	result := world.machine.Apply(world.index, command)
	if world.driver != nil && command.Kind == CommandClaim && command.Claim.Epoch == world.epoch {
		world.inbox = append(world.inbox, ClaimApplied{Name: command.Name, Claim: *command.Claim, Accepted: result.Kind == ResultAccepted})
	}
	return result
}

// propose adds a plan to an intent.
func (world *world) propose(name identifier.IntentName) Result {
	record := world.machine.Get(name)
	proposer := &Proposer{ConfirmTimeout: DefaultConfirmTimeout, Domains: []DomainStatus{world.driver.Status(world.now())}, Correction: world.machine.Correction}
	plan := proposer.Propose(WallTime(world.realTime), record.Spec)
	return world.apply(Command{Kind: CommandPlan, Name: name, Revision: record.Revision, Plan: &plan, Operator: "system"})
}

// notifyDriver sends the driver the changes of each intent in the log.
func (world *world) notifyDriver() {
	for _, name := range world.machine.Names() {
		record := world.machine.Get(name)
		if record.State.Ended() && world.assigned[name] != StateNone && !world.ended[name] {
			world.ended[name] = true
			world.inbox = append(world.inbox, IntentEnded{Name: name})
		}
		assignment, has := world.machine.Assignment(name, testDomain)
		state := StateConfirmed
		if assignment.Cancelling {
			state = StateCancelling
		}
		if has && world.assigned[name] != state {
			world.assigned[name] = state
			world.inbox = append(world.inbox, assignment)
		}
	}
}

// step advances time, lets the workers run, applies commands and ticks the driver.
func (world *world) step(wait time.Duration, applied int, beats bool) {
	world.realTime = world.realTime.Add(wait)
	for _, worker := range world.workers {
		world.advanceTasks(worker)
		if beats && worker.alive && worker.connected {
			world.sendHeartbeat(worker)
		}
	}
	for range min(applied, len(world.proposals)) {
		command := world.proposals[0]
		world.proposals = world.proposals[1:]
		world.apply(command)
	}
	received := world.inbox
	world.inbox = nil
	world.notifyDriver()
	inputs := append(received, world.inbox...)
	if world.logFirst {
		inputs = append(world.inbox, received...)
	}
	world.inbox = nil
	world.recordReports(inputs)
	outputs := world.driver.Tick(world.now(), inputs)
	world.checkTick(inputs, outputs)
	for _, output := range outputs {
		world.execute(output)
	}
}

// advanceTasks ends tasks that are done, and stops those whose lease has ended.
func (world *world) advanceTasks(worker *fakeWorker) {
	if !worker.alive {
		return
	}
	for _, run := range append([]*fakeRun(nil), worker.running...) {
		held := worker.holder.Get(run.task)
		over := held == nil || held.EndsAt.Due(world.workerClock(worker))
		if run.endsAt.Due(world.realTime) && !over {
			world.finish(worker, run, run.end)
		}
	}
	for _, task := range worker.holder.Expire(world.workerClock(worker)) {
		if run := worker.find(task); run != nil {
			run.stopped = true
			world.finish(worker, run, EndStopped)
		}
	}
}

func (worker *fakeWorker) find(task identifier.TaskID) *fakeRun {
	for _, run := range worker.running {
		if run.task == task {
			return run
		}
	}
	return nil
}

// finish ends a run. The report of it waits while the worker is cut off.
func (world *world) finish(worker *fakeWorker, run *fakeRun, end TaskEnd) {
	run.ended = true
	if !run.stopped {
		run.end = end
	}
	for position, other := range worker.running {
		if other == run {
			worker.running = append(worker.running[:position], worker.running[position+1:]...)
			break
		}
	}
	worker.holder.Release(run.task)
	worker.undelivered = append(worker.undelivered, TaskEnded{Worker: worker.worker.ID, Task: run.task, Number: run.number, End: end})
	world.deliver(worker)
}

func (world *world) deliver(worker *fakeWorker) {
	if worker.connected {
		world.inbox = append(world.inbox, worker.undelivered...)
		worker.undelivered = nil
	}
}

func (world *world) sendHeartbeat(worker *fakeWorker) {
	beat := WorkerHeartbeat{Worker: worker.worker.ID, Reading: leaser.HolderMoment(world.workerClock(worker))}
	for _, run := range worker.running {
		beat.Running = append(beat.Running, RunningTask{Task: run.task, Number: run.number})
		if world.withoutReports {
			continue
		}
		beat.Reports = append(beat.Reports, guarder.Report{Task: run.task, Used: run.used, Age: 200 * time.Millisecond})
	}
	world.inbox = append(world.inbox, beat)
}

func (world *world) recordReports(inputs []Input) {
	for _, input := range inputs {
		beat, is := input.(WorkerHeartbeat)
		if !is {
			continue
		}
		for position, report := range beat.Reports {
			world.reports[beat.Running[position]] = report.Used
		}
	}
}

func (world *world) worker(id identifier.WorkerID) *fakeWorker {
	for _, worker := range world.workers {
		if worker.worker.ID == id {
			return worker
		}
	}
	return nil
}

func (world *world) execute(output Output) {
	world.trace = append(world.trace, showOutput(output))
	switch output := output.(type) {
	case Propose:
		world.proposals = append(world.proposals, output.Command)
	case StartTask:
		world.checkCapacity(output)
		if worker := world.worker(output.Worker); worker.alive && worker.connected {
			world.start(worker, output)
		}
	case RenewLeases:
		worker := world.worker(output.Worker)
		for _, grant := range output.Grants {
			if worker.alive && worker.connected {
				_ = worker.holder.Renew(world.workerClock(worker), grant)
			}
		}
	case ThrottleTask:
		world.order(output.TaskOrder, func(_ *fakeWorker, run *fakeRun) { run.used = run.used.Min(run.need) })
	case CheckpointTask:
		world.order(output.TaskOrder, func(worker *fakeWorker, run *fakeRun) {
			run.stopped = true
			world.finish(worker, run, EndCheckpointed)
		})
	case StopTask:
		world.order(output.TaskOrder, func(worker *fakeWorker, run *fakeRun) {
			run.stopped = true
			world.finish(worker, run, EndStopped)
		})
	}
}

func (world *world) order(order TaskOrder, obey func(worker *fakeWorker, run *fakeRun)) {
	worker := world.worker(order.Worker)
	if !worker.alive || !worker.connected {
		return
	}
	if run := worker.find(order.Task); run != nil && run.number == order.Number {
		obey(worker, run)
	}
}

// start runs a task on a worker and checks that it may start.
func (world *world) start(worker *fakeWorker, start StartTask) {
	task := start.Grant.Task
	if err := worker.holder.Accept(world.workerClock(worker), start.Grant); err != nil {
		world.inbox = append(world.inbox, TaskEnded{Worker: start.Worker, Task: task, Number: start.Grant.Number, End: EndRefused})
		return
	}
	record := world.machine.Get(start.Intent)
	if record == nil || record.State < StateConfirmed {
		world.t.Fatalf("%s started before its plan was confirmed", task)
	}
	if world.assigned[start.Intent] == StateCancelling || world.ended[start.Intent] {
		world.t.Fatalf("%s started after the driver was told that it is cancelled", task)
	}
	for _, former := range world.runs[task] {
		if !former.ended {
			world.t.Fatalf("%s runs twice at once", task)
		}
		if !record.Spec.Batches[start.Batch].Repeatable {
			world.t.Fatalf("%s is not repeatable and started twice", task)
		}
	}
	runTime, end, used := world.behave(start)
	if end == EndRefused {
		worker.holder.Release(task)
		world.inbox = append(world.inbox, TaskEnded{Worker: start.Worker, Task: task, Number: start.Grant.Number, End: EndRefused})
		return
	}
	run := &fakeRun{task: task, number: start.Grant.Number, startedAt: world.realTime, endsAt: world.realTime.Add(runTime), end: end, used: used, need: start.Need}
	worker.running = append(worker.running, run)
	world.runs[task] = append(world.runs[task], run)
}
