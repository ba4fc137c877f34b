// Package recorder converts the logs of entry hosts into a trace, so that an
// operator can replay a day of their own deployment.
//
// The daemon writes key=value lines. The recorder reads lines with one of three
// events and skips all other lines:
//
//	time=... event=job-received submission=s-17 job=j-17 caller=garage-7
//	  team=estimates class=counter failure-domain=thu-duc
//	  entry-host=thu-duc-entry-0 repeatable=true may-run=thu-duc,tan-binh
//	  remaining=2.8s declared=100ms,100ms
//	time=... event=job-ended submission=s-17 outcome=complete run-times=120ms,80ms
//	time=... event=job-cancelled submission=s-17
//
// "time" is RFC 3339 with fractional seconds. "remaining" is the time until the
// deadline; it is absent if the job has none. "declared" has one duration per task.
// "run-times" has the run times that backend servers reported, in the same order.
// A task that never ended has an empty one; the trace has its declared time instead.
package recorder

import (
	"io"
	"slices"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// Assumed values, which logs don't contain.
const (
	assumedOneWay      = time.Millisecond
	assumedSync        = 4 * time.Millisecond
	assumedConnections = 60
	// assumedRunTime is the run time of a task that has neither a declared nor a
	// reported one.
	assumedRunTime = 250 * time.Millisecond
)

// Recorder converts logs into traces. Set the exported fields before calling Record.
type Recorder struct {
	// ExecutorsPerFailureDomain and Slots (per executor) are the sizes of the
	// deployment, which logs don't contain.
	ExecutorsPerFailureDomain int
	Slots                     identifier.Slots
}

// Record merges the logs of one or more entry hosts into one trace. Times in the
// trace are offsets from the first event. The error is ErrorMalformed for an invalid
// line, ErrorNoJobs if no job was received.
func (recorder *Recorder) Record(logs []io.Reader) (*tracer.Trace, error) {
	var lines []*line
	for _, log := range logs {
		read, err := readLog(log)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(first, second *line) int { return first.at.Compare(second.at) })
	recording := newRecording()
	for _, line := range lines {
		if err := recording.handleLine(line); err != nil {
			return nil, err
		}
	}
	if len(recording.jobs) == 0 {
		return nil, newError("record trace", ErrorNoJobs, eris.New("no line has event=job-received"))
	}
	return recording.trace(recorder), nil
}

// line is a log line with one of the three events.
type line struct {
	at     time.Time
	event  string
	fields map[string]string
}

const (
	eventJobReceived  = "job-received"
	eventJobEnded     = "job-ended"
	eventJobCancelled = "job-cancelled"
)

func readLog(log io.Reader) ([]*line, error) {
	var lines []*line
	decoder := logfmt.NewDecoder(log)
	for number := 1; decoder.ScanRecord(); number++ {
		fields := make(map[string]string)
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
		event := fields["event"]
		if event != eventJobReceived && event != eventJobEnded && event != eventJobCancelled {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			return nil, newError("read log", ErrorMalformed, eris.Wrapf(err, "line %d", number))
		}
		lines = append(lines, &line{at: at, event: event, fields: fields})
	}
	if err := decoder.Err(); err != nil {
		return nil, newError("read log", ErrorMalformed, err)
	}
	return lines, nil
}
