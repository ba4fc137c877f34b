package journaler

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// BatchID identifies a batch that was submitted to a Writer; the submitter chooses it.
type BatchID uint64

// Result is the outcome of one batch.
type Result struct {
	Ticket BatchID
	// Err is nil if the batch is durable.
	Err error
}

// Durable is the report of a Writer after each sync.
type Durable struct {
	// Results are in the order of Submit.
	Results []Result
	// Last is the last durable position and HardState the durable hard state.
	Last      Position
	HardState HardState
}

// Writer makes the batches of many submitters durable with one write and one sync per group:
// batches that arrive during a sync form the next group. Set the exported fields before Run and
// Submit.
type Writer struct {
	Journal *Journal
	// Done is called on the goroutine of Run, in order. It must not wait for another result.
	Done func(Durable)
	// GroupBytes is the maximum size of a group, which limits the time that one write takes.
	GroupBytes identifier.Bytes
	// QueueBytes is the maximum size of the queue; a Submit that exceeds it is refused.
	QueueBytes identifier.Bytes

	once        sync.Once
	wake        chan struct{}
	mutex       sync.Mutex
	queue       []submitted
	queuedBytes identifier.Bytes
	stopped     bool
}

type submitted struct {
	ticket BatchID
	batch  Batch
}

// Submit queues a batch and returns at once. Its errors have the kinds queue-full and stopped. A
// batch that follows a failed one gets the result invalid, because its entries would leave a gap.
func (writer *Writer) Submit(ticket BatchID, batch Batch) error {
	writer.prepare()
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if writer.stopped {
		return &Error{Operation: "submit", Kind: Stopped, Err: eris.New("the writer has ended")}
	}
	// An empty queue accepts any batch, so that one above the bound isn't refused forever.
	if len(writer.queue) > 0 && writer.queuedBytes+batch.size() > writer.QueueBytes {
		return &Error{Operation: "submit", Kind: QueueFull, Err: eris.New("the queue is full, because the disk is slower than batches arrive")}
	}
	writer.queue = append(writer.queue, submitted{ticket: ticket, batch: batch})
	writer.queuedBytes += batch.size()
	select {
	case writer.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
	return nil
}

// Run writes batches until the context is done, then writes what is still queued and returns.
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
	for taken := writer.nextGroup(); len(taken) > 0; taken = writer.nextGroup() {
		writer.writeGroup(taken)
	}
}

// nextGroup removes the next group from the queue and returns it; it is empty if the queue is.
func (writer *Writer) nextGroup() []submitted {
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
	writer.queuedBytes -= size
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
