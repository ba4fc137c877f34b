// Package logwriter writes log lines without ever holding up who logs. Lines wait in
// memory of bounded size; what finds no room, or is over the budget of its kind, is
// left out, counted and said so later. Lines on requests that failed have a budget and
// room of their own, since those are the ones that somebody will ask for.
package logwriter

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Limits of what is written and of what waits.
const (
	// linesPerKind is how many lines of one kind are written in a second: a busy lead
	// decides on about 300 jobs a second, so that an ordinary second is written whole.
	linesPerKind = 600
	// failedLinesPerKind is the same for lines on failed requests. A burst of ten times
	// the usual load can turn away 3,000 jobs in a second at one host.
	failedLinesPerKind = 3000
	// waitingBytes bounds the lines that wait: about 5,000 lines of 200 bytes.
	waitingBytes = 1 << 20
	// reservedBytes of these are for lines on failed requests.
	reservedBytes = waitingBytes / 2
	// budgetInterval is how often budgets are filled and left-out lines are told.
	budgetInterval = time.Second
)

// Kind names what a line is about, for its budget.
type Kind string

// Writer writes lines to Out. Set the exported fields before Run.
type Writer struct {
	Out io.Writer
	// Now returns the time for lines about what was left out.
	Now func() time.Time

	mutex    sync.Mutex
	waiting  []byte
	spare    []byte
	budgets  *tabulator.Table[Kind, budget]
	filledAt time.Time
	wake     chan struct{}
}

// budget is what one kind may still write in the present second.
type budget struct {
	written, leftOut int
}

// Prepare makes the writer usable before Run.
func (writer *Writer) Prepare() {
	writer.wake = make(chan struct{}, 1)
	writer.budgets = tabulator.New[Kind, budget]()
}

// Write queues a line that has no kind, as from a general logger.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.Line("", true, func(buffer []byte) []byte { return append(buffer, line...) })
	return len(line), nil
}

// Line queues one line, which appending adds to a buffer with its line break. It never
// waits for the output.
func (writer *Writer) Line(kind Kind, failed bool, appending func(buffer []byte) []byte) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	writer.fill()
	spent := writer.budgets.Get(kind)
	if spent == nil {
		spent = &budget{}
		writer.budgets.Put(kind, spent)
	}
	lines, room := linesPerKind, waitingBytes-reservedBytes
	if failed {
		lines, room = failedLinesPerKind, waitingBytes
	}
	if spent.written >= lines || len(writer.waiting) >= room {
		spent.leftOut++
		return
	}
	spent.written++
	writer.waiting = appending(writer.waiting)
	select {
	case writer.wake <- struct{}{}:
	default:
	}
}

// fill starts a new second of the budgets and tells what the last one left out.
func (writer *Writer) fill() {
	now := writer.Now()
	if now.Sub(writer.filledAt) < budgetInterval {
		return
	}
	writer.filledAt = now
	writer.budgets.Each(func(kind Kind, spent *budget) bool {
		if spent.leftOut > 0 {
			writer.waiting = appendLeftOut(writer.waiting, now, kind, spent.leftOut)
		}
		*spent = budget{}
		return true
	})
}

// Run writes what waits until ctx is done, and then what is left.
func (writer *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			writer.flush()
			return
		case <-writer.wake:
			writer.flush()
		}
	}
}

// flush writes all lines that wait at once.
func (writer *Writer) flush() {
	writer.mutex.Lock()
	lines := writer.waiting
	writer.waiting = writer.spare[:0]
	writer.spare = nil
	writer.mutex.Unlock()
	if len(lines) > 0 {
		// Nobody could be told of an output that fails.
		_, _ = writer.Out.Write(lines)
	}
	writer.mutex.Lock()
	writer.spare = lines
	writer.mutex.Unlock()
}
