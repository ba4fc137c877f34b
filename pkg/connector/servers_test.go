package connector

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"

	"google.golang.org/grpc"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/loader"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/runner"
)

// fakeStream is a stream of a backend server that has stopped reading: Send blocks.
type fakeStream struct {
	grpc.ServerStream
	ctx      context.Context
	messages chan *backendv1.ServerMessage
}

func newFakeStream(ctx context.Context) *fakeStream {
	created := &fakeStream{ctx: ctx, messages: make(chan *backendv1.ServerMessage, 16)}
	created.messages <- &backendv1.ServerMessage{
		Announce: &backendv1.Announce{BackendServer: "thu-duc-0", FailureDomain: "thu-duc", Slots: 1},
	}
	return created
}

func (stream *fakeStream) Context() context.Context { return stream.ctx }

func (stream *fakeStream) Send(*backendv1.HostMessage) error {
	<-stream.ctx.Done()
	return stream.ctx.Err()
}

func (stream *fakeStream) Recv() (*backendv1.ServerMessage, error) {
	message, open := <-stream.messages
	if !open {
		return nil, io.EOF
	}
	return message, nil
}

// recorder records the inputs posted to the coordinator.
type recorder struct {
	mutex  sync.Mutex
	events []dispatcher.Input
	posted chan struct{}
}

func newServers() (*Servers, *recorder) {
	settings := loader.Defaults()
	settings.FailureDomain = "thu-duc"
	recorder := &recorder{posted: make(chan struct{}, 64)}
	servers := &Servers{Common: provider.New(&settings, io.Discard), Clock: runner.NewClock(), Post: recorder.post}
	servers.Prepare()
	return servers, recorder
}

// post drops an input once ctx is done, as the runner does.
func (recorder *recorder) post(ctx context.Context, input coordinator.Input) bool {
	if ctx.Err() != nil {
		return false
	}
	recorder.mutex.Lock()
	recorder.events = append(recorder.events, input.(*coordinator.ServerEvent).Event)
	recorder.mutex.Unlock()
	recorder.posted <- struct{}{}
	return true
}

func (recorder *recorder) last() dispatcher.Input {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return recorder.events[len(recorder.events)-1]
}

// TestServerThatStopsReading guards against a tick that blocks on one backend server and stalls
// all jobs of a host (row 8). A backend server is stopped, and batches for it fill its connection
// and its queue.
func TestServerThatStopsReading(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	servers, recorder := newServers()
	stream := newFakeStream(ctx)
	ended := make(chan error, 1)
	go func() { ended <- servers.Attach(stream) }()
	<-recorder.posted
	for range 2 * sendQueueBatches {
		servers.Send(&dispatcher.ToServer{Server: "thu-duc-0"})
	}
	if err := <-ended; !errors.Is(err, errOverflow) {
		t.Errorf("Attach() = %v", err)
	}
	if _, lost := recorder.last().(*dispatcher.ServerLost); !lost {
		t.Errorf("the last event is %T", recorder.last())
	}
}

// TestLossIsPostedAfterTheStream guards against waiting for the tasks of a dead backend server
// until heartbeats are missed (row 1). Its connection breaks, which ends the context of its
// stream; a loss posted under that context would be dropped.
func TestLossIsPostedAfterTheStream(t *testing.T) {
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		servers, recorder := newServers()
		stream := newFakeStream(ctx)
		ended := make(chan error, 1)
		go func() { ended <- servers.Attach(stream) }()
		<-recorder.posted
		cancel()
		close(stream.messages)
		<-ended
		if _, lost := recorder.last().(*dispatcher.ServerLost); !lost {
			t.Fatalf("the last event is %T", recorder.last())
		}
	}
}

// TestOldStreamIsIgnored guards against a task that starts twice. A backend server opens a second
// stream, and only then an old report is read from the first; that report lacks what was started
// after it.
func TestOldStreamIsIgnored(t *testing.T) {
	servers, recorder := newServers()
	first, second := newFakeStream(t.Context()), newFakeStream(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- servers.Attach(first) }()
	<-recorder.posted
	go func() { ended <- servers.Attach(second) }()
	<-recorder.posted
	first.messages <- &backendv1.ServerMessage{Report: &backendv1.Report{Epoch: 1}}
	if err := <-ended; !errors.Is(err, errSuperseded) {
		t.Errorf("Attach() = %v", err)
	}
	if _, announced := recorder.last().(*dispatcher.ServerAnnounced); !announced {
		t.Errorf("the last event is %T", recorder.last())
	}
	close(second.messages)
	<-ended
}
