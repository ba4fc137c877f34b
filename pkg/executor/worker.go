package executor

import (
	"cmp"
	"context"
	"strconv"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
)

// Intervals and lease parameters of a worker.
const (
	workerHeartbeatInterval = 3 * time.Second
	// leaseCheckInterval is the time between two checks of the leases. It is a small fraction of
	// leaseDrift, the time by which a task stops before any other worker may run it.
	leaseCheckInterval = 100 * time.Millisecond
	leaseDrift         = time.Second
	leaseBase          = 10
	permille           = 1000
)

// Resources are the resources that a worker offers to tasks.
type Resources struct {
	MilliCPU     int64
	MemoryBytes  int64
	Accelerators int32
}

// worker is the part of a stand-in that runs tasks of intents. It is guarded by the
// mutex of its executor.
type worker struct {
	executor *Executor
	holder   *leaser.Holder
	epoch    uint64
	tasks    map[string]*leasedTask
	// unacknowledged holds answers and refusals by lease until the driver acknowledges them.
	unacknowledged map[string]*backendv1.ServerMessage
	// checkpoints holds the completed run time of each task's checkpoint. A real worker would
	// store checkpoints where other workers can read them.
	checkpoints map[string]time.Duration
}

// leasedTask is a task that runs under a lease.
type leasedTask struct {
	intent    string
	task      string
	lease     string
	declared  *backendv1.Resources
	startedAt time.Time
	completed time.Duration
	throttled bool
	timer     *time.Timer
}

func newWorker(executor *Executor) *worker {
	if executor.Resources == nil {
		return nil
	}
	return &worker{
		executor:       executor,
		holder:         &leaser.Holder{Drift: leaseDrift},
		tasks:          make(map[string]*leasedTask),
		unacknowledged: make(map[string]*backendv1.ServerMessage),
		checkpoints:    make(map[string]time.Duration),
	}
}

// now returns the time on the worker's own clock, which starts with the executor.
func (worker *worker) now() identifier.Moment {
	return identifier.Moment(time.Since(worker.executor.startedAt)) + 1
}

// run stops tasks whose lease has expired and sends heartbeats.
func (worker *worker) run(ctx context.Context) {
	check := time.NewTicker(leaseCheckInterval)
	defer check.Stop()
	beat := time.NewTicker(workerHeartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			worker.stopAll()
			return
		case <-check.C:
			worker.stopOverdue()
		case <-beat.C:
			worker.sendHeartbeat()
		}
	}
}

// stopAll ends all tasks without answers when the process stops.
func (worker *worker) stopAll() {
	worker.executor.mutex.Lock()
	defer worker.executor.mutex.Unlock()
	for _, task := range worker.tasks {
		task.timer.Stop()
	}
	clear(worker.tasks)
}

func (worker *worker) stopOverdue() {
	worker.executor.mutex.Lock()
	defer worker.executor.mutex.Unlock()
	for _, over := range worker.holder.Expire(worker.now()) {
		if task := worker.tasks[string(over)]; task != nil {
			worker.end(task, &backendv1.Answer{Cancelled: true, Reason: "the lease ran out"})
		}
	}
}

// sendHeartbeat sends every entry host the running tasks and their usage, and resends the
// unacknowledged answers and refusals.
func (worker *worker) sendHeartbeat() {
	worker.executor.mutex.Lock()
	defer worker.executor.mutex.Unlock()
	message := &backendv1.ServerMessage{Heartbeat: &backendv1.Heartbeat{
		Busy: int32(len(worker.tasks)), ReadingNanos: int64(worker.now()), Leases: worker.leases(),
	}}
	for _, task := range worker.tasks {
		message.Usages = append(message.Usages, worker.usage(task))
	}
	for _, ended := range worker.unacknowledged {
		message.Answers = append(message.Answers, ended.GetAnswers()...)
		message.Refusals = append(message.Refusals, ended.GetRefusals()...)
	}
	worker.broadcast(message)
}

func (worker *worker) broadcast(message *backendv1.ServerMessage) {
	for _, link := range worker.executor.links {
		link.queue(message)
	}
}

func (worker *worker) leases() []*backendv1.LeaseState {
	var leases []*backendv1.LeaseState
	for _, task := range worker.tasks {
		leases = append(leases, &backendv1.LeaseState{Submission: task.intent, Task: task.task, Lease: task.lease})
	}
	return leases
}

// usage returns the simulated usage of a task. A throttled task uses no more processors than
// it declared; its memory can't be throttled.
func (worker *worker) usage(task *leasedTask) *backendv1.Usage {
	used := cmp.Or(worker.executor.UsePermille, permille)
	declared := task.declared
	usage := &backendv1.Usage{
		Submission: task.intent, Task: task.task, Accelerators: declared.GetAccelerators(),
		MilliCpu: declared.GetMilliCpu() * used / permille, MemoryBytes: declared.GetMemoryBytes() * used / permille,
	}
	if task.throttled {
		usage.MilliCpu = min(usage.GetMilliCpu(), declared.GetMilliCpu())
	}
	return usage
}

func (worker *worker) fillAnnounce(announce *backendv1.Announce) {
	resources := worker.executor.Resources
	announce.Resources = &backendv1.Resources{
		MilliCpu: resources.MilliCPU, MemoryBytes: resources.MemoryBytes, Accelerators: resources.Accelerators,
	}
	announce.ReadingNanos = int64(worker.now())
	announce.Leases = worker.leases()
	for _, ended := range worker.unacknowledged {
		announce.Unacknowledged = append(announce.Unacknowledged, ended.GetAnswers()...)
	}
}

// handle applies one batch from the driver. Messages of a former driver are ignored.
func (worker *worker) handle(message *backendv1.HostMessage) {
	renewal := message.GetRenewal()
	if renewal == nil || renewal.GetEpoch() < worker.epoch {
		return
	}
	worker.epoch = renewal.GetEpoch()
	worker.holder.RaiseEpoch(identifier.Epoch(worker.epoch))
	for _, renewed := range renewal.GetRenewals() {
		// A lease that can't be renewed expires by itself, as the driver assumes.
		_ = worker.holder.Renew(worker.now(), grantOf(renewed.GetTask(), renewed.GetLease(), renewed.GetEchoNanos(), renewed.GetLeaseNanos()))
	}
	for _, cancel := range message.GetCancels() {
		worker.applyCancel(cancel)
	}
	for _, start := range message.GetStarts() {
		worker.start(start)
	}
	for _, received := range message.GetReceived() {
		delete(worker.unacknowledged, received.GetLease())
	}
}

func grantOf(task, lease string, echo, length int64) leaser.Grant {
	// A lease that can't be parsed becomes 0, which is below all others and so is refused.
	number, _ := strconv.ParseUint(lease, leaseBase, 64)
	return leaser.Grant{
		Task: identifier.TaskID(task), Number: leaser.Number(number), Echo: leaser.HolderMoment(echo), Length: time.Duration(length),
	}
}

func (worker *worker) start(start *backendv1.Start) {
	grant := grantOf(start.GetTask(), start.GetLease(), start.GetEchoNanos(), start.GetLeaseNanos())
	if worker.executor.leaving || worker.tasks[start.GetTask()] != nil || worker.holder.Accept(worker.now(), grant) != nil {
		worker.refuse(start)
		return
	}
	task := &leasedTask{
		intent: start.GetSubmission(), task: start.GetTask(), lease: start.GetLease(),
		declared: start.GetDeclared(), startedAt: time.Now(),
	}
	if start.GetResume() {
		task.completed = worker.checkpoints[task.task]
	}
	worker.tasks[task.task] = task
	if worker.executor.Recorder != nil {
		worker.executor.Recorder.Record(worker.executor.Name, task.intent, task.intent, task.task)
	}
	left := max(time.Duration(start.GetRunNanos())-task.completed, 0)
	task.timer = time.AfterFunc(left, func() { worker.finish(task) })
}

func (worker *worker) refuse(start *backendv1.Start) {
	refused := &backendv1.ServerMessage{Refusals: []*backendv1.Refusal{{
		Submission: start.GetSubmission(), Task: start.GetTask(), Lease: start.GetLease(),
		Kind: backendv1.RefusalKind_REFUSAL_KIND_STALE_EPOCH,
	}}}
	worker.unacknowledged[start.GetLease()] = refused
	worker.broadcast(refused)
}

// finish ends a task whose run time is over, unless it was stopped before or its lease has
// expired.
func (worker *worker) finish(task *leasedTask) {
	worker.executor.mutex.Lock()
	defer worker.executor.mutex.Unlock()
	if worker.tasks[task.task] == task && worker.holder.Valid(worker.now(), identifier.TaskID(task.task)) {
		worker.end(task, &backendv1.Answer{})
	}
}

// applyCancel carries out a cancel, throttle or checkpoint order on the run that it names.
func (worker *worker) applyCancel(order *backendv1.Cancel) {
	task := worker.tasks[order.GetTask()]
	if task == nil || task.lease != order.GetLease() {
		return
	}
	switch order.GetKind() {
	case backendv1.CancelKind_CANCEL_KIND_THROTTLE:
		task.throttled = true
	case backendv1.CancelKind_CANCEL_KIND_CHECKPOINT:
		worker.checkpoints[task.task] = task.completed + time.Since(task.startedAt)
		worker.end(task, &backendv1.Answer{Checkpointed: true, Reason: order.GetReason()})
	default:
		worker.end(task, &backendv1.Answer{Cancelled: true, Reason: order.GetReason()})
	}
}

// end releases the lease of a task and sends its answer, which is repeated until it is
// acknowledged.
func (worker *worker) end(task *leasedTask, answer *backendv1.Answer) {
	task.timer.Stop()
	worker.holder.Release(identifier.TaskID(task.task))
	delete(worker.tasks, task.task)
	answer.Submission = task.intent
	answer.Task = task.task
	answer.Lease = task.lease
	answer.RunNanos = int64(time.Since(task.startedAt))
	ended := &backendv1.ServerMessage{Answers: []*backendv1.Answer{answer}}
	worker.unacknowledged[task.lease] = ended
	worker.broadcast(ended)
}
