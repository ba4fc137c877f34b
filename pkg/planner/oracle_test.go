package planner

import (
	"fmt"
	"reflect"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// checkTick checks that a tick depends only on its inputs, and that the driver does not
// request another tick at once.
func (world *world) checkTick(inputs []Input, outputs []Output) {
	again := world.shadow.Tick(world.now(), inputs)
	if !reflect.DeepEqual(outputs, again) {
		world.t.Fatalf("the same inputs gave\n%v and\n%v", outputs, again)
	}
	if next := world.driver.NextDeadline(); next.Due(world.now()) {
		world.t.Fatalf("the driver is due again at once")
	}
}

// checkCapacity checks that a task is started only where it fits beside the other tasks,
// counted by their last usage report or, without one, by their declared need.
func (world *world) checkCapacity(start StartTask) {
	var sum identifier.Resources
	for _, task := range world.driver.Placer.TasksOn(start.Worker) {
		running := world.driver.tasks.Get(task)
		if running == nil {
			world.t.Fatalf("%s has resources reserved but is unknown to the driver", task)
		}
		known := running.batch.batch.Need
		if report, reported := world.reports[RunningTask{Task: task, Number: running.number}]; reported {
			known = report
		}
		sum = sum.Add(known)
	}
	if !sum.Fits(testCapacity) {
		world.t.Fatalf("%s started on %s, which then has %v reserved", start.Grant.Task, start.Worker, sum)
	}
}

// checkOutcomes compares every outcome in the log with what really ran.
func (world *world) checkOutcomes() {
	for _, name := range world.machine.Names() {
		record := world.machine.Get(name)
		for _, ended := range record.Ranges {
			for index := ended.From; index < ended.To; index++ {
				world.checkOutcome(record, ended, NewTaskID(name, ended.Batch, index))
			}
		}
		tally := record.Tally()
		if record.State == StateComplete && tally[OutcomeSucceeded] != record.Spec.Tasks() {
			world.t.Fatalf("%s is complete with %s", name, tally)
		}
		if record.State.Ended() && tally.Sum() != record.Spec.Tasks() {
			world.t.Fatalf("%s ended with %s of %d tasks", name, tally, record.Spec.Tasks())
		}
	}
}

func (world *world) checkOutcome(record *Record, ended Range, task identifier.TaskID) {
	succeeded, failed, stopped := false, false, false
	for _, run := range world.runs[task] {
		succeeded = succeeded || run.ended && !run.stopped && run.end == EndSucceeded
		failed = failed || run.ended && !run.stopped && run.end == EndFailed
		stopped = stopped || run.stopped
	}
	truth := true
	switch ended.Outcome {
	case OutcomeSucceeded:
		truth = succeeded
	case OutcomeFailed:
		truth = failed || stopped
	case OutcomeStopped:
		truth = stopped
	case OutcomeNotRun:
		truth = len(world.runs[task]) == 0
	}
	if !truth {
		world.t.Fatalf("%s of %s is reported as %s, which does not match its %d runs", task, record.State, ended.Outcome, len(world.runs[task]))
	}
}

func showOutput(output Output) string {
	order := func(verb string, order TaskOrder) string {
		return fmt.Sprintf("%s %s on %s: %s", verb, order.Task, order.Worker, order.Reason)
	}
	switch output := output.(type) {
	case StartTask:
		return fmt.Sprintf("start %s on %s resume=%v", output.Grant.Task, output.Worker, output.Resume)
	case ThrottleTask:
		return order("throttle", output.TaskOrder)
	case CheckpointTask:
		return order("checkpoint", output.TaskOrder)
	case StopTask:
		return order("stop", output.TaskOrder)
	case RackStatusChanged:
		return fmt.Sprintf("rack %s: %d of %d workers out, over=%v", output.Rack, output.Unavailable, output.Workers, output.Recovered)
	case Propose:
		if output.Command.Kind == CommandProgress {
			return fmt.Sprintf("progress %s %v", output.Command.Name, showRanges(output.Command.Progress.Ranges))
		}
	}
	return ""
}

func showRanges(ranges []Range) []string {
	var lines []string
	for _, ended := range ranges {
		lines = append(lines, fmt.Sprintf("%d/%d-%d=%s", ended.Batch, ended.From, ended.To, ended.Outcome))
	}
	return lines
}
