package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

const (
	testServers = 17
	testSlots   = 8
)

func newCell() *fake.Cell {
	return &fake.Cell{Settings: dispatcher.DefaultSettings(), Servers: testServers, Slots: testSlots}
}

// load sends jobs of one team at random moments.
type load struct {
	cell   *fake.Cell
	random *rand.Rand
	team   identifier.TeamID
	class  identifier.ClassName
	// slots is how many slots the team's work keeps busy on average.
	slots float64
	// declared turns an actual run time into a declared one.
	declared func(time.Duration) time.Duration
	until    identifier.Moment
	sent     int
}

// widths are the possible numbers of tasks of a job, all equally likely, with a mean of 8.6.
var widths = []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 10, 10, 10, 10, 10, 10, 50, 50}

func (load *load) start() { load.cell.At(load.cell.Now.Add(load.gap()), load.arrive) }

// gap draws the time to the next job. Run times are 50 ms to 1 s, 320 ms on average.
func (load *load) gap() time.Duration {
	const meanWork = 8.6 * 0.32
	return time.Duration(load.random.ExpFloat64() * meanWork / load.slots * float64(time.Second))
}

func (load *load) arrive() {
	if load.cell.Now >= load.until {
		return
	}
	runTimes := make([]time.Duration, widths[load.random.IntN(len(widths))])
	for index := range runTimes {
		draw := load.random.Float64()
		runTimes[index] = 50*time.Millisecond + time.Duration(draw*draw*810)*time.Millisecond
	}
	load.sent++
	id := fmt.Sprintf("%s-%d", load.team, load.sent)
	load.cell.Submit(newJob(id, load.team, load.class, runTimes, load.declared), identifier.Never, runTimes)
	load.start()
}

func newJob(id string, team identifier.TeamID, class identifier.ClassName, runTimes []time.Duration,
	declared func(time.Duration) time.Duration,
) *messenger.Job {
	job := &messenger.Job{
		Submission: identifier.SubmissionID(id),
		Job:        identifier.JobID(id),
		Caller:     identifier.CallerID("caller-of-" + string(team)),
		Team:       team,
		Class:      class,
		Repeatable: true,
		MayRun:     []identifier.FailureDomain{fake.Domain},
	}
	for index, runTime := range runTimes {
		task := messenger.Task{Task: identifier.TaskID(fmt.Sprintf("t-%d", index))}
		if declared != nil {
			task.DeclaredRunTime = declared(runTime)
		}
		job.Tasks = append(job.Tasks, task)
	}
	return job
}

// summary holds the outcomes of the jobs that arrived in a span of time.
type summary struct {
	jobs, refused int
	stretches     []float64
}

func summarize(cell *fake.Cell, from, until identifier.Moment, match func(*fake.Record) bool) summary {
	var result summary
	for _, record := range cell.Records {
		if record.ArrivedAt < from || record.ArrivedAt >= until || match != nil && !match(record) {
			continue
		}
		result.jobs++
		answer := record.Answer()
		if answer != nil && answer.NotRun {
			result.refused++
		}
		if answer != nil && answer.Outcome == messenger.OutcomeComplete {
			result.stretches = append(result.stretches, record.Stretch())
		}
	}
	slices.Sort(result.stretches)
	return result
}

func (summary summary) percentile(share float64) float64 {
	if len(summary.stretches) == 0 {
		return 0
	}
	return summary.stretches[int(share*float64(len(summary.stretches)-1))]
}

func (summary summary) mean() float64 {
	sum := 0.0
	for _, stretch := range summary.stretches {
		sum += stretch
	}
	return sum / float64(max(len(summary.stretches), 1))
}

func (summary summary) String() string {
	return fmt.Sprintf("%d jobs, %d refused, mean %.2f, p50 %.2f, p99 %.2f", summary.jobs, summary.refused,
		summary.mean(), summary.percentile(0.5), summary.percentile(0.99))
}
