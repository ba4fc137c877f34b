package tracer

import (
	"bufio"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Write writes the trace with one event per line. Parsing its output and writing
// the result again gives the same bytes.
func Write(target io.Writer, trace *Trace) error {
	buffered := bufio.NewWriter(target)
	deployment := newLine(KindDeployment, trace.Deployment.At)
	trace.Deployment.write(deployment)
	deployment.flush(buffered)
	for _, event := range trace.Events {
		line := newLine(event.Kind(), event.Moment())
		event.write(line)
		line.flush(buffered)
	}
	if err := buffered.Flush(); err != nil {
		return &Error{Operation: "write trace", Kind: ErrorWriting, Line: 1, Err: eris.Wrap(err, "write")}
	}
	return nil
}

func newLine(kind Kind, at identifier.Moment) *fieldWriter {
	writer := &fieldWriter{}
	writer.moment("at", at)
	writer.text("event", kind.String())
	return writer
}

// flush ends the line and writes it to the buffer. An error is ignored here, since
// the buffer returns the first one again when it is flushed.
func (writer *fieldWriter) flush(buffered *bufio.Writer) {
	writer.line = append(writer.line, '}', '\n')
	_, _ = buffered.Write(writer.line)
}

func formatMoment(moment identifier.Moment) string {
	return formatDuration(time.Duration(moment))
}
