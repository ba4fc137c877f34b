package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/limiter"
)

// BenchmarkTask runs a job with one task through the lead: admitted, started, answered and
// acknowledged, in three ticks, with 740 teams and all slots but one busy.
func BenchmarkTask(b *testing.B) {
	for _, executors := range []int{50, 250, 5000} {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			bench := newBench(executors)
			b.ReportAllocs()
			b.ResetTimer()
			for number := range b.N {
				bench.serve(number, true)
			}
		})
	}
}

type bench struct {
	lead *dispatcher.Dispatcher
	now  identifier.Moment
}

func newBench(executors int) *bench {
	settings := dispatcher.DefaultSettings()
	settings.HeartbeatTimeout = 1000 * time.Hour
	settings.AnswerRetention = time.Second
	bench := &bench{lead: &dispatcher.Dispatcher{Self: "entry-0", FailureDomain: fake.Domain, Settings: settings}}
	limits := &dispatcher.LimitsConfigured{}
	for number := range 740 {
		limits.Teams = append(limits.Teams, limiter.TeamLimits{Team: benchTeam(number), TasksInFlight: 100_000, TasksPerSecond: 1e6, Weight: 1})
	}
	bench.tick(limits, &dispatcher.LeadTaken{Cell: 0, Epoch: 1})
	for number := range executors {
		id := identifier.BackendServerID(fmt.Sprintf("server-%d", number))
		bench.tick(&dispatcher.ServerAnnounced{Server: id, Incarnation: 1, Slots: 8})
		bench.tick(&dispatcher.ServerReported{Server: id, Cell: 0, Epoch: 1})
	}
	for number := range executors*8 - 1 {
		bench.serve(-1-number, false)
	}
	return bench
}

func benchTeam(number int) identifier.TeamID {
	return identifier.TeamID(fmt.Sprintf("team-%d", (number%740+740)%740))
}

func (bench *bench) tick(inputs ...dispatcher.Input) []dispatcher.Output {
	bench.now = bench.now.Add(time.Microsecond)
	return bench.lead.Tick(bench.now, inputs)
}

// serve submits a job of one task and, if finish is set, answers it.
func (bench *bench) serve(number int, finish bool) {
	runTimes := []time.Duration{100 * time.Millisecond}
	job := newJob(fmt.Sprintf("s-%d", number), benchTeam(number), "counter", runTimes, nil)
	for _, output := range bench.tick(&dispatcher.JobForwarded{From: "entry-1", Job: job, Deadline: identifier.Never}) {
		batch, isBatch := output.(*dispatcher.ToServer)
		if !isBatch || !finish {
			continue
		}
		answer := dispatcher.ServerAnswer{TaskKey: batch.Starts[0].TaskKey, RunTime: 100 * time.Millisecond}
		bench.tick(&dispatcher.TasksAnswered{Server: batch.Server, Answers: []dispatcher.ServerAnswer{answer}})
		bench.tick(&dispatcher.AnswerReplicated{Submission: job.Submission})
	}
}
