package commander

import (
	"bytes"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/stoathitch/stoathitch/pkg/generator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/recorder"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// addReplayCommands registers what replays, generates and records traces.
func addReplayCommands(parent *flags.Command, common commonOptions) {
	addCommand(parent, "replay", "Replay a trace in virtual time",
		"Replays recorded traces against the system's own decisions and prints response times, messages and broken promises.",
		&replayCommand{commonOptions: common})
	trace := addCommand(parent, "trace", "Generate or record a trace", "Makes traces for the command replay.", &struct{}{})
	addCommand(trace, "generate", "Generate a trace from a few parameters",
		"Writes a trace to standard output or to a file. The same parameters and seed write the same bytes.",
		&generateCommand{commonOptions: common})
	addCommand(trace, "record", "Make a trace of a daemon's log",
		"Reads the logs of one or more entry hosts and writes the jobs and cancellations in them as a trace. Clocks of different hosts are taken as they are.",
		&recordCommand{commonOptions: common})
}

// generateCommand makes a trace from a preset, or from the calm parameters of a
// deployment, with some of them changed.
type generateCommand struct {
	commonOptions
	Preset      string        `long:"preset" value-name:"NAME" description:"one of the kept traces, for instance bsv-burst; excludes --deployment"`
	Deployment  string        `long:"deployment" choice:"phuc-tin" choice:"bsv" default:"phuc-tin" description:"whose sizes and callers to take"`
	Seed        *uint64       `long:"seed" description:"drives every choice"`
	Length      time.Duration `long:"length" description:"how long jobs arrive"`
	Load        float64       `long:"load" description:"share of all slots that the work keeps busy, such as 0.8"`
	Widths      []int         `long:"width" description:"a number of tasks of a job; may stand several times, each with the same number of tasks in all"`
	HotShare    float64       `long:"hot-share" description:"share of all jobs that the first entry host gets"`
	Once        *float64      `long:"not-repeatable-share" description:"share of jobs that may run at most once"`
	Deadlines   float64       `long:"deadline-share" description:"share of jobs with a deadline"`
	Slack       time.Duration `long:"deadline-slack" default:"2s" description:"time from the end of a job's longest task to its deadline"`
	Resends     float64       `long:"resend-share" description:"share of jobs that are sent twice"`
	Cancels     float64       `long:"cancel-share" description:"share of jobs that are cancelled"`
	Faults      int           `long:"random-faults" description:"how many faults of any kind strike at random, each with its end"`
	BurstFactor float64       `long:"burst-factor" description:"multiplies the rate of arrivals during the burst"`
	BurstFrom   time.Duration `long:"burst-from" description:"when the burst begins"`
	BurstTo     time.Duration `long:"burst-to" description:"when the burst ends"`
	Executors   int           `long:"executors" description:"executors of each failure domain"`
	EntryHosts  int           `long:"entry-hosts" description:"entry hosts of each failure domain"`
	Slots       int           `long:"slots" description:"slots of each executor"`
	Output      string        `long:"output" value-name:"FILE" description:"write here in place of standard output"`
}

// repeatAfter is how long after its first sending a job is sent again or
// cancelled, on average.
const repeatAfter = 300 * time.Millisecond

// Execute writes the trace.
func (command *generateCommand) Execute(_ []string) error {
	parameters, err := command.base()
	if err != nil {
		return err
	}
	command.changeWork(parameters)
	command.changeHosts(&parameters.Deployment)
	parameters.AddRandomFaults(command.Faults)
	trace, err := generator.Generate(parameters)
	if err != nil {
		return malformed("%v", err)
	}
	return command.writeTrace(command.Output, trace)
}

func (command *generateCommand) base() (*generator.Parameters, error) {
	if command.Preset != "" {
		preset := generator.FindPreset(command.Preset)
		if preset == nil {
			return nil, malformed("no preset is named %q; there are %s", command.Preset, strings.Join(presetNames(), ", "))
		}
		return preset.Parameters, nil
	}
	if command.Deployment == "bsv" {
		return generator.BSV(1), nil
	}
	return generator.PhucTin(1), nil
}

func presetNames() []string {
	var names []string
	for _, preset := range generator.Presets() {
		names = append(names, preset.Name)
	}
	return names
}

func (command *generateCommand) changeWork(parameters *generator.Parameters) {
	if command.Seed != nil {
		parameters.Seed = *command.Seed
		parameters.Deployment.Seed = *command.Seed
	}
	setIfGiven(&parameters.Length, command.Length)
	setIfGiven(&parameters.Load, command.Load)
	if len(command.Widths) > 0 {
		parameters.Widths = generator.EqualTasks(command.Widths...)
	}
	if command.HotShare > 0 {
		parameters.HotShare = command.HotShare
		parameters.HotEntryHost = tracer.EntryHost(parameters.Deployment.FailureDomains[0], 0)
	}
	if command.Once != nil {
		parameters.NotRepeatableShare = *command.Once
	}
	if command.Deadlines > 0 {
		parameters.DeadlineShare = command.Deadlines
		parameters.DeadlineSlack = command.Slack
	}
	if command.Resends > 0 {
		parameters.Resends = generator.Repeats{Share: command.Resends, After: repeatAfter}
	}
	if command.Cancels > 0 {
		parameters.Cancellations = generator.Repeats{Share: command.Cancels, After: repeatAfter}
	}
	if command.BurstFactor > 0 {
		parameters.Bursts = []generator.Burst{{
			From: identifier.Moment(command.BurstFrom), To: identifier.Moment(command.BurstTo), Factor: command.BurstFactor,
		}}
	}
}

func (command *generateCommand) changeHosts(deployment *tracer.Deployment) {
	setIfGiven(&deployment.ExecutorsPerFailureDomain, command.Executors)
	setIfGiven(&deployment.EntryHostsPerFailureDomain, command.EntryHosts)
	setIfGiven(&deployment.Slots, identifier.Slots(command.Slots))
}

// setIfGiven changes a parameter where the option is above zero.
func setIfGiven[T ~int | ~int64 | ~float64](parameter *T, given T) {
	if given > 0 {
		*parameter = given
	}
}

// recordCommand makes a trace of logs.
type recordCommand struct {
	commonOptions
	Executors int    `long:"executors" default:"17" description:"executors of each failure domain"`
	Slots     int    `long:"slots" default:"8" description:"slots of each executor"`
	Output    string `long:"output" value-name:"FILE" description:"write here in place of standard output"`

	Arguments struct {
		Logs []string `positional-arg-name:"LOG" required:"1"`
	} `positional-args:"yes"`
}

// Execute writes the trace.
func (command *recordCommand) Execute(_ []string) error {
	var logs []io.Reader
	for _, name := range command.Arguments.Logs {
		content, err := os.ReadFile(name)
		if err != nil {
			return malformed("%v", err)
		}
		logs = append(logs, bytes.NewReader(content))
	}
	made := &recorder.Recorder{ExecutorsPerFailureDomain: command.Executors, Slots: identifier.Slots(command.Slots)}
	trace, err := made.Record(logs)
	if err != nil {
		return malformed("%v", err)
	}
	return command.writeTrace(command.Output, trace)
}

// writeTrace writes to a file, or to standard output without a name.
func (common *commonOptions) writeTrace(name string, trace *tracer.Trace) error {
	var content bytes.Buffer
	err := tracer.Write(&content, trace)
	switch {
	case err != nil:
	case name == "":
		_, err = common.terminal.output.Write(content.Bytes())
	default:
		err = os.WriteFile(name, content.Bytes(), 0o644)
	}
	if err != nil {
		return failed("the trace can't be written: %v", err)
	}
	return nil
}
