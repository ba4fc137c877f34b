package connector

import (
	"strconv"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/planner"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
)

// leaseBase is the numeric base of lease numbers on the wire.
const leaseBase = 10

// isWorker reports whether a backend server runs tasks of intents and none of jobs.
func isWorker(announce *backendv1.Announce) bool {
	return announce.GetResources().GetMilliCpu() > 0
}

// announcedEvent returns the first event of a stream: that of a worker goes to the driver of
// intents, that of any other backend server to the dispatcher.
func announcedEvent(announce *backendv1.Announce) coordinator.Input {
	if !isWorker(announce) {
		return &coordinator.ServerEvent{Event: announced(announce)}
	}
	id := identifier.WorkerID(announce.GetBackendServer())
	resources := announce.GetResources()
	event := &coordinator.WorkerEvent{Worker: id}
	reading := leaser.HolderMoment(announce.GetReadingNanos())
	event.Events = append(event.Events, planner.WorkerAnnounced{
		Worker: placer.Worker{
			ID:            id,
			Rack:          identifier.RackID(announce.GetRack()),
			FailureDomain: identifier.FailureDomain(announce.GetFailureDomain()),
			Capacity:      resourcesOf(resources),
		},
		Reading: reading,
	})
	event.Events = append(event.Events, taskEnds(id, announce.GetUnacknowledged(), nil)...)
	event.Events = append(event.Events, planner.WorkerHeartbeat{Worker: id, Reading: reading, Running: runningTasks(announce.GetLeases())})
	return event
}

// lostEvent returns the event that the stream of a backend server has ended.
func lostEvent(announce *backendv1.Announce) coordinator.Input {
	if !isWorker(announce) {
		return &coordinator.ServerEvent{Event: &dispatcher.ServerLost{Server: identifier.BackendServerID(announce.GetBackendServer())}}
	}
	id := identifier.WorkerID(announce.GetBackendServer())
	return &coordinator.WorkerEvent{Worker: id, Events: []planner.Input{planner.WorkerLost{Worker: id}}}
}

// eventsOf translates one message of a backend server.
func eventsOf(announce *backendv1.Announce, message *backendv1.ServerMessage) []coordinator.Input {
	id := announce.GetBackendServer()
	if isWorker(announce) {
		return []coordinator.Input{workerEvent(identifier.WorkerID(id), message)}
	}
	var events []coordinator.Input
	for _, event := range serverEvents(identifier.BackendServerID(id), message) {
		events = append(events, &coordinator.ServerEvent{Event: event})
	}
	return events
}

// workerEvent translates one message of a worker.
func workerEvent(id identifier.WorkerID, message *backendv1.ServerMessage) *coordinator.WorkerEvent {
	event := &coordinator.WorkerEvent{Worker: id, Events: taskEnds(id, message.GetAnswers(), message.GetRefusals())}
	if heartbeat := message.GetHeartbeat(); heartbeat != nil {
		event.Events = append(event.Events, planner.WorkerHeartbeat{
			Worker:  id,
			Reading: leaser.HolderMoment(heartbeat.GetReadingNanos()),
			Running: runningTasks(heartbeat.GetLeases()),
			Reports: usageReports(message.GetUsages()),
		})
	}
	return event
}

func taskEnds(id identifier.WorkerID, answers []*backendv1.Answer, refusals []*backendv1.Refusal) []planner.Input {
	var ends []planner.Input
	for _, refusal := range refusals {
		ends = append(ends, planner.TaskEnded{
			Worker: id, Task: identifier.TaskID(refusal.GetTask()), Number: leaseNumber(refusal.GetLease()), End: planner.EndRefused,
		})
	}
	for _, answer := range answers {
		ends = append(ends, planner.TaskEnded{
			Worker: id, Task: identifier.TaskID(answer.GetTask()), Number: leaseNumber(answer.GetLease()), End: endOf(answer),
		})
	}
	return ends
}

func endOf(answer *backendv1.Answer) planner.TaskEnd {
	switch {
	case answer.GetCheckpointed():
		return planner.EndCheckpointed
	case answer.GetCancelled():
		return planner.EndStopped
	case answer.GetFailed():
		return planner.EndFailed
	default:
		return planner.EndSucceeded
	}
}

func runningTasks(leases []*backendv1.LeaseState) []planner.RunningTask {
	running := make([]planner.RunningTask, 0, len(leases))
	for _, lease := range leases {
		running = append(running, planner.RunningTask{Task: identifier.TaskID(lease.GetTask()), Number: leaseNumber(lease.GetLease())})
	}
	return running
}

func usageReports(usages []*backendv1.Usage) []guarder.Report {
	reports := make([]guarder.Report, 0, len(usages))
	for _, usage := range usages {
		reports = append(reports, guarder.Report{
			Task: identifier.TaskID(usage.GetTask()),
			Used: identifier.Resources{
				MilliCPU:     identifier.MilliCPU(usage.GetMilliCpu()),
				Memory:       identifier.Bytes(usage.GetMemoryBytes()),
				Accelerators: identifier.Accelerators(usage.GetAccelerators()),
			},
			Age: time.Duration(usage.GetAgeNanos()),
		})
	}
	return reports
}

// leaseNumber parses a lease number; an unreadable one becomes 0, which no lease has.
func leaseNumber(text string) leaser.Number {
	number, err := strconv.ParseUint(text, leaseBase, 64)
	if err != nil {
		return 0
	}
	return leaser.Number(number)
}

func leaseText(number leaser.Number) string { return strconv.FormatUint(uint64(number), leaseBase) }

func resourcesOf(resources *backendv1.Resources) identifier.Resources {
	return identifier.Resources{
		MilliCPU:     identifier.MilliCPU(resources.GetMilliCpu()),
		Memory:       identifier.Bytes(resources.GetMemoryBytes()),
		Accelerators: identifier.Accelerators(resources.GetAccelerators()),
	}
}

// SendToWorker queues one tick's batch for a worker. Without a stream the batch is dropped; tasks
// that it started end with their leases.
func (servers *Servers) SendToWorker(batch *coordinator.ToWorker) {
	if current := servers.stream(identifier.BackendServerID(batch.Worker)); current != nil {
		enqueue(current, current.workerQueue, batch)
	}
}

// workerMessage translates one tick's batch for a worker.
func workerMessage(batch *coordinator.ToWorker) *backendv1.HostMessage {
	message := &backendv1.HostMessage{Renewal: &backendv1.Renewal{Epoch: uint64(batch.Epoch)}}
	for _, order := range batch.Orders {
		addOrder(message, batch.Epoch, order)
	}
	for _, received := range batch.Received {
		message.Received = append(message.Received, &backendv1.AnswerReceived{
			Task: string(received.Task), Lease: leaseText(received.Number),
		})
	}
	return message
}

func addOrder(message *backendv1.HostMessage, epoch identifier.Epoch, order planner.Output) {
	switch order := order.(type) {
	case planner.StartTask:
		message.Starts = append(message.Starts, leasedStart(epoch, &order))
	case planner.RenewLeases:
		for _, grant := range order.Grants {
			message.Renewal.Renewals = append(message.Renewal.Renewals, &backendv1.LeaseRenewal{
				Task: string(grant.Task), Lease: leaseText(grant.Number),
				EchoNanos: int64(grant.Echo), LeaseNanos: int64(grant.Length),
			})
		}
	case planner.ThrottleTask:
		message.Cancels = append(message.Cancels, leasedCancel(&order.TaskOrder, backendv1.CancelKind_CANCEL_KIND_THROTTLE))
	case planner.CheckpointTask:
		message.Cancels = append(message.Cancels, leasedCancel(&order.TaskOrder, backendv1.CancelKind_CANCEL_KIND_CHECKPOINT))
	case planner.StopTask:
		message.Cancels = append(message.Cancels, leasedCancel(&order.TaskOrder, backendv1.CancelKind_CANCEL_KIND_STOP))
	}
}

func leasedStart(epoch identifier.Epoch, start *planner.StartTask) *backendv1.Start {
	return &backendv1.Start{
		Submission: string(start.Intent),
		Task:       string(start.Grant.Task),
		Epoch:      uint64(epoch),
		Lease:      leaseText(start.Grant.Number),
		LeaseNanos: int64(start.Grant.Length),
		EchoNanos:  int64(start.Grant.Echo),
		Declared: &backendv1.Resources{
			MilliCpu:     int64(start.Need.MilliCPU),
			MemoryBytes:  int64(start.Need.Memory),
			Accelerators: int32(start.Need.Accelerators),
		},
		RunNanos: int64(start.RunTime),
		Resume:   start.Resume,
	}
}

func leasedCancel(order *planner.TaskOrder, kind backendv1.CancelKind) *backendv1.Cancel {
	return &backendv1.Cancel{Task: string(order.Task), Kind: kind, Lease: leaseText(order.Number), Reason: order.Reason}
}
