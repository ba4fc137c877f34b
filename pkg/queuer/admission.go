package queuer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Candidate is a job that asks to be admitted.
type Candidate struct {
	Team   identifier.TeamID
	Weight int
	Urgent bool
	// Due is the moment by which the job would be ordered.
	Due identifier.Moment
	// Work is the expected slot time of all its tasks, and Ideal what the job
	// takes when all slots are its own.
	Work  time.Duration
	Ideal time.Duration
	// Allowed is how much longer than Ideal the job may take.
	Allowed time.Duration
	// Patience is the share of the time until they are due that the waiting jobs
	// of the team may wait.
	Patience float64
	// Slots is how many slots serve the queue.
	Slots identifier.Slots
	// Ceiling bounds the slots that the team may hold; 0 means no bound.
	Ceiling int
}

// Verdict tells whether a candidate can be served in time.
type Verdict struct {
	Admitted bool
	// Wait is how long the work takes that goes before the job.
	Wait time.Duration
	// RetryAfter is when the job would be admitted if nothing else came; zero for
	// an admitted one.
	RetryAfter time.Duration
}

// Assess tells whether a job can be served in time. It can when the work of its
// own team that goes before it fits into the team's fair share, whatever the
// other teams have queued; or when it fits into what the others leave free and
// the whole queue is short. Jobs of the team that were admitted before and are
// due later must still be served in time, too.
func (queue *Queue[P, O]) Assess(now identifier.Moment, candidate Candidate) Verdict {
	queue.expireRecent(now)
	queue.offered.add(now, candidate.Work)
	queue.offered.rate = min(queue.offered.rate, offeredMax*float64(candidate.Slots))
	team := queue.teams[candidate.Team]
	before := time.Duration(0)
	if team != nil {
		before = min(queue.lead(team), queue.work-team.backlogs.total())
		before += team.backlogs.workBefore(now, candidate)
	}
	fair, free := queue.capacities(now, team, candidate)
	verdict := team.fits(now, candidate, before, fair)
	if verdict.Admitted {
		return verdict
	}
	if !queue.overloaded(now, candidate.Slots) {
		candidate.Allowed = scale(candidate.Allowed, queue.Settings.CalmAllowance)
		return queue.fitsWhole(now, candidate)
	}
	if free <= fair {
		return verdict
	}
	candidate.Allowed = scale(candidate.Allowed, queue.Settings.OverloadAllowance)
	verdict = team.fits(now, candidate, before, free)
	if whole := queue.fitsWhole(now, candidate); !whole.Admitted {
		return whole
	}
	return verdict
}

// overloaded tells whether more work comes in than the slots can do. Then work of
// other teams that is still to come will go before a job that is beyond its team's
// share, and the job would wait longer than what is queued now tells.
func (queue *Queue[P, O]) overloaded(now identifier.Moment, slots identifier.Slots) bool {
	return queue.offered.read(now) > queue.Settings.OverloadFrom*float64(slots)
}

// fitsWhole tells whether the work of all teams that is due before the job can be
// done in time by all slots.
func (queue *Queue[P, O]) fitsWhole(now identifier.Moment, candidate Candidate) Verdict {
	verdict := Verdict{Admitted: true}
	verdict.Wait = divide(queue.backlogs.workBefore(now, candidate), float64(max(candidate.Slots, 1)))
	if late := verdict.Wait - candidate.Allowed; late > 0 {
		verdict.Admitted = false
		verdict.RetryAfter = late
	}
	return verdict
}

// fits tells whether the job fits into a capacity of so many slots.
func (team *team[P]) fits(now identifier.Moment, candidate Candidate, before time.Duration, capacity float64) Verdict {
	verdict := Verdict{Admitted: true, Wait: divide(before, capacity)}
	if before == 0 {
		return verdict
	}
	late := max(verdict.Wait, divide(before+candidate.Work, capacity)-candidate.Ideal) - candidate.Allowed
	if late <= 0 && team.backlogs.of(candidate.Urgent).crowded(now, candidate.Due, before+candidate.Work, capacity*candidate.Patience) {
		late = divide(candidate.Work, capacity)
	}
	if late > 0 {
		verdict.Admitted = false
		verdict.RetryAfter = late
	}
	return verdict
}

// offeredMax bounds the offered work that is remembered, as a share of the slots,
// so that the end of a burst is seen soon.
const offeredMax = 2

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

func divide(work time.Duration, slots float64) time.Duration {
	return time.Duration(float64(work) / slots)
}

// Share returns the share of a team among all that had tasks waiting lately,
// itself included, from 0 to 1.
func (queue *Queue[P, O]) Share(id identifier.TeamID, weight int) float64 {
	weights := queue.weights
	if team := queue.teams[id]; team != nil && team.active {
		weights -= team.weight
	}
	weight = max(weight, 1)
	return float64(weight) / float64(weights+weight)
}

// capacities returns the slots of the team's fair share, and those that are left
// over by the work of the other teams that came in of late.
func (queue *Queue[P, O]) capacities(now identifier.Moment, team *team[P], candidate Candidate) (fair, free float64) {
	slots := float64(max(candidate.Slots, 1))
	own := 0.0
	if team != nil {
		own = team.admitted.read(now)
	}
	fair = slots * queue.Share(candidate.Team, candidate.Weight)
	free = slots - max(queue.admitted.read(now)-own, 0)
	if candidate.Ceiling > 0 {
		fair = min(fair, float64(candidate.Ceiling))
		free = min(free, float64(candidate.Ceiling))
	}
	return fair, free
}

// lead returns the slot time that a team has been served beyond its share, which
// the other teams with waiting tasks catch up with first.
func (queue *Queue[P, O]) lead(team *team[P]) time.Duration {
	return time.Duration(max(team.tag-queue.virtual, 0) * float64(team.weight))
}

// workBefore returns the waiting work that goes before a candidate.
func (backlogs *backlogs) workBefore(now identifier.Moment, candidate Candidate) time.Duration {
	backlogs.urgent.advance(now)
	backlogs.patient.advance(now)
	if candidate.Urgent {
		return backlogs.urgent.ahead(candidate.Due)
	}
	return backlogs.urgent.total + backlogs.patient.ahead(candidate.Due)
}
