package throttler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
	"github.com/stoathitch/stoathitch/pkg/throttler"
)

const (
	// share is the part of a core that the host has.
	share     = 0.144
	roundTrip = time.Millisecond
)

// costs is the processor time of the passages of a job through the queue of a host, and of a rejection.
type costs struct{ arrival, start, end, reject time.Duration }

// The slopes of docs/dev/PLATFORM.md: 0.045 ms a start on an entry host, 0.14 ms on a lead, which is also an
// entry host. How they divide over the passages is assumed. Starts and ends cost by the task.
var (
	entryCosts = costs{arrival: 50 * time.Microsecond, start: 25 * time.Microsecond, end: 6 * time.Microsecond, reject: 30 * time.Microsecond}
	leadCosts  = costs{arrival: 30 * time.Microsecond, start: 50 * time.Microsecond, end: 40 * time.Microsecond, reject: 10 * time.Microsecond}
)

// mix holds the jobs of a mixed fleet: how many in a second, their tasks and the run time of a task.
var mix = []struct {
	rate    float64
	tasks   int
	runTime time.Duration
}{
	{206, 8, 60 * time.Millisecond}, {37.5, 4, 900 * time.Millisecond}, {600, 2, 200 * time.Millisecond},
}

// model is a host in virtual time. A job arrives, is started, and ends. The inputs that have arrived are
// handled in one tick, and what the tick sends leaves at its end, as in pkg/runner.
type model struct {
	throttler throttler.Throttler
	throttled bool
	costs     costs
	stallAt   identifier.Moment
	stall     time.Duration

	now                    identifier.Moment
	inputs                 *tabulator.Timers[input]
	jobs, inTime, rejected float64
}

// input is one passage of a job.
type input struct {
	job, passage, kind int
	arrivedAt          identifier.Moment
}

// play offers a host a part of its capacity, which depends on the second, for 24 s.
func (model *model) play(load func(second float64) float64) *model {
	random := rand.New(rand.NewPCG(1, 2))
	work := time.Duration(0)
	for _, kind := range mix {
		work += time.Duration(kind.rate * float64(model.costs.arrival+time.Duration(kind.tasks)*(model.costs.start+model.costs.end)))
	}
	model.throttler.Settings = throttler.DefaultSettings()
	model.throttler.Observe(0, 0)
	model.inputs = tabulator.NewTimers[input]()
	end := identifier.Moment(24 * time.Second)
	for at := identifier.Moment(0); at < end; model.jobs++ {
		kind, drawn := 0, random.Float64()*843.5
		for ; drawn > mix[kind].rate; kind++ {
			drawn -= mix[kind].rate
		}
		model.inputs.Set(input{job: int(model.jobs), kind: kind, arrivedAt: at}, at)
		rate := 843.5 / work.Seconds() * share * load(time.Duration(at).Seconds())
		at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	for model.now < end && model.inputs.Next() != identifier.Never {
		model.tick()
	}
	return model
}

func (model *model) tick() {
	first := model.inputs.Next()
	model.now = max(model.now, first)
	if model.stallAt != 0 && model.stallAt.Due(model.now) {
		model.stallAt, model.now = 0, model.now.Add(model.stall)
	}
	model.throttler.Observe(model.now, model.now.Sub(first))
	var next []input
	cost := time.Duration(0)
	model.inputs.EachDue(model.now, func(input input) {
		input.passage++
		switch {
		case input.passage == 1 && model.throttled && model.throttler.Reject():
			model.rejected++
			cost += model.costs.arrival + model.costs.reject
			return
		case input.passage == 1:
			cost += model.costs.arrival
		case input.passage == 2:
			cost += time.Duration(mix[input.kind].tasks) * model.costs.start
		default:
			cost += time.Duration(mix[input.kind].tasks) * model.costs.end
		}
		next = append(next, input)
	})
	model.now = model.now.Add(time.Duration(float64(cost) / share))
	for _, input := range next {
		runTime := mix[input.kind].runTime
		switch {
		case input.passage < 3:
			model.inputs.Set(input, model.now.Add([]time.Duration{roundTrip, runTime}[input.passage-1]))
		case model.now.Sub(input.arrivedAt) <= runTime*8/5+60*time.Millisecond:
			model.inTime++
		}
	}
}

func constant(load float64) func(float64) float64 { return func(float64) float64 { return load } }

// Guards against jobs that a slow host accepts and serves late, and against rejections by a host that
// keeps up.
func TestJobsServedInTime(t *testing.T) {
	for name, costs := range map[string]costs{"entry host": entryCosts, "lead": leadCosts} {
		for _, load := range []float64{0.8, 0.9, 0.95, 1, 1.1, 1.2, 1.5, 2} {
			offered := func(second float64) float64 {
				if second < 4 {
					return 0.5
				}
				return load
			}
			without, with := (&model{costs: costs}).play(offered), (&model{costs: costs, throttled: true}).play(offered)
			t.Logf("%s, load %.2f: in time %.3f without, %.3f with; rejected %.3f",
				name, load, without.inTime/without.jobs, with.inTime/with.jobs, with.rejected/with.jobs)
			switch {
			case load < 1 && (with.rejected > 0 || with.inTime != without.inTime):
				t.Errorf("%.0f of %.0f jobs rejected by a host that keeps up", with.rejected, with.jobs)
			case load > 1 && load < 2 && with.inTime < 3*without.inTime:
				t.Errorf("%.0f jobs in time, %.0f without the throttler", with.inTime, without.inTime)
			}
		}
	}
}

// Guards against rejections after a single stall, whose backlog the host works off by itself.
func TestStallIsNoOverload(t *testing.T) {
	for _, stall := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second} {
		played := (&model{costs: entryCosts, throttled: true, stallAt: identifier.Moment(10 * time.Second), stall: stall}).play(constant(0.4))
		if played.rejected > 0 {
			t.Errorf("%.0f jobs rejected after a stall of %v", played.rejected, stall)
		}
	}
}

// Guards against rejections for long after an overload, after a jump of the clock and when the measurement
// fails, and against long ticks that pass for suspensions.
func TestOverloadEnds(t *testing.T) {
	burst := func(second float64) float64 {
		if second > 10 && second < 11 {
			return 1.5
		}
		return 0.5
	}
	played := (&model{costs: entryCosts, throttled: true}).play(burst)
	if played.rejected == 0 || played.throttler.Overloaded() || played.throttler.Fraction() > 0 {
		t.Errorf("%.0f jobs rejected, overloaded %v at the end", played.rejected, played.throttler.Overloaded())
	}
	overloaded := (&model{costs: entryCosts, throttled: true}).play(constant(1.5)).throttler
	if !overloaded.Overloaded() {
		t.Error("no overload at 1.5 times the capacity")
	}
	silent := overloaded
	silent.Expire(identifier.Moment(time.Hour))
	if silent.Overloaded() || silent.Reject() {
		t.Error("the overload goes on without observations")
	}
	slow := throttler.Throttler{Settings: throttler.DefaultSettings()}
	for second := range 12 {
		now := identifier.Moment(time.Duration(second) * time.Second)
		slow.Resume(now)
		slow.Observe(now, time.Second)
	}
	if !slow.Overloaded() {
		t.Error("no overload of a host whose ticks are as long as a suspension")
	}
	overloaded.Observe(0, time.Hour)
	if overloaded.Overloaded() || overloaded.Reject() {
		t.Error("a clock that went back counts as an overload")
	}
}
