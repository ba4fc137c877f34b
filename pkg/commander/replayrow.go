package commander

import (
	"path/filepath"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replayer"
	"github.com/stoathitch/stoathitch/pkg/reporter"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// replayRow makes the report's row of one replay.
func replayRow(loaded loadedTrace, figures *replayer.Figures) reporter.Row {
	row := newRow(loaded, figures.Policy, figures.ResponseOverIdeal)
	row.WastedPerTask = figures.WastedMessagesPerTask
	row.Jobs = figures.Jobs
	row.Refused = figures.JobsRefused
	row.Failed = figures.JobsFailed
	row.Unanswered = figures.JobsUnanswered
	row.Violations = len(figures.Violations)
	row.MessagesPerTask = figures.MessagesPerTask
	row.ControlBytesPerSecond = figures.Value(tracer.FigureControlBytesPerSecond)
	return row
}

// boundRows makes the rows of the central queues.
func boundRows(loaded loadedTrace) []reporter.Row {
	var rows []reporter.Row
	for _, bound := range []struct {
		name  string
		order replayer.QueueOrder
		reach replayer.PlacementScope
	}{
		{"central queue, first come", replayer.OrderFirstCome, replayer.PlacementAllowedDomains},
		{"central queue, fewest tasks", replayer.OrderFewestTasks, replayer.PlacementAllowedDomains},
		{"central queue, least work", replayer.OrderLeastWork, replayer.PlacementAllowedDomains},
		{"queue of the home, first come", replayer.OrderFirstCome, replayer.PlacementHomeDomain},
		{"queue of the home, fewest tasks", replayer.OrderFewestTasks, replayer.PlacementHomeDomain},
		{"queue of the home, least work", replayer.OrderLeastWork, replayer.PlacementHomeDomain},
	} {
		rows = append(rows, newRow(loaded, bound.name, replayer.SimulateCentralQueue(loaded.trace, bound.order, bound.reach)))
	}
	return rows
}

func newRow(loaded loadedTrace, policy string, response replayer.Distribution) reporter.Row {
	return reporter.Row{
		Scenario: scenarioName(loaded.name),
		Policy:   policy,
		Load:     loadOf(loaded.trace),
		Mean:     response.Mean,
		P50:      response.P50,
		P99:      response.P99,
		Max:      response.Max,
	}
}

// scenarioName drops the folder, the ending and a number at the end, so that
// calm-50.trace and calm-80.trace share their charts.
func scenarioName(file string) string {
	name := strings.TrimSuffix(filepath.Base(file), ".trace")
	return strings.TrimRight(strings.TrimRight(name, "0123456789"), "-")
}

// loadOf returns the share of all slots that the work of the trace keeps busy
// while it arrives.
func loadOf(trace *tracer.Trace) float64 {
	work := time.Duration(0)
	last := identifier.Moment(1)
	for _, event := range trace.Events {
		if job, isJob := event.(*tracer.Job); isJob {
			work += job.TotalRunTime()
			last = max(last, job.At)
		}
	}
	return float64(work) / (float64(trace.Deployment.TotalSlots()) * float64(last))
}
