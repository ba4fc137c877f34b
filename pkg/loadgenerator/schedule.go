package loadgenerator

import (
	"math/rand/v2"
	"time"
)

// arrival is one job and the moment, counted from the run's begin, when it is due.
type arrival struct {
	number     int
	due        time.Duration
	mix        *Mix
	repeatable bool
	runTimes   []time.Duration
}

// ideal is the response that nothing can beat: the longest task and an allowance
// for the way there and back.
func (arrival *arrival) ideal() time.Duration {
	longest := time.Duration(0)
	for _, runTime := range arrival.runTimes {
		longest = max(longest, runTime)
	}
	return longest + networkAllowance
}

// networkAllowance is the part of the ideal response that is not work.
const networkAllowance = 500 * time.Microsecond

// schedule makes the arrivals of a plan one after another. The same plan gives the
// same arrivals.
type schedule struct {
	plan   *Plan
	random *rand.Rand
	next   int
	due    time.Duration
}

func newSchedule(plan *Plan) *schedule {
	return &schedule{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 0))}
}

// take returns the next arrival, or nil when the plan's duration is over.
func (schedule *schedule) take() *arrival {
	schedule.due += schedule.interval()
	if schedule.due >= schedule.plan.Duration.Std() {
		return nil
	}
	schedule.next++
	mix := schedule.chooseMix()
	taken := &arrival{
		number:     schedule.next,
		due:        schedule.due,
		mix:        mix,
		repeatable: schedule.random.Float64() < mix.RepeatableShare,
	}
	for range schedule.chooseWidth(mix) {
		taken.runTimes = append(taken.runTimes, schedule.runTime(mix))
	}
	return taken
}

func (schedule *schedule) interval() time.Duration {
	mean := float64(time.Second) / schedule.plan.Rate
	if schedule.plan.Arrivals == ArrivalsEven {
		return time.Duration(mean)
	}
	return time.Duration(mean * schedule.random.ExpFloat64())
}

func (schedule *schedule) runTime(mix *Mix) time.Duration {
	spread := int64(mix.LongestRunTime - mix.ShortestRunTime)
	return mix.ShortestRunTime.Std() + time.Duration(schedule.random.Int64N(spread+1))
}

func (schedule *schedule) chooseMix() *Mix {
	mixes := schedule.plan.Mixes
	return &mixes[choose(schedule.random, mixes, func(mix *Mix) float64 { return mix.Weight })]
}

func (schedule *schedule) chooseWidth(mix *Mix) int {
	return mix.Widths[choose(schedule.random, mix.Widths, func(width *Width) float64 { return width.Weight })].Tasks
}

// choose returns the index of an item, each with the probability of its weight.
func choose[T any](random *rand.Rand, items []T, weight func(*T) float64) int {
	total := 0.0
	for index := range items {
		total += weight(&items[index])
	}
	left := random.Float64() * total
	for index := range items {
		left -= weight(&items[index])
		if left < 0 {
			return index
		}
	}
	return len(items) - 1
}
