package allocator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/rater"
)

// kindOf is the kind by which the speed of a server is first estimated. Servers report their kind as
// the first label; the others may name their rack.
func kindOf(report *messenger.ServerReport) rater.Kind {
	kind := rater.Kind{Service: report.Service, Capacity: report.Capacity}
	if len(report.Labels) > 0 {
		kind.Label = report.Labels[0]
	}
	return kind
}

// rateServer starts to rate a server that has joined.
func (allocator *Allocator) rateServer(joined *server) {
	allocator.rater.Add(joined.report.Server, kindOf(&joined.report), joined.report.Speed)
	allocator.applyFactors()
}

// recordRunTime learns from the run time of a task that has done its work: how fast its server is, and
// what its queue takes on a usual server.
func (allocator *Allocator) recordRunTime(server *server, ended *run, task *task, ran time.Duration) {
	queue, declared := ended.job.request.Queue, task.requested.Declared
	factor := server.factor
	if allocator.showsSpeed(server, ended) {
		if ratio, known := allocator.estimates.logRatio(queue, declared, ran); known && allocator.rater.Record(server.report.Server, ratio) {
			allocator.applyFactors()
		}
	}
	allocator.estimates.recordRunTime(queue, declared, scaled(ran, 1/factor))
}

// showsSpeed reports whether a run shows how fast its server is: it was granted here, its start was
// not repeated, late or unanswered, its end was learned at once, and the server is not on trial.
func (allocator *Allocator) showsSpeed(server *server, ended *run) bool {
	return ended.epoch != 0 && ended.unsettled == nil && !ended.moved && !server.restricted && server.lossyUntil.Due(allocator.now)
}

// applyFactors adopts the learned factors.
func (allocator *Allocator) applyFactors() {
	if allocator.Settings.IgnoreSpeeds {
		return
	}
	allocator.speedsDiffer = allocator.rater.Differ()
	allocator.servers.Each(func(id identifier.ServerIncarnation, server *server) bool {
		server.factor, server.healthFactor = allocator.rater.Factor(id), allocator.rater.HealthFactor(id)
		return true
	})
}

// runTime is how long a task runs on the server that takes a given time on a usual one.
func (server *server) runTime(usual time.Duration) time.Duration { return scaled(usual, server.factor) }

// scaled multiplies a time; a factor of 1 leaves it exactly as it is.
func scaled(duration time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return duration
	}
	return time.Duration(float64(duration) * factor)
}
