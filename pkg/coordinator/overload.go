package coordinator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
	"github.com/stoathitch/stoathitch/pkg/throttler"
)

// InputsWaited reports how long the oldest input of this tick has waited. It is the first input of the
// tick. A host that gets none never counts as overloaded.
type InputsWaited struct{ Wait time.Duration }

// OverloadChanged reports, for the log, that an overload of this host began or ended.
type OverloadChanged struct {
	Overloaded bool
	// Wait is the least wait of the worst window so far.
	Wait time.Duration
	// Lasted, RejectedJobs and RejectedRequests are set at the end of an overload.
	Lasted                         time.Duration
	RejectedJobs, RejectedRequests int
}

func (*InputsWaited) isCoordinatorInput()     {}
func (*OverloadChanged) isCoordinatorOutput() {}

// OverloadStatus is the overload of a host as operators see it.
type OverloadStatus struct {
	Overloaded bool `json:"overloaded"`
	// Fraction is the part of the new work that is rejected.
	Fraction float64 `json:"rejected-fraction"`
	// Overloads counts overloads since the start of the process, RejectedJobs the jobs of this host's
	// callers that were answered as rejected because of one, RejectedRequests the requests that this
	// host turned away as an overloaded lead.
	Overloads        int `json:"overloads"`
	RejectedJobs     int `json:"rejected-jobs"`
	RejectedRequests int `json:"rejected-requests"`
}

// overload is the overload of this host, and what was rejected because of it.
type overload struct {
	throttler throttler.Throttler
	status    OverloadStatus
	beganAt   identifier.Moment
	// rejectedJobs and rejectedRequests are the counts of status when the overload began.
	rejectedJobs, rejectedRequests int
}

// observeWait records the wait of a tick.
func (coordinator *Coordinator) observeWait(wait time.Duration) {
	coordinator.overload.throttler.Observe(coordinator.now, wait)
	coordinator.updateOverload()
}

// updateOverload reports, and notifies the allocators, when an overload begins or ends.
func (coordinator *Coordinator) updateOverload() {
	overload := &coordinator.overload
	overload.status.Fraction = overload.throttler.Fraction()
	overloaded := overload.throttler.Overloaded()
	if overloaded == overload.status.Overloaded {
		return
	}
	overload.status.Overloaded = overloaded
	changed := &OverloadChanged{Overloaded: overloaded, Wait: overload.throttler.LongestWait()}
	if overloaded {
		overload.status.Overloads++
		overload.beganAt = coordinator.now
		overload.rejectedJobs, overload.rejectedRequests = overload.status.RejectedJobs, overload.status.RejectedRequests
	} else {
		changed.Lasted = coordinator.now.Sub(overload.beganAt)
		changed.RejectedJobs = overload.status.RejectedJobs - overload.rejectedJobs
		changed.RejectedRequests = overload.status.RejectedRequests - overload.rejectedRequests
	}
	coordinator.outputs.add(changed)
	coordinator.notifyAllocators(&allocator.OverloadChanged{Overloaded: overloaded})
}

// markRejected marks a new job of a caller for rejection if the host is overloaded.
func (coordinator *Coordinator) markRejected(arrived *supervisor.JobArrived) {
	throttler := &coordinator.overload.throttler
	if throttler.Overloaded() && !coordinator.supervisor.Has(arrived.Job.Job) && throttler.Reject() {
		arrived.RetryAfter = throttler.RetryAfter()
	}
}

// passRequest passes a request to the allocator of its cell. An overloaded host marks a part of the new
// requests of other hosts for rejection; the jobs of its own callers have been through markRejected.
func (coordinator *Coordinator) passRequest(from identifier.HostID, request *messenger.CapacityRequest) {
	requested := &allocator.CapacityRequested{From: from, Request: *request}
	throttler := &coordinator.overload.throttler
	isNew := len(request.ActiveRuns) == 0 && !request.Partial && request.RetryAfter == 0 && coordinator.isUnknownJob(request)
	if throttler.Overloaded() && from != coordinator.Self.Host && isNew && throttler.Reject() {
		requested.RetryAfter = throttler.RetryAfter()
	}
	coordinator.notifyAllocator(request.Cell, requested)
}

// countRejectedRequest counts a request that this host turned away as an overloaded lead.
func (coordinator *Coordinator) countRejectedRequest(decision *messenger.Decision) {
	if decision.Kind == messenger.DecisionTurnedAway && decision.Reason == allocator.LeadOverloaded {
		coordinator.overload.status.RejectedRequests++
	}
}

// countRejectedJob counts the answer to a caller whose job was rejected because of an overload.
func (coordinator *Coordinator) countRejectedJob(ended *supervisor.JobEnded) {
	if ended.Outcome == supervisor.OutcomeRefused && ended.Reason == messenger.ReasonOverloaded {
		coordinator.overload.status.RejectedJobs++
	}
}
