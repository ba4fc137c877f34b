package connector

import (
	"sync"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
)

var (
	// errSuperseded means that the backend server has opened another stream.
	errSuperseded = eris.New("a newer stream has taken the place")
	// errOverflow means that the backend server does not read what it is sent.
	errOverflow = eris.New("too many batches wait for the backend server")
)

// serverStream is one stream of a backend server.
type serverStream struct {
	queue chan *dispatcher.ToServer
	// orders are for a worker, which gets nothing by the queue.
	orders chan *coordinator.ToWorker
	done   chan struct{}
	// overflowed is closed when the queue is full.
	overflowed chan struct{}
	overflow   sync.Once

	mutex      sync.Mutex
	superseded bool
}

func newServerStream() *serverStream {
	return &serverStream{
		queue:      make(chan *dispatcher.ToServer, sendQueue),
		orders:     make(chan *coordinator.ToWorker, sendQueue),
		done:       make(chan struct{}),
		overflowed: make(chan struct{}),
	}
}

// enqueue queues a batch. It never waits: a backend server that has stopped
// reading would hold up the tick of the whole host, and with it every other job.
// Its stream ends instead, and its next announce and report tell what started.
func enqueue[Batch any](stream *serverStream, queue chan<- Batch, batch Batch) {
	select {
	case queue <- batch:
	default:
		stream.overflow.Do(func() { close(stream.overflowed) })
	}
}

// gather returns a batch together with those that wait behind it, oldest first.
func (stream *serverStream) gather(first *dispatcher.ToServer) []*dispatcher.ToServer {
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

// post runs what posts to the coordinator, unless a newer stream has taken the
// place, and tells whether it did. An old report that came after the new stream's
// announce would lack the tasks started in between; they would count as not
// started and start again elsewhere.
func (stream *serverStream) post(posting func()) bool {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	if stream.superseded {
		return false
	}
	posting()
	return true
}

// supersede returns once nothing more of the stream can be posted.
func (stream *serverStream) supersede() {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.superseded = true
}
