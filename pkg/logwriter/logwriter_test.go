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

// clock is a manual clock.
type clock struct{ now time.Time }

func (clock *clock) read() time.Time { return clock.now }

func newWriter(out io.Writer, clock *clock) *logwriter.Writer {
	writer := &logwriter.Writer{Out: out, Now: clock.read}
	writer.Prepare()
	return writer
}

func writeLine(writer *logwriter.Writer, clock *clock, kind string, failed bool) {
	writer.Line(logwriter.Kind(kind), failed, func(buffer []byte) []byte {
		return logwriter.Begin(buffer, clock.now, "info", kind).Text("job", "j 1").Duration("elapsed", time.Second).End()
	})
}

func flush(writer *logwriter.Writer) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	writer.Run(ctx)
}

// TestLinesCanBeParsedBack reads a written line with a logfmt parser.
func TestLinesCanBeParsedBack(t *testing.T) {
	var out bytes.Buffer
	clock := &clock{now: time.Unix(1, 0).UTC()}
	writer := newWriter(&out, clock)
	writeLine(writer, clock, "arrived", false)
	flush(writer)
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

// Guards against a host that stops answering while nobody reads its log. The reader of the
// log stops reading, the pipe fills, and the next write blocks. This happened when each
// line was written by the goroutine that logged it.
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
			writeLine(writer, clock, "granted", second%2 == 0)
		}
	}
	// No call blocked although nothing was read. The buffered rest is bounded.
	_ = reader.Close()
	cancel()
	<-ended
}

// TestFailedRequestsGoFirst floods the log with lines about successful requests. A line
// about a failed request is still written, and the number of dropped lines is logged.
func TestFailedRequestsGoFirst(t *testing.T) {
	var out bytes.Buffer
	clock := &clock{now: time.Unix(1, 0)}
	writer := newWriter(&out, clock)
	for range 20_000 {
		writeLine(writer, clock, "granted", false)
	}
	writeLine(writer, clock, "turned-away", true)
	clock.now = clock.now.Add(time.Second)
	writeLine(writer, clock, "granted", false)
	flush(writer)
	text := out.String()
	if !strings.Contains(text, "msg=turned-away") {
		t.Error("the line on the failed request is missing")
	}
	if !strings.Contains(text, "msg=lines-left-out kind=granted lines=19400") {
		t.Error("the number of dropped lines is not logged")
	}
}

// BenchmarkLine measures the cost of one line to the logging goroutine.
func BenchmarkLine(b *testing.B) {
	clock := &clock{now: time.Unix(1, 0)}
	writer := newWriter(io.Discard, clock)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go writer.Run(ctx)
	b.ReportAllocs()
	for b.Loop() {
		clock.now = clock.now.Add(time.Millisecond * 5)
		writeLine(writer, clock, "granted", false)
	}
}
