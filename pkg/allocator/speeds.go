package allocator

import (
	"cmp"
	"fmt"
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

// rateServer starts to rate a server that has joined, from the speed that an earlier lead has learned.
func (allocator *Allocator) rateServer(joined *server) {
	id := joined.report.Server
	allocator.rater.Add(id, kindOf(&joined.report), joined.report.Speed)
	if joined.report.Speed != 0 || allocator.speedsStale || allocator.Settings.IgnoreSpeeds {
		allocator.speedsStale = true
		return
	}
	joined.factor, joined.healthFactor = allocator.rater.Factor(id), allocator.rater.HealthFactor(id)
}

// followSpeed adopts the speed in a report, which the lead of the cell has learned. A lead goes by what
// it has learned itself. A report may come behind a later one of the server, so that its number does
// not matter here.
func (allocator *Allocator) followSpeed(known *server, report *messenger.ServerReport) {
	if allocator.Leads() || !rater.IsPlausible(report.Speed) || known.report.Speed == report.Speed {
		return
	}
	known.report.Speed = report.Speed
	allocator.rater.Report(report.Server, report.Speed)
	allocator.speedsStale = true
}

// recallSpeed adopts the speed that the keepers remember of a server that has reported itself since.
func (allocator *Allocator) recallSpeed(known *server, report *messenger.ServerReport) {
	if known.report.Speed != 0 || !rater.IsPlausible(report.Speed) {
		return
	}
	known.report.Speed = report.Speed
	allocator.rater.Recall(report.Server, report.Speed)
	allocator.speedsStale = true
}

// reclassify records that a server may be of another kind than before.
func (allocator *Allocator) reclassify(known *server, report *messenger.ServerReport) {
	before, now := kindOf(&known.report), kindOf(report)
	if before == now {
		return
	}
	if before.Label != now.Label {
		known.report.Speed = 0
	}
	allocator.rater.Reclassify(report.Server, now)
	allocator.speedsStale = true
}

// speedStep is by how much a learned speed must have changed to be reported.
const speedStep = 1.2

// announceSpeeds reports the speeds that have changed by more than a fifth to the other hosts of the
// failure domain, each of which may lead next, and to the keepers.
func (allocator *Allocator) announceSpeeds() {
	if !allocator.Leads() || allocator.Settings.IgnoreSpeeds {
		return
	}
	allocator.servers.Each(func(id identifier.ServerIncarnation, server *server) bool {
		learned := allocator.rater.Speed(id)
		before := cmp.Or(server.report.Speed, identifier.UsualSpeed)
		ratio := float64(learned) / float64(before)
		if learned == 0 || server.retired || ratio < speedStep && ratio > 1/speedStep {
			return true
		}
		server.report.Speed = learned
		allocator.emit(&BroadcastReport{Report: server.report})
		allocator.logDecision(messenger.Decision{
			Kind: messenger.DecisionServerSpeedChanged, Server: id,
			Reason: fmt.Sprintf("%d thousandths of the usual speed, before %d", learned, before),
		})
		return true
	})
}

// recordRunTime learns from the run time of a task that has done its work: how fast its server is, and
// what its queue takes on a usual server.
func (allocator *Allocator) recordRunTime(server *server, ended *run, task *task, ran time.Duration) {
	queue, declared := ended.job.request.Queue, task.requested.Declared
	factor := server.factor
	if allocator.showsSpeed(server, ended) {
		if ratio, known := allocator.estimates.logRatio(queue, declared, ran); known && allocator.rater.Record(server.report.Server, ratio) {
			allocator.applyFactors()
			allocator.announceSpeeds()
		}
	}
	allocator.estimates.recordRunTime(queue, declared, scaled(ran, 1/factor))
}

// showsSpeed reports whether a run shows how fast its server is: it was granted here, its start was
// not repeated, late or unanswered, and its end was learned at once. A server that its health excludes
// shows it in its runs on trial: otherwise one that is much slower than it was would stay excluded.
func (allocator *Allocator) showsSpeed(server *server, ended *run) bool {
	return ended.epoch != 0 && ended.unsettled == nil && !ended.moved && server.lossyUntil.Due(allocator.now)
}

// logSlowRun logs the last run of a late job if its server is slow.
func (allocator *Allocator) logSlowRun(server *server, ended *run, job *job) {
	if server.factor < speedStep || !job.dueAt.Before(allocator.now) || !job.allDone() {
		return
	}
	allocator.logDecision(messenger.Decision{
		Kind: messenger.DecisionSlowRun, Job: ended.key.Job, Task: ended.key.Task, Run: ended.key.Run, Server: server.report.Server,
		Elapsed: allocator.now.Sub(ended.grantedAt), Reason: fmt.Sprintf("its server takes %.1f times the usual time", server.factor),
	})
}

// KindSpeed is the mean speed of the backend servers of one kind in a cell.
type KindSpeed struct {
	Service  identifier.ServiceName `json:"service"`
	Label    string                 `json:"label,omitempty"`
	MilliCPU identifier.MilliCPU    `json:"milli-cpu"`
	Servers  int                    `json:"servers"`
	Speed    identifier.Speed       `json:"speed"`
}

// KindSpeeds returns the mean speeds of the kinds while backend servers are known to differ.
func (allocator *Allocator) KindSpeeds() []KindSpeed {
	var speeds []KindSpeed
	if !allocator.speedsDiffer {
		return nil
	}
	allocator.rater.EachKind(func(kind rater.Kind, servers int, factor float64) {
		speeds = append(speeds, KindSpeed{
			Service: kind.Service, Label: kind.Label, MilliCPU: kind.Capacity.MilliCPU, Servers: servers,
			Speed: identifier.Speed(float64(identifier.UsualSpeed) / factor),
		})
	})
	return speeds
}

// refreshFactors adopts the learned factors if reports may have changed them. Reports come in bursts, so
// it runs before the next input that is none.
func (allocator *Allocator) refreshFactors() {
	if allocator.speedsStale {
		allocator.applyFactors()
	}
}

func isReport(input Input) bool {
	switch input.(type) {
	case *ReportArrived, *ReportRecalled:
		return true
	default:
		return false
	}
}

// applyFactors adopts the learned factors.
func (allocator *Allocator) applyFactors() {
	allocator.speedsStale = false
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
