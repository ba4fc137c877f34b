package commander

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replayer"
	"github.com/stoathitch/stoathitch/pkg/reporter"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// replayCommand replays traces in virtual time.
type replayCommand struct {
	commonOptions
	Policies []string `long:"policy" value-name:"NAME" description:"the way to dispatch; may stand several times"`
	Seed     *uint64  `long:"seed" description:"drives the fake balancer; the trace's own seed by default"`
	Report   string   `long:"report" value-name:"FILE" description:"draw response over ideal and waste by policy and load as one HTML page"`
	Explain  string   `long:"explain" value-name:"SUBMISSION" description:"tell what was decided about one submission"`
	Bounds   bool     `long:"bounds" description:"add to the report what one central queue without delay would reach"`

	Arguments struct {
		Traces []string `positional-arg-name:"TRACE" required:"1"`
	} `positional-args:"yes"`
}

// loadedTrace is a trace with the name of its file.
type loadedTrace struct {
	name  string
	trace *tracer.Trace
}

// Execute replays every trace under every policy. Nothing is replayed when one of
// the traces is bad.
func (command *replayCommand) Execute(_ []string) error {
	if len(command.Policies) == 0 {
		command.Policies = []string{replayer.DefaultPolicy}
	}
	traces, err := loadTraces(command.Arguments.Traces)
	if err != nil {
		return err
	}
	rows, wanting, err := command.replayAll(traces)
	if err != nil {
		return err
	}
	if err := command.writeReport(rows); err != nil {
		return err
	}
	if wanting > 0 {
		return failed("%d of the replays broke a promise or missed a stated outcome", wanting)
	}
	return nil
}

func loadTraces(names []string) ([]loadedTrace, error) {
	var traces []loadedTrace
	for _, name := range names {
		trace, err := loadTrace(name)
		if err != nil {
			return nil, malformed("%s: %v", name, err)
		}
		traces = append(traces, loadedTrace{name: name, trace: trace})
	}
	return traces, nil
}

func loadTrace(name string) (*tracer.Trace, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return tracer.Parse(file)
}

// replayAll returns the report's rows and how many replays were found wanting.
func (command *replayCommand) replayAll(traces []loadedTrace) ([]reporter.Row, int, error) {
	var rows []reporter.Row
	wanting := 0
	for _, loaded := range traces {
		for _, policy := range command.Policies {
			result, err := command.replayOne(loaded, policy)
			if err != nil {
				return nil, 0, err
			}
			if !result.Passed() {
				wanting++
			}
			rows = append(rows, replayRow(loaded, result.Figures))
		}
		if command.Bounds {
			rows = append(rows, boundRows(loaded)...)
		}
	}
	return rows, wanting, nil
}

func (command *replayCommand) replayOne(loaded loadedTrace, policy string) (*replayer.Result, error) {
	seed := loaded.trace.Deployment.Seed
	if command.Seed != nil {
		seed = *command.Seed
	}
	result, err := (&replayer.Replayer{Trace: loaded.trace, Policy: policy, Seed: seed,
		Explain: identifier.SubmissionID(command.Explain)}).Run()
	if err != nil {
		return nil, malformed("%v", err)
	}
	for _, sentence := range result.Unmet {
		_, _ = fmt.Fprintf(command.terminal.errors, "%s: %s\n", loaded.name, sentence)
	}
	for _, step := range result.Steps {
		_, _ = fmt.Fprintf(command.terminal.errors, "%s\t%s\t%s\t%s\t%s\t%s\n",
			time.Duration(step.At), step.Host, step.Kind, step.Task, step.Server, step.Detail)
	}
	return result, command.print(loaded, result.Figures)
}

func (command *replayCommand) print(loaded loadedTrace, figures *replayer.Figures) error {
	if !command.JSON {
		printFigures(command.terminal.output, loaded.name, figures)
		return nil
	}
	line, err := figures.JSON()
	if err == nil {
		_, err = command.terminal.output.Write(line)
	}
	if err != nil {
		return failed("the figures can't be written: %v", err)
	}
	return nil
}

func printFigures(output io.Writer, name string, figures *replayer.Figures) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	response := figures.ResponseOverIdeal
	for _, row := range []struct {
		label string
		value any
	}{
		{"trace", name},
		{"policy", figures.Policy},
		{"jobs", figures.Jobs},
		{"complete", figures.JobsComplete},
		{"failed", figures.JobsFailed},
		{"refused", figures.JobsRefused},
		{"unanswered", figures.JobsUnanswered},
		{"response over ideal", fmt.Sprintf("mean %.3f, median %.3f, p99 %.3f, max %.3f", response.Mean, response.P50, response.P99, response.Max)},
		{"messages per task", figures.MessagesPerTask},
		{"wasted messages per task", figures.WastedMessagesPerTask},
		{"broken promises", len(figures.Violations)},
	} {
		_, _ = fmt.Fprintf(table, "%s\t%v\n", row.label, row.value)
	}
	_ = table.Flush()
	for _, violation := range figures.Violations {
		_, _ = fmt.Fprintln(output, violation)
	}
	_, _ = fmt.Fprintln(output)
}

func (command *replayCommand) writeReport(rows []reporter.Row) error {
	if command.Report == "" {
		return nil
	}
	file, err := os.Create(command.Report)
	if err != nil {
		return failed("the report can't be written: %v", err)
	}
	err = reporter.Write(file, "Replays", rows)
	if closing := file.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return failed("the report can't be written: %v", err)
	}
	return nil
}
