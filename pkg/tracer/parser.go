package tracer

import (
	"bufio"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// maxLineBytes is the longest line that Parse accepts, enough for a job of several
// hundred thousand tasks.
const maxLineBytes = 16 << 20

// Parse reads a whole trace. If any line is invalid or can't be read, the result is
// nil and the error is an *Error with the number of that line.
func Parse(source io.Reader) (*Trace, error) {
	parser := &parser{trace: &Trace{}}
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		parser.line++
		if err := parser.parseLine(scanner.Bytes()); err != nil {
			err.Line = parser.line
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, parser.readingError(err)
	}
	if parser.line == 0 {
		return nil, &Error{Operation: operationParse, Kind: ErrorNoDeployment, Line: 1, Err: eris.New("the trace is empty")}
	}
	return parser.trace, nil
}

type parser struct {
	trace      *Trace
	directory  *directory
	line       int
	lastMoment identifier.Moment
}

func (parser *parser) readingError(err error) error {
	kind := ErrorReading
	if errors.Is(err, bufio.ErrTooLong) {
		kind = ErrorMalformed
	}
	return &Error{Operation: operationParse, Kind: kind, Line: parser.line + 1, Err: eris.Wrap(err, "read line")}
}

func (parser *parser) parseLine(line []byte) *Error {
	reader, err := newFieldReader(line)
	if err != nil {
		return err
	}
	kind, err := readKind(reader)
	if err != nil {
		return err
	}
	if parser.line == 1 {
		return parser.parseDeployment(kind, reader)
	}
	return parser.parseEvent(kind, reader)
}

func readKind(reader *fieldReader) (Kind, *Error) {
	text := reader.text("event")
	if reader.err != nil {
		return 0, reader.err
	}
	kind, err := KindString(text)
	if err != nil || kind.String() != text {
		return 0, newParseError(ErrorUnknownEvent, "no event is named %q", text)
	}
	return kind, nil
}

func (parser *parser) parseDeployment(kind Kind, reader *fieldReader) *Error {
	if kind != KindDeployment {
		return newParseError(ErrorNoDeployment, "the first line must be the deployment, not %q", kind)
	}
	parser.trace.Deployment.read(reader)
	if err := reader.finish(); err != nil {
		return err
	}
	directory, err := newDirectory(&parser.trace.Deployment)
	parser.directory = directory
	parser.lastMoment = parser.trace.Deployment.At
	return err
}

func (parser *parser) parseEvent(kind Kind, reader *fieldReader) *Error {
	event := newEvent(kind)
	if event == nil {
		return newParseError(ErrorUnknownEvent, "event %q has its place on the first line only", kind)
	}
	event.read(reader)
	if err := reader.finish(); err != nil {
		return err
	}
	if event.Moment().Before(parser.lastMoment) {
		return newParseError(ErrorTimeBackwards, "time goes back from %s to %s",
			formatMoment(parser.lastMoment), formatMoment(event.Moment()))
	}
	parser.lastMoment = event.Moment()
	if err := event.check(parser.directory); err != nil {
		return err
	}
	parser.trace.Events = append(parser.trace.Events, event)
	return nil
}
