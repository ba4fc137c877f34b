package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// arrivals holds jobs until the next tick, by which all inputs that were waiting have been read. A
// host that was paused receives a job that waited for it before it receives the notice that the
// caller has left. If it leads the job's home cell, no round trip to a lead lies between the two.
type arrivals struct {
	jobs      []*supervisor.JobArrived
	arrivedAt identifier.Moment
}

// nextDeadline returns when the jobs are due, or identifier.Never.
func (arrivals *arrivals) nextDeadline() identifier.Moment {
	if len(arrivals.jobs) == 0 {
		return identifier.Never
	}
	return arrivals.arrivedAt
}

// handleSupervisorEvent passes an event to the supervisor, or holds a job whose home cell this host
// leads.
func (coordinator *Coordinator) handleSupervisorEvent(event supervisor.Input) {
	arrivals := &coordinator.arrivals
	switch event := event.(type) {
	case *supervisor.JobArrived:
		if coordinator.refuseWithoutLayout(event) {
			return
		}
		coordinator.markRejected(event)
		if !coordinator.leadsHomeOf(event) {
			break
		}
		arrivals.jobs = append(arrivals.jobs, event)
		arrivals.arrivedAt = coordinator.now
		return
	case *supervisor.CallerLeft:
		arrivals.jobs = slices.DeleteFunc(arrivals.jobs, func(job *supervisor.JobArrived) bool { return job.Waiter == event.Waiter })
	case *supervisor.ShutdownStarted:
		coordinator.releaseArrivals()
	}
	coordinator.notifySupervisor(event)
}

func (coordinator *Coordinator) leadsHomeOf(arrived *supervisor.JobArrived) bool {
	lead, _ := coordinator.elector.Lead(coordinator.Self.FailureDomain, coordinator.homeCellOf(arrived.Job.Job))
	return lead == coordinator.Self.Host
}

// releaseDueArrivals passes the jobs of earlier ticks to the supervisor.
func (coordinator *Coordinator) releaseDueArrivals() {
	if coordinator.arrivals.nextDeadline().Before(coordinator.now) {
		coordinator.releaseArrivals()
	}
}

// releaseArrivals passes the held jobs to the supervisor.
func (coordinator *Coordinator) releaseArrivals() {
	for _, job := range drainQueue(&coordinator.arrivals.jobs) {
		coordinator.notifySupervisor(job)
	}
}
