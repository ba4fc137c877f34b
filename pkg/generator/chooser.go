package generator

import (
	"math"
	"math/rand/v2"
	"time"
)

// chooser makes the random choices for one trace. They depend on the seed only.
type chooser struct {
	random *rand.Rand
}

// streamConstant separates this stream of random numbers from others with the same
// seed.
const streamConstant = 0x9e3779b97f4a7c15

func newChooser(seed uint64) *chooser {
	return &chooser{random: rand.New(rand.NewPCG(seed, streamConstant))}
}

// happens returns true with the probability share.
func (chooser *chooser) happens(share float64) bool {
	return chooser.random.Float64() < share
}

func (chooser *chooser) number(below int) int { return chooser.random.IntN(below) }

// between draws from a uniform distribution.
func (chooser *chooser) between(from, to time.Duration) time.Duration {
	return from + time.Duration(chooser.random.Float64()*float64(to-from))
}

// betweenOnLogScale draws from a log-uniform distribution.
func (chooser *chooser) betweenOnLogScale(from, to time.Duration) time.Duration {
	exponent := chooser.random.Float64() * math.Log(float64(to)/float64(from))
	return time.Duration(float64(from) * math.Exp(exponent))
}

// exponential draws a waiting time from an exponential distribution with mean 1.
func (chooser *chooser) exponential() float64 { return chooser.random.ExpFloat64() }

// weighted returns a random position; the probability of each is proportional to
// its weight.
func (chooser *chooser) weighted(count int, weight func(position int) float64) int {
	sum := 0.0
	for position := range count {
		sum += weight(position)
	}
	drawn := chooser.random.Float64() * sum
	for position := range count {
		drawn -= weight(position)
		if drawn < 0 {
			return position
		}
	}
	return count - 1
}

// runTime draws the run time of one task, rounded to a millisecond.
func (chooser *chooser) runTime(runTimes *RunTimes) time.Duration {
	if chooser.happens(runTimes.SlowShare) {
		return chooser.between(runTimes.SlowFrom, runTimes.SlowTo).Round(time.Millisecond)
	}
	return chooser.betweenOnLogScale(runTimes.ShortFrom, runTimes.ShortTo).Round(time.Millisecond)
}
