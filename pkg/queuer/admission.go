package queuer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Candidate is a job whose admission is to be decided.
type Candidate struct {
	Team   identifier.TeamID
	Weight int
	Urgent bool
	// Due is the time by which the job would be ordered in the queue; see Order.
	Due identifier.Moment
	// Work is the expected slot time of all the job's tasks. Ideal is the job's duration
	// when it has all slots for itself.
	Work  time.Duration
	Ideal time.Duration
	// MaxDelay is the delay that is acceptable: how much longer than Ideal the job may take.
	MaxDelay time.Duration
	// MaxWaitFraction is the fraction of the time until they are due that the team's waiting
	// jobs may spend waiting.
	MaxWaitFraction float64
	// Slots is the number of slots that serve the queue.
	Slots identifier.Slots
	// MaxTeamSlots is the largest number of slots that the team may use. 0 means no limit.
	MaxTeamSlots int
}

// AdmissionDecision is the decision on a candidate.
type AdmissionDecision struct {
	Admitted bool
	// Wait is the expected time that the work ahead of the job takes.
	Wait time.Duration
	// RetryAfter is the time after which the job would be admitted if no other job
	// arrived. It is zero for an admitted job.
	RetryAfter time.Duration
}

// Evaluate decides whether a job can be served in time. It can if the work of its own
// team ahead of it fits into the team's fair share, whatever the other teams have
// queued, or if it fits into the slots that the other teams leave free and the whole
// queue is short. Jobs of the team that were already admitted and are due later must
// still be served in time. Each call counts the candidate's work as offered.
func (queue *Queue[P, O]) Evaluate(now identifier.Moment, candidate Candidate) AdmissionDecision {
	queue.expireRecent(now)
	queue.offered.add(now, candidate.Work)
	queue.offered.rate = min(queue.offered.rate, maxOfferedRatio*float64(candidate.Slots))
	team := queue.teams[candidate.Team]
	before := time.Duration(0)
	if team != nil {
		before = min(queue.surplus(team), queue.work-team.backlogs.total())
		before += team.backlogs.workBefore(now, candidate)
	}
	fair, free := queue.capacities(now, team, candidate)
	decision := team.fits(now, candidate, before, fair)
	if decision.Admitted {
		return decision
	}
	if !queue.overloaded(now, candidate.Slots) {
		candidate.MaxDelay = scale(candidate.MaxDelay, queue.Settings.NormalWaitFactor)
		return queue.fitsAllSlots(now, candidate)
	}
	if free <= fair {
		return decision
	}
	candidate.MaxDelay = scale(candidate.MaxDelay, queue.Settings.OverloadWaitFactor)
	decision = team.fits(now, candidate, before, free)
	if whole := queue.fitsAllSlots(now, candidate); !whole.Admitted {
		return whole
	}
	return decision
}

// overloaded reports whether more work is offered than the slots can do. In this case
// work of other teams that has yet to arrive will go ahead of a job beyond its team's
// share, and the job would wait longer than the current queue suggests.
func (queue *Queue[P, O]) overloaded(now identifier.Moment, slots identifier.Slots) bool {
	return queue.offered.value(now) > queue.Settings.OverloadThreshold*float64(slots)
}

// fitsAllSlots reports whether all slots together can finish the work of all teams that
// is due before the job in time.
func (queue *Queue[P, O]) fitsAllSlots(now identifier.Moment, candidate Candidate) AdmissionDecision {
	decision := AdmissionDecision{Admitted: true}
	decision.Wait = divide(queue.backlogs.workBefore(now, candidate), float64(max(candidate.Slots, 1)))
	if late := decision.Wait - candidate.MaxDelay; late > 0 {
		decision.Admitted = false
		decision.RetryAfter = late
	}
	return decision
}

// fits reports whether the job can be served in time by the given number of slots, when
// the slot time before goes ahead of it.
func (team *team[P]) fits(now identifier.Moment, candidate Candidate, before time.Duration, capacity float64) AdmissionDecision {
	decision := AdmissionDecision{Admitted: true, Wait: divide(before, capacity)}
	if before == 0 {
		return decision
	}
	late := max(decision.Wait, divide(before+candidate.Work, capacity)-candidate.Ideal) - candidate.MaxDelay
	if late <= 0 && team.backlogs.of(candidate.Urgent).delaysLaterJobs(now, candidate.Due, before+candidate.Work, capacity*candidate.MaxWaitFraction) {
		late = divide(candidate.Work, capacity)
	}
	if late > 0 {
		decision.Admitted = false
		decision.RetryAfter = late
	}
	return decision
}

// maxOfferedRatio caps the rate of offered work as a multiple of the slots, so that the
// end of a burst is detected soon.
const maxOfferedRatio = 2

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

func divide(work time.Duration, slots float64) time.Duration {
	return time.Duration(float64(work) / slots)
}

// FairShare returns a team's fair share, from 0 to 1, among the teams that recently had
// waiting tasks and itself.
func (queue *Queue[P, O]) FairShare(id identifier.TeamID, weight int) float64 {
	weights := queue.weights
	if team := queue.teams[id]; team != nil && team.active {
		weights -= team.weight
	}
	weight = max(weight, 1)
	return float64(weight) / float64(weights+weight)
}

// capacities returns the number of slots in the team's fair share, and the number that
// the recently admitted work of the other teams leaves free.
func (queue *Queue[P, O]) capacities(now identifier.Moment, team *team[P], candidate Candidate) (fair, free float64) {
	slots := float64(max(candidate.Slots, 1))
	own := 0.0
	if team != nil {
		own = team.admitted.value(now)
	}
	fair = slots * queue.FairShare(candidate.Team, candidate.Weight)
	free = slots - max(queue.admitted.value(now)-own, 0)
	if candidate.MaxTeamSlots > 0 {
		fair = min(fair, float64(candidate.MaxTeamSlots))
		free = min(free, float64(candidate.MaxTeamSlots))
	}
	return fair, free
}

// surplus returns the slot time that a team has received beyond its fair share. The other
// teams with waiting tasks are served until they have caught up with it.
func (queue *Queue[P, O]) surplus(team *team[P]) time.Duration {
	return time.Duration(max(team.tag-queue.virtualTime, 0) * float64(team.weight))
}

// workBefore returns the waiting work that goes ahead of a candidate.
func (backlogs *backlogs) workBefore(now identifier.Moment, candidate Candidate) time.Duration {
	backlogs.urgent.advance(now)
	backlogs.nonUrgent.advance(now)
	if candidate.Urgent {
		return backlogs.urgent.workUntil(candidate.Due)
	}
	return backlogs.urgent.total + backlogs.nonUrgent.workUntil(candidate.Due)
}
