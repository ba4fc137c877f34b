package connector

import (
	"sync"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
)

var (
	// errSuperseded means that the backend server has opened a newer stream.
	errSuperseded = eris.New("a newer stream has taken the place")
	// errOverflow means that the backend server does not read what is sent to it.
	errOverflow = eris.New("too many batches wait for the backend server")
)

// serverStream is one stream of a backend server.
type serverStream struct {
	queue chan *dispatcher.ToServer
	// workerQueue holds the batches for a worker, which gets nothing from queue.
	workerQueue chan *coordinator.ToWorker
	done        chan struct{}
	// overflowed is closed when the queue is full.
	overflowed chan struct{}
	overflow   sync.Once

	mutex      sync.Mutex
	superseded bool
}

func newServerStream() *serverStream {
	return &serverStream{
		queue:       make(chan *dispatcher.ToServer, sendQueueBatches),
		workerQueue: make(chan *coordinator.ToWorker, sendQueueBatches),
		done:        make(chan struct{}),
		overflowed:  make(chan struct{}),
	}
}

// enqueue queues a batch without ever blocking: a backend server that has stopped reading would
// otherwise block the tick of the whole host, and with it every other job. On overflow the stream
// ends instead, and the server's next announce and report state what started.
func enqueue[Batch any](stream *serverStream, queue chan<- Batch, batch Batch) {
	select {
	case queue <- batch:
	default:
		stream.overflow.Do(func() { close(stream.overflowed) })
	}
}

// drainQueue returns a batch together with those queued behind it, oldest first.
func (stream *serverStream) drainQueue(first *dispatcher.ToServer) []*dispatcher.ToServer {
	batches := []*dispatcher.ToServer{first}
	for {
		select {
		case next := <-stream.queue:
			batches = append(batches, next)
		default:
			return batches
		}
	}
}

// postUnlessSuperseded calls posting unless a newer stream has replaced this one, and reports
// whether it did. An old report posted after the new stream's announce would lack the tasks
// started in between; they would count as not started and start again elsewhere.
func (stream *serverStream) postUnlessSuperseded(posting func()) bool {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	if stream.superseded {
		return false
	}
	posting()
	return true
}

// supersede marks the stream as replaced. Once it returns, nothing more of the stream is posted.
func (stream *serverStream) supersede() {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.superseded = true
}
