package journaler

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Ticket names a batch that was handed to a Writer.
type Ticket uint64

// Result tells what became of one batch.
type Result struct {
	Ticket Ticket
	// Err is nil once the batch is durable.
	Err error
}

// Durable is what a Writer reports after each sync.
type Durable struct {
	// Results are in the order of Submit.
	Results []Result
	// Last is the last durable position, HardState the durable hard state.
	Last      Position
	HardState HardState
}

// Writer makes batches of many submitters durable with one write and one sync a
// group: while one sync runs, the batches that arrive form the next group. Its
// exported fields are set before Run and Submit.
type Writer struct {
	Journal *Journal
	// Done is called on the goroutine of Run, in order; it must not wait for
	// another result.
	Done func(Durable)
	// GroupBytes bounds a group, and with it the time that one write takes.
	GroupBytes identifier.Bytes
	// QueueBytes bounds what waits; a Submit beyond it is refused.
	QueueBytes identifier.Bytes

	once    sync.Once
	wake    chan struct{}
	mutex   sync.Mutex
	queue   []submitted
	queued  identifier.Bytes
	stopped bool
}

type submitted struct {
	ticket Ticket
	batch  Batch
}

// Submit queues a batch and returns at once. Its errors have the kinds
// queue-full and stopped. A batch that builds on one that came to nothing comes
// back as invalid: its entries would leave a gap.
func (writer *Writer) Submit(ticket Ticket, batch Batch) error {
	writer.prepare()
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if writer.stopped {
		return &Error{Operation: "submit", Kind: Stopped, Err: eris.New("the writer has ended")}
	}
	// One batch is always taken, so that one above the bound isn't refused for
	// ever.
	if len(writer.queue) > 0 && writer.queued+batch.size() > writer.QueueBytes {
		return &Error{Operation: "submit", Kind: QueueFull, Err: eris.New("the disk is slower than the batches come")}
	}
	writer.queue = append(writer.queue, submitted{ticket: ticket, batch: batch})
	writer.queued += batch.size()
	select {
	case writer.wake <- struct{}{}:
	default: // Run is due to look already
	}
	return nil
}

// Run writes until the context ends, then what is still queued, and returns.
func (writer *Writer) Run(ctx context.Context) {
	writer.prepare()
	for {
		select {
		case <-writer.wake:
			writer.drain()
		case <-ctx.Done():
			writer.stop()
			writer.drain()
			return
		}
	}
}

func (writer *Writer) prepare() {
	writer.once.Do(func() {
		writer.wake = make(chan struct{}, 1)
		if writer.GroupBytes == 0 {
			writer.GroupBytes = DefaultGroupBytes
		}
		if writer.QueueBytes == 0 {
			writer.QueueBytes = DefaultQueueBytes
		}
	})
}

func (writer *Writer) stop() {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	writer.stopped = true
}

func (writer *Writer) drain() {
	for taken := writer.take(); len(taken) > 0; taken = writer.take() {
		writer.writeGroup(taken)
	}
}

// take removes the next group from the queue.
func (writer *Writer) take() []submitted {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	count := 0
	size := identifier.Bytes(0)
	for count < len(writer.queue) && (count == 0 || size+writer.queue[count].batch.size() <= writer.GroupBytes) {
		size += writer.queue[count].batch.size()
		count++
	}
	taken := writer.queue[:count:count]
	writer.queue = writer.queue[count:]
	writer.queued -= size
	return taken
}

func (writer *Writer) writeGroup(taken []submitted) {
	batches := make([]Batch, len(taken))
	for number := range taken {
		batches[number] = taken[number].batch
	}
	durable := Durable{Results: make([]Result, len(taken))}
	for number, err := range writer.Journal.AppendGroup(batches) {
		durable.Results[number] = Result{Ticket: taken[number].ticket, Err: err}
	}
	durable.Last, durable.HardState = writer.Journal.Position()
	writer.Done(durable)
}
