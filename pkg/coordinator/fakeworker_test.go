package coordinator_test

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// fakeWorker follows the protocol of backend.proto for workers: it runs tasks under leases on its
// own clock.
type fakeWorker struct {
	world       *intentWorld
	worker      placer.Worker
	alive       bool
	incarnation int
	startedAt   identifier.Moment
	epoch       identifier.Epoch
	holder      *leaser.Holder
	running     []*fakeRun
	ended       []planner.TaskEnded
}

// fakeRun is one actual run of a task.
type fakeRun struct {
	task   identifier.TaskID
	number leaser.Number
	endsAt identifier.Moment
	need   identifier.Resources
	ended  bool
	end    planner.TaskEnd
}

func (worker *fakeWorker) network() *network { return worker.world.network }

// now reads the worker's own clock.
func (worker *fakeWorker) now() identifier.Moment {
	return identifier.Moment(worker.network().now.Sub(worker.startedAt)) + 1
}

// boot starts a process without any state of the previous one.
func (worker *fakeWorker) boot() {
	worker.incarnation++
	worker.alive = true
	worker.startedAt = worker.network().now
	worker.epoch = 0
	worker.holder = &leaser.Holder{Drift: time.Second}
	worker.ended = nil
	for _, host := range worker.network().hosts {
		worker.attach(host)
	}
	worker.checkRuns(worker.incarnation)
	worker.sendHeartbeat(worker.incarnation)
}

// crash ends the process and all of its tasks.
func (worker *fakeWorker) crash() {
	worker.alive = false
	worker.incarnation++
	for _, run := range worker.running {
		run.ended, run.end = true, planner.EndStopped
	}
	worker.running = nil
	for _, host := range worker.network().hosts {
		worker.detach(host)
	}
}

func (worker *fakeWorker) attach(host *fakeHost) {
	link := worker.network().connection(string(host.id), string(worker.worker.ID))
	if !worker.alive || host.coordinator == nil || link.open || host.domain != worker.worker.FailureDomain {
		return
	}
	link.open = true
	events := []planner.Input{planner.WorkerAnnounced{Worker: worker.worker, Reading: leaser.HolderMoment(worker.now())}}
	worker.send(host, append(events, worker.state()...))
}

func (worker *fakeWorker) detach(host *fakeHost) {
	link := worker.network().connection(string(host.id), string(worker.worker.ID))
	if !link.open {
		return
	}
	link.open = false
	link.generation++
	lost := &coordinator.WorkerEvent{Worker: worker.worker.ID, Events: []planner.Input{planner.WorkerLost{Worker: worker.worker.ID}}}
	worker.network().tick(host, lost)
}

func (worker *fakeWorker) send(host *fakeHost, events []planner.Input) {
	worker.network().send(string(host.id), string(worker.worker.ID), func() {
		worker.network().tick(host, &coordinator.WorkerEvent{Worker: worker.worker.ID, Events: events})
	})
}

func (worker *fakeWorker) broadcast(events ...planner.Input) {
	for _, host := range worker.network().hosts {
		worker.send(host, events)
	}
}

// state returns the events of a heartbeat: unacknowledged ends, running tasks and their usage.
func (worker *fakeWorker) state() []planner.Input {
	beat := planner.WorkerHeartbeat{Worker: worker.worker.ID, Reading: leaser.HolderMoment(worker.now())}
	for _, run := range worker.running {
		beat.Running = append(beat.Running, planner.RunningTask{Task: run.task, Number: run.number})
		beat.Reports = append(beat.Reports, guarder.Report{Task: run.task, Used: run.need})
	}
	var events []planner.Input
	for _, ended := range worker.ended {
		events = append(events, ended)
	}
	return append(events, beat)
}

func (worker *fakeWorker) sendHeartbeat(incarnation int) {
	if worker.incarnation != incarnation {
		return
	}
	worker.broadcast(worker.state()...)
	worker.network().at(3*time.Second, func() { worker.sendHeartbeat(incarnation) })
}

// checkRuns ends tasks that are done, and stops those whose lease has expired.
func (worker *fakeWorker) checkRuns(incarnation int) {
	if worker.incarnation != incarnation {
		return
	}
	for _, task := range worker.holder.Expire(worker.now()) {
		if run := worker.find(task); run != nil {
			worker.finish(run, planner.EndStopped)
		}
	}
	for _, run := range slices.Clone(worker.running) {
		if run.endsAt.Due(worker.network().now) {
			worker.finish(run, planner.EndSucceeded)
		}
	}
	worker.network().at(100*time.Millisecond, func() { worker.checkRuns(incarnation) })
}

func (worker *fakeWorker) find(task identifier.TaskID) *fakeRun {
	for _, run := range worker.running {
		if run.task == task {
			return run
		}
	}
	return nil
}

func (worker *fakeWorker) finish(run *fakeRun, end planner.TaskEnd) {
	run.ended, run.end = true, end
	worker.running = slices.DeleteFunc(worker.running, func(other *fakeRun) bool { return other == run })
	worker.holder.Release(run.task)
	worker.reportEnd(planner.TaskEnded{Worker: worker.worker.ID, Task: run.task, Number: run.number, End: end})
}

// reportEnd sends how a task ended, and keeps it until it is acknowledged.
func (worker *fakeWorker) reportEnd(ended planner.TaskEnded) {
	worker.ended = append(worker.ended, ended)
	worker.broadcast(ended)
}

// handle applies one batch of a driver, unless its epoch is older than one seen before.
func (worker *fakeWorker) handle(batch *coordinator.ToWorker) {
	if !worker.alive || batch.Epoch < worker.epoch {
		return
	}
	worker.epoch = batch.Epoch
	worker.holder.RaiseEpoch(batch.Epoch)
	for _, received := range batch.Received {
		worker.ended = slices.DeleteFunc(worker.ended, func(ended planner.TaskEnded) bool { return ended.Number == received.Number })
	}
	for _, order := range batch.Orders {
		switch order := order.(type) {
		case planner.RenewLeases:
			for _, grant := range order.Grants {
				_ = worker.holder.Renew(worker.now(), grant)
			}
		case planner.StopTask:
			worker.applyOrder(order.TaskOrder, planner.EndStopped)
		case planner.CheckpointTask:
			worker.applyOrder(order.TaskOrder, planner.EndCheckpointed)
		case planner.StartTask:
			worker.start(order)
		}
	}
}

func (worker *fakeWorker) applyOrder(order planner.TaskOrder, end planner.TaskEnd) {
	if run := worker.find(order.Task); run != nil && run.number == order.Number {
		worker.finish(run, end)
	}
}

func (worker *fakeWorker) start(start planner.StartTask) {
	grant := start.Grant
	if worker.find(grant.Task) != nil || worker.holder.Accept(worker.now(), grant) != nil {
		worker.reportEnd(planner.TaskEnded{Worker: worker.worker.ID, Task: grant.Task, Number: grant.Number, End: planner.EndRefused})
		return
	}
	run := &fakeRun{task: grant.Task, number: grant.Number, need: start.Need, endsAt: worker.network().now.Add(start.RunTime)}
	worker.running = append(worker.running, run)
	worker.world.recordStart(start, run, worker)
}
