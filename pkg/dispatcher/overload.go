package dispatcher

import (
	"fmt"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/queuer"
)

const (
	// retryAfterMin and retryAfterMax bound the time after which a refusal suggests a retry.
	retryAfterMin = 20 * time.Millisecond
	retryAfterMax = 5 * time.Second
)

// refuseAtAdmission returns a refusal for a job that can't be served in time, or nil. Nothing of a
// job that is refused here has started, so every refusal says "not run".
//
// Without these checks a burst fills the queue, every admitted job waits behind work that will be
// too late as well, and the queue is still full when the burst is over. The response time then
// grows with the length of the burst.
func (dispatcher *Dispatcher) refuseAtAdmission(cell *cell, job *job) *messenger.JobAnswer {
	for _, check := range [...]admissionCheck{
		(*Dispatcher).refuseNeverRunnable,
		(*Dispatcher).refuseWithoutServers,
		(*Dispatcher).refuseFullQueue,
		(*Dispatcher).refuseLongWait,
		(*Dispatcher).refuseOverRate,
	} {
		if refusal := check(dispatcher, cell, job); refusal != nil {
			return refusal
		}
	}
	return nil
}

type admissionCheck func(dispatcher *Dispatcher, cell *cell, job *job) *messenger.JobAnswer

// refuseNeverRunnable refuses a job that could not be served in any state of the cell. The detail
// names the closest request that could be.
func (dispatcher *Dispatcher) refuseNeverRunnable(_ *cell, job *job) *messenger.JobAnswer {
	bound := dispatcher.Settings.QueuedTasks
	if len(job.tasks) > bound {
		return messenger.Refuse(job.spec.Submission, messenger.ReasonNeverRunnable, fmt.Sprintf(
			"the job has %d tasks and at most %d can ever wait here; jobs of up to %d tasks would run", len(job.tasks), bound, bound))
	}
	if !job.spec.MayRunIn(dispatcher.FailureDomain) {
		return messenger.Refuse(job.spec.Submission, messenger.ReasonNeverRunnable, fmt.Sprintf(
			"the job may run in %v only, and this is failure domain %s; with it in may-run the job would run",
			job.spec.MayRun, dispatcher.FailureDomain))
	}
	return nil
}

// refuseWithoutServers refuses a job when no backend server has been usable for NoServerWait.
func (dispatcher *Dispatcher) refuseWithoutServers(cell *cell, job *job) *messenger.JobAnswer {
	if !dispatcher.noServerForLong(cell) {
		return nil
	}
	refusal := messenger.Refuse(job.spec.Submission, messenger.ReasonNoBackendServer, dispatcher.noServerDetail())
	refusal.RetryAfter = dispatcher.Settings.Limits.NoServerWait
	return refusal
}

func (dispatcher *Dispatcher) noServerDetail() string {
	if dispatcher.evacuated() {
		return "failure domain " + string(dispatcher.FailureDomain) + " is evacuated"
	}
	return "no backend server of failure domain " + string(dispatcher.FailureDomain) + " takes tasks now"
}

// noServerForLong reports whether no backend server of the cell has been usable for longer than
// jobs wait for one.
func (dispatcher *Dispatcher) noServerForLong(cell *cell) bool {
	if dispatcher.evacuated() {
		return true
	}
	if dispatcher.capacity(cell) > 0 {
		return false
	}
	return cell.noServerSince.Add(dispatcher.Settings.Limits.NoServerWait).Due(dispatcher.now)
}

// refuseFullQueue bounds the queued tasks. Beyond the bound a team may still queue up to its share
// of it, so that a flood from one team does not shut out the others. The total never exceeds twice
// the bound.
func (dispatcher *Dispatcher) refuseFullQueue(cell *cell, job *job) *messenger.JobAnswer {
	bound := dispatcher.Settings.QueuedTasks
	total := cell.queue.Tasks() + len(job.tasks)
	if total <= bound {
		return nil
	}
	weight := cell.limiter.Weight(dispatcher.now, job.spec.Team)
	share := int(cell.queue.FairShare(job.spec.Team, weight) * float64(bound))
	if total <= 2*bound && cell.queue.TeamTasks(job.spec.Team)+len(job.tasks) <= share {
		return nil
	}
	refusal := messenger.Refuse(job.spec.Submission, messenger.ReasonQueueFull, fmt.Sprintf(
		"%d tasks wait for a slot and the team's share of the queue is %d", cell.queue.Tasks(), share))
	slots := max(dispatcher.capacity(cell), 1)
	refusal.RetryAfter = clampRetryAfter(cell.queue.Work() / time.Duration(slots))
	return refusal
}

// refuseLongWait refuses a job whose expected wait is too long for its size, that would delay
// other jobs of its team too much, or that can't meet its deadline.
func (dispatcher *Dispatcher) refuseLongWait(cell *cell, job *job) *messenger.JobAnswer {
	slots := dispatcher.capacity(cell)
	if slots == 0 {
		// It is unknown when a backend server will be available; jobs wait for one no longer than
		// NoServerWait.
		return nil
	}
	limits := cell.limiter.Limits(dispatcher.now, job.spec.Team)
	settings := dispatcher.Settings.Limits
	decision := cell.queue.Evaluate(dispatcher.now, queuer.Candidate{
		Team:            job.spec.Team,
		Weight:          max(limits.Weight, 1),
		Urgent:          job.entry.Urgent,
		Due:             job.entry.Due,
		Work:            job.estimate.work,
		Ideal:           job.estimate.ideal,
		MaxDelay:        max(time.Duration(float64(job.estimate.ideal)*settings.QueueWaitRatio), settings.QueueWaitFloor),
		MaxWaitFraction: settings.QueuePatience,
		Slots:           slots,
		MaxTeamSlots:    limits.TasksInFlight,
	})
	if dispatcher.startsAtOnce(cell, job, limits.TasksInFlight) {
		decision = queuer.AdmissionDecision{Admitted: true}
	}
	if !decision.Admitted {
		return refuseWait(job, decision)
	}
	if job.estimate.learned && dispatcher.now.Add(decision.Wait+job.estimate.ideal) > job.deadline {
		return dispatcher.refuseDeadline(job, decision.Wait)
	}
	return nil
}

// startsAtOnce reports whether the free slots suffice for everything queued and the job. Tasks that
// arrived in the same tick are queued although they will start at once. If they counted as waiting,
// jobs would be refused although slots are free.
func (dispatcher *Dispatcher) startsAtOnce(cell *cell, job *job, ceiling int) bool {
	if cell.queue.Tasks()+len(job.tasks) > int(cell.free.slots()) {
		return false
	}
	team := job.spec.Team
	inFlight := cell.limiter.InFlight(dispatcher.now, team) + cell.queue.TeamTasks(team) + len(job.tasks)
	return ceiling <= 0 || inFlight <= ceiling
}

func refuseWait(job *job, decision queuer.AdmissionDecision) *messenger.JobAnswer {
	refusal := messenger.Refuse(job.spec.Submission, messenger.ReasonQueueFull, fmt.Sprintf(
		"the job would wait about %v for a slot and takes about %v itself; the team's share of the slots is taken",
		decision.Wait.Round(time.Millisecond), job.estimate.ideal.Round(time.Millisecond)))
	refusal.RetryAfter = clampRetryAfter(decision.RetryAfter)
	return refusal
}

func (dispatcher *Dispatcher) refuseDeadline(job *job, wait time.Duration) *messenger.JobAnswer {
	left := job.deadline.Sub(dispatcher.now)
	refusal := messenger.Refuse(job.spec.Submission, messenger.ReasonDeadlineUnreachable, fmt.Sprintf(
		"%v are left until the deadline; such jobs take about %v and would wait about %v; a deadline of %v would be met",
		left.Round(time.Millisecond), job.estimate.ideal.Round(time.Millisecond), wait.Round(time.Millisecond),
		(wait+2*job.estimate.ideal).Round(time.Millisecond)))
	if wait > 0 {
		refusal.RetryAfter = clampRetryAfter(wait)
	}
	return refusal
}

// refuseOverRate must be the last check, because it charges the team for the admitted job.
func (dispatcher *Dispatcher) refuseOverRate(cell *cell, job *job) *messenger.JobAnswer {
	wait, admitted := cell.limiter.Admit(dispatcher.now, job.spec.Team, len(job.tasks))
	if admitted {
		return nil
	}
	refusal := messenger.Refuse(job.spec.Submission, messenger.ReasonOverQuota,
		"team "+string(job.spec.Team)+" is over its rate of task starts")
	refusal.RetryAfter = max(wait, time.Millisecond)
	return refusal
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, retryAfterMin), retryAfterMax)
}

// capacity returns the number of slots of the cell's usable backend servers, busy or not, as far
// as the servers' health allows their use.
func (dispatcher *Dispatcher) capacity(cell *cell) identifier.Slots {
	if !cell.capacityStale {
		return cell.slots
	}
	cell.capacityStale = false
	cell.slots = 0
	dispatcher.servers.Each(func(_ serverKey, server *server) bool {
		if server.cell == cell.number && server.serving() {
			cell.slots += server.allowed
		}
		return true
	})
	if cell.slots > 0 {
		cell.noServerSince = identifier.Never
		dispatcher.timers.Clear(timerKey{kind: timerNoServer, cell: cell.number})
	} else if cell.noServerSince == identifier.Never {
		cell.noServerSince = dispatcher.now
		due := dispatcher.now.Add(dispatcher.Settings.Limits.NoServerWait)
		dispatcher.timers.Set(timerKey{kind: timerNoServer, cell: cell.number}, due)
	}
	return cell.slots
}

// serving reports whether the server accepts tasks whenever it has a free slot.
func (server *server) serving() bool {
	return server.connected && server.fenced && !server.silent && !server.leaving && !server.evacuated
}

// invalidateCapacity has the capacity recomputed after inputs that may change it.
func (dispatcher *Dispatcher) invalidateCapacity(input Input) {
	switch input := input.(type) {
	case *ServerAnnounced, *ServerReported, *ServerLeaving, *ServerLost, *TasksRefused:
		dispatcher.markCapacityStale()
	case *ServerHeartbeat:
		dispatcher.eachView(input.Server, func(server *server) {
			if server.silent {
				dispatcher.markCapacityStale()
			}
		})
	}
}

func (dispatcher *Dispatcher) markCapacityStale() {
	dispatcher.cells.Each(func(_ messenger.CellNumber, cell *cell) bool {
		cell.capacityStale = true
		return true
	})
}

// refuseQueued ends the jobs that wait although no backend server has been usable for long. Jobs of
// which nothing can have started are refused as not run.
func (dispatcher *Dispatcher) refuseQueued(cell *cell) {
	for entry := cell.queue.Next(); entry != nil; entry = cell.queue.Next() {
		dispatcher.failJob(entry.Payload, messenger.ReasonNoBackendServer, dispatcher.noServerDetail())
	}
}
