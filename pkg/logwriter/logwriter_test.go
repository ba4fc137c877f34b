package logwriter_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/stoathitch/stoathitch/pkg/logwriter"
)

// clock is a time that the tests move.
type clock struct{ now time.Time }

func (clock *clock) read() time.Time { return clock.now }

func newWriter(out io.Writer, clock *clock) *logwriter.Writer {
	writer := &logwriter.Writer{Out: out, Now: clock.read}
	writer.Prepare()
	return writer
}

func note(writer *logwriter.Writer, clock *clock, kind string, failed bool) {
	writer.Line(logwriter.Kind(kind), failed, func(buffer []byte) []byte {
		return logwriter.Begin(buffer, clock.now, "info", kind).Text("job", "j 1").Duration("elapsed", time.Second).End()
	})
}

func written(writer *logwriter.Writer) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	writer.Run(ctx)
}

// TestLinesCanBeParsedBack reads what was written with a common parser.
func TestLinesCanBeParsedBack(t *testing.T) {
	var out bytes.Buffer
	clock := &clock{now: time.Unix(1, 0).UTC()}
	writer := newWriter(&out, clock)
	note(writer, clock, "arrived", false)
	written(writer)
	decoder := logfmt.NewDecoder(&out)
	got := map[string]string{}
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			got[string(decoder.Key())] = string(decoder.Value())
		}
	}
	if err := decoder.Err(); err != nil {
		t.Fatal(err)
	}
	want := map[string]string{"time": "1970-01-01T00:00:01.000000Z", "level": "info", "msg": "arrived", "job": "j 1", "elapsed": "1s"}
	for key, value := range want {
		if got[key] != value {
			t.Errorf("%s is %q, want %q", key, got[key], value)
		}
	}
}

// Symptom: a host answers nothing for as long as nobody reads its log.
// Sequence: the reader of the log stops reading, the pipe fills, and the next line
// waits for it.
// Cause: lines were written by who logs.
func TestStalledReaderHoldsNobodyUp(t *testing.T) {
	reader, out := io.Pipe()
	defer func() { _ = reader.Close() }()
	clock := &clock{now: time.Unix(1, 0)}
	writer := newWriter(out, clock)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		writer.Run(ctx)
		close(ended)
	}()
	for second := range 50 {
		clock.now = clock.now.Add(time.Second)
		for range 1000 {
			note(writer, clock, "granted", second%2 == 0)
		}
	}
	// All of it was taken although nothing was read. What is left of it is bounded.
	_ = reader.Close()
	cancel()
	<-ended
}

// TestFailedRequestsGoFirst floods the log with lines on good requests: those on failed
// ones are still written, and what was left out is said.
func TestFailedRequestsGoFirst(t *testing.T) {
	var out bytes.Buffer
	clock := &clock{now: time.Unix(1, 0)}
	writer := newWriter(&out, clock)
	for range 20_000 {
		note(writer, clock, "granted", false)
	}
	note(writer, clock, "turned-away", true)
	clock.now = clock.now.Add(time.Second)
	note(writer, clock, "granted", false)
	written(writer)
	text := out.String()
	if !strings.Contains(text, "msg=turned-away") {
		t.Error("the line on the failed request is missing")
	}
	if !strings.Contains(text, "msg=lines-left-out kind=granted lines=19400") {
		t.Error("it is not said how many lines were left out")
	}
}

// BenchmarkLine gives the cost of one line to who logs.
func BenchmarkLine(b *testing.B) {
	clock := &clock{now: time.Unix(1, 0)}
	writer := newWriter(io.Discard, clock)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go writer.Run(ctx)
	b.ReportAllocs()
	for b.Loop() {
		clock.now = clock.now.Add(time.Millisecond * 5)
		note(writer, clock, "granted", false)
	}
}
