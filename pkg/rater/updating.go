package rater

import (
	"math"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// update computes the means of the kinds, whether the servers differ, and all factors.
func (rater *Rater) update() {
	rater.recorded, rater.stale = 0, false
	rater.updateKinds()
	rater.usual = rater.meanEstimate()
	rater.differ = rater.provesDifference()
	rater.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		if server.runs == 0 {
			server.estimate = server.prior()
			if !server.isReported {
				server.lagging = server.estimate
			}
		}
		rater.setFactors(server)
		return true
	})
}

// refresh brings the factors up to date.
func (rater *Rater) refresh() {
	if rater.stale {
		rater.update()
	}
}

func (rater *Rater) setFactors(server *server) {
	server.factor, server.healthFactor = 1, 1
	if rater.differ {
		server.factor = math.Exp(clipped(server.estimate - rater.usual))
		server.healthFactor = math.Exp(clipped(server.lagging - rater.usual))
	}
}

// updateKinds computes the means of the kinds from those of their servers. Each server counts with at
// most minRuns runs, so that one that runs more tasks than others does not stand for its kind.
func (rater *Rater) updateKinds() {
	rater.kinds.Each(func(_ Kind, kind *kind) bool {
		kind.sum, kind.weight = 0, kindPriorRuns
		return true
	})
	rater.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		weight := float64(min(server.runs, minRuns))
		server.kind.sum += weight * server.mean
		server.kind.weight += weight
		if server.isReported {
			server.kind.sum += priorRuns * server.reported
			server.kind.weight += priorRuns
		}
		return true
	})
	rater.kinds.Each(func(_ Kind, kind *kind) bool {
		kind.mean = kind.sum / kind.weight
		return true
	})
}

// meanEstimate is the mean over the servers, to which factors refer. Expected run times are learned from
// run times divided by the factors, so that only differences between servers are known.
func (rater *Rater) meanEstimate() float64 {
	if rater.servers.Len() == 0 {
		return 0
	}
	sum := 0.0
	rater.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		sum += server.estimate
		return true
	})
	return sum / float64(rater.servers.Len())
}

// provesDifference reports whether the means of the servers vary by more than the run times of single
// tasks explain: the variance between groups less that within them (DerSimonian and Laird 1986).
func (rater *Rater) provesDifference() bool {
	count, sum, squares, errors := 0.0, 0.0, 0.0, 0.0
	rater.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		if !server.counts() {
			return true
		}
		value := server.reported
		if server.runs >= minRuns {
			value = server.mean
			errors += rater.noise * runsPerSample / float64(min(server.runs, 2*memory))
		}
		count++
		sum += value
		squares += value * value
		return true
	})
	if count < 2 {
		return false
	}
	variance := (squares - sum*sum/count) / (count - 1)
	errors /= count
	if rater.differ {
		return variance-errors > alikeVariance
	}
	return variance > differVariance+errors*varianceQuantile(count-1)
}

// varianceQuantile is how many times its true value an observed variance may reach by chance, by the
// approximation of Wilson and Hilferty (1931) for the chi-squared distribution.
func varianceQuantile(degrees float64) float64 {
	spread := 2 / (9 * degrees)
	return math.Pow(1-spread+errorsExcluded*math.Sqrt(spread), 3)
}
