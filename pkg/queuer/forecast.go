package queuer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Candidate is a job that asks to be admitted.
type Candidate struct {
	Team   identifier.TeamID
	Weight int
	// Key is the moment by which the job would be ordered.
	Key identifier.Moment
	// Work is the expected slot time of all its tasks.
	Work time.Duration
	// Slots is how many slots serve the queue.
	Slots identifier.Slots
	// Ceiling bounds the slots that the team may hold; 0 means no bound.
	Ceiling int
}

// Forecast is how a candidate would fare.
type Forecast struct {
	// Wait is how long the work that stands before the job takes.
	Wait time.Duration
	// Crowds tells that the job would make other jobs of its team, which were
	// admitted before and are due later, start too late.
	Crowds bool
	// Capacity is how many slots the team can count on.
	Capacity float64
}

// Forecast tells how long a job would wait. Only work of the same team stands
// before it: the other teams have their own shares. A team can count on its fair
// share, or on what the other teams have left free of late, if that is more.
func (queue *Queue[P, O]) Forecast(now identifier.Moment, candidate Candidate) Forecast {
	team := queue.teams[candidate.Team]
	forecast := Forecast{Capacity: queue.capacity(now, team, candidate)}
	if team == nil || team.tasks == 0 {
		return forecast
	}
	team.backlog.advance(now)
	ahead := team.backlog.ahead(candidate.Key)
	forecast.Wait = time.Duration(float64(ahead) / forecast.Capacity)
	forecast.Crowds = team.backlog.crowded(now, candidate.Key, candidate.Work, forecast.Capacity)
	return forecast
}

func (queue *Queue[P, O]) capacity(now identifier.Moment, team *team[P], candidate Candidate) float64 {
	slots := float64(max(candidate.Slots, 1))
	weight := max(candidate.Weight, 1)
	weights := queue.weights + weight
	own := 0.0
	if team != nil {
		own = team.served.read(now)
		if team.tasks > 0 {
			weights -= team.weight
		}
	}
	fair := slots * float64(weight) / float64(weights)
	others := max(queue.served.read(now)-own, 0)
	capacity := max(fair, slots-others)
	if candidate.Ceiling > 0 {
		capacity = min(capacity, float64(candidate.Ceiling))
	}
	return capacity
}
