// Package logwriter writes log lines asynchronously, so that logging never blocks. Lines
// are buffered in a bounded amount of memory. Lines that exceed the buffer or the budget
// of their kind are dropped, and a later line reports how many. Lines about failed
// requests have a larger budget and reserved buffer space, since operators look for them.
package logwriter

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Limits on the lines written and buffered.
const (
	// linesPerKind is the number of lines of one kind written per second. A busy lead
	// decides on about 300 jobs a second, so nothing is dropped under ordinary load.
	linesPerKind = 600
	// failedLinesPerKind is the same for lines about failed requests. A burst of ten
	// times the usual load can make one host reject 3,000 jobs in a second.
	failedLinesPerKind = 3000
	// pendingBytes bounds the buffered lines: about 5,000 lines of 200 bytes.
	pendingBytes = 1 << 20
	// reservedBytes is the part of pendingBytes reserved for lines about failed requests.
	reservedBytes = pendingBytes / 2
	// budgetInterval is how often budgets are reset and dropped lines are reported.
	budgetInterval = time.Second
)

// Kind is the kind of event that a line is about; each kind has a budget of its own.
type Kind string

// Writer buffers lines and writes them to Out. Set the exported fields before Run.
type Writer struct {
	Out io.Writer
	// Now returns the current time, for budgets and for lines about dropped lines.
	Now func() time.Time

	mutex      sync.Mutex
	pending    []byte
	spare      []byte
	budgets    *tabulator.Table[Kind, budget]
	refilledAt time.Time
	wake       chan struct{}
}

// budget counts the lines of one kind written and dropped in the current interval.
type budget struct {
	written, leftOut int
}

// Prepare initialises the writer. Call it before Run and before the first line.
func (writer *Writer) Prepare() {
	writer.wake = make(chan struct{}, 1)
	writer.budgets = tabulator.New[Kind, budget]()
}

// Write queues a line without a kind, with the budget of failed requests. It lets the
// writer serve as the output of a general logger.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.Line("", true, func(buffer []byte) []byte { return append(buffer, line...) })
	return len(line), nil
}

// Line queues one line, which appending adds to the buffer with its line break. It never
// waits for the output. It drops the line if the budget is spent or the buffer is full.
func (writer *Writer) Line(kind Kind, failed bool, appending func(buffer []byte) []byte) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	writer.refillBudgets()
	spent := writer.budgets.Get(kind)
	if spent == nil {
		spent = &budget{}
		writer.budgets.Put(kind, spent)
	}
	lines, limit := linesPerKind, pendingBytes-reservedBytes
	if failed {
		lines, limit = failedLinesPerKind, pendingBytes
	}
	if spent.written >= lines || len(writer.pending) >= limit {
		spent.leftOut++
		return
	}
	spent.written++
	writer.pending = appending(writer.pending)
	select {
	case writer.wake <- struct{}{}:
	default:
	}
}

// refillBudgets resets the budgets once per budgetInterval and reports the lines dropped since.
func (writer *Writer) refillBudgets() {
	now := writer.Now()
	if now.Sub(writer.refilledAt) < budgetInterval {
		return
	}
	writer.refilledAt = now
	writer.budgets.Each(func(kind Kind, spent *budget) bool {
		if spent.leftOut > 0 {
			writer.pending = appendDroppedCount(writer.pending, now, kind, spent.leftOut)
		}
		*spent = budget{}
		return true
	})
}

// Run writes queued lines until ctx is done, then writes the remaining ones and returns.
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

// flush writes all queued lines in one call.
func (writer *Writer) flush() {
	writer.mutex.Lock()
	lines := writer.pending
	writer.pending = writer.spare[:0]
	writer.spare = nil
	writer.mutex.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report that the log output itself failed.
		_, _ = writer.Out.Write(lines)
	}
	writer.mutex.Lock()
	writer.spare = lines
	writer.mutex.Unlock()
}
