// Package recorder makes traces of what entry hosts logged, so that an operator
// can replay a day of their own.
//
// The daemon writes key=value lines. Three events are read; every other line is
// passed over:
//
//	time=... event=job-received submission=s-17 job=j-17 caller=garage-7
//	  team=estimates class=counter failure-domain=thu-duc
//	  entry-host=thu-duc-entry-0 repeatable=true may-run=thu-duc,tan-binh
//	  remaining=2.8s declared=100ms,100ms
//	time=... event=job-ended submission=s-17 outcome=complete run-times=120ms,80ms
//	time=... event=job-cancelled submission=s-17
//
// "time" is RFC 3339 with fractions. "remaining" is the time to the deadline and
// absent without one. "declared" has one duration for each task, "run-times" the
// times that backend servers told, in the same order; a task that never ended has
// none, and its declared time stands in.
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

// The network that a recorded trace assumes; a log does not tell it.
const (
	assumedOneWay      = time.Millisecond
	assumedSync        = 4 * time.Millisecond
	assumedConnections = 60
	// assumedRunTime stands in for a task of which nothing is known.
	assumedRunTime = 250 * time.Millisecond
)

// Recorder reads logs. Set the exported fields before Record.
type Recorder struct {
	// ExecutorsPerFailureDomain and Slots are sizes that a log does not tell.
	ExecutorsPerFailureDomain int
	Slots                     identifier.Slots
}

// Record makes one trace of the logs of one or more entry hosts. Times count from
// the first event.
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
		if err := recording.take(line); err != nil {
			return nil, err
		}
	}
	if len(recording.jobs) == 0 {
		return nil, newError("record trace", ErrorNoJobs, eris.New("no line has event=job-received"))
	}
	return recording.trace(recorder), nil
}

// line is a log line with one of the events.
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
