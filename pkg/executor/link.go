package executor

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"

	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
)

// streamWindow is the flow-control window towards an entry host. With a window that gRPC sizes
// by itself, nearly every message of a low-rate stream costs a ping and its response.
const streamWindow = 1 << 20

// maxResultBytes limits the bytes of results in one message.
const maxResultBytes = 1 << 20

// link is the connection to one entry host. Its outgoing messages are merged and sent as one
// batch.
type link struct {
	address string
	mutex   sync.Mutex
	pending *backendv1.ServerMessage
	wake    chan struct{}
	open    bool
}

// queue merges message into the next batch. While the stream is down, messages are dropped:
// the next Announce contains the same.
func (link *link) queue(message *backendv1.ServerMessage) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if !link.open {
		return
	}
	batch := link.pending
	if batch == nil {
		batch = &backendv1.ServerMessage{}
		link.pending = batch
	}
	if message.GetReport() != nil {
		batch.Report = message.GetReport()
		// The report is complete and contains the answers that were queued before it.
		batch.Answers = nil
	}
	batch.Refusals = append(batch.Refusals, message.GetRefusals()...)
	batch.Answers = append(batch.Answers, message.GetAnswers()...)
	if message.GetHeartbeat() != nil {
		batch.Heartbeat = message.GetHeartbeat()
		batch.Usages = message.GetUsages()
	}
	if message.GetLeaving() != nil {
		batch.Leaving = message.GetLeaving()
	}
	select {
	case link.wake <- struct{}{}:
	default:
	}
}

func (link *link) takePending() *backendv1.ServerMessage {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	batch := link.pending
	link.pending = nil
	return batch
}

func (link *link) setOpen(open bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.open = open
	link.pending = nil
}

// attach starts to maintain a stream to an entry host, unless there is one already.
func (executor *Executor) attach(ctx context.Context, address string) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	if executor.links[address] != nil {
		return
	}
	created := &link{address: address, wake: make(chan struct{}, 1)}
	executor.links[address] = created
	go executor.maintainStream(ctx, created)
}

func (executor *Executor) maintainStream(ctx context.Context, link *link) {
	connection, err := grpc.NewClient(link.address,
		grpc.WithTransportCredentials(executor.credentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReceivedBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithStaticStreamWindowSize(streamWindow),
		grpc.WithStaticConnWindowSize(streamWindow),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectPause, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}))
	if err != nil {
		executor.Log.Error("entry host not dialled", "address", link.address, "err", err)
		return
	}
	defer func() { _ = connection.Close() }()
	for ctx.Err() == nil {
		err := executor.serve(ctx, connection, link)
		executor.Log.Debug("entry host stream ended", "address", link.address, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(reconnectPause):
		}
	}
}

// serve runs one stream from its Announce to its end. Nothing of an ended stream is read once
// the next one opens, so a start can't arrive after an Announce that does not list it.
func (executor *Executor) serve(ctx context.Context, connection *grpc.ClientConn, link *link) error {
	streamContext, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := backendv1.NewEntryHostClient(connection).Attach(streamContext)
	if err != nil {
		return err
	}
	if err := stream.Send(&backendv1.ServerMessage{Announce: executor.announce(link)}); err != nil {
		return err
	}
	defer link.setOpen(false)
	go sendLoop(streamContext, stream, link)
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		if welcome := message.GetWelcome(); welcome != nil {
			for _, address := range welcome.GetEntryHostAddresses() {
				executor.attach(ctx, address)
			}
		}
		executor.handle(link, message)
	}
}

func sendLoop(ctx context.Context, stream grpc.BidiStreamingClient[backendv1.ServerMessage, backendv1.HostMessage], link *link) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-link.wake:
		}
		message := link.takePending()
		if message == nil {
			continue
		}
		for _, part := range splitAnswers(message) {
			if stream.Send(part) != nil {
				return
			}
		}
	}
}

// splitAnswers splits a message so that the answers of each part stay under maxResultBytes,
// unless a single answer is larger: an entry host refuses a message of over 64 MiB and ends the
// stream.
func splitAnswers(message *backendv1.ServerMessage) []*backendv1.ServerMessage {
	parts := []*backendv1.ServerMessage{message}
	answers := message.GetAnswers()
	firstAnswer, size := 0, 0
	for index, answer := range answers {
		size += len(answer.GetResult())
		if size > maxResultBytes && index > firstAnswer {
			parts[len(parts)-1].Answers = answers[firstAnswer:index]
			parts = append(parts, &backendv1.ServerMessage{})
			firstAnswer, size = index, len(answer.GetResult())
		}
	}
	parts[len(parts)-1].Answers = answers[firstAnswer:]
	return parts
}

// announce opens the link and returns the complete state of the server.
func (executor *Executor) announce(link *link) *backendv1.Announce {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	link.setOpen(true)
	announce := &backendv1.Announce{
		BackendServer: executor.Name,
		FailureDomain: executor.FailureDomain,
		Rack:          executor.Rack,
		Slots:         int32(executor.Slots),
		Connections:   int32(executor.Connections),
		Incarnation:   executor.incarnation,
		Leaving:       executor.leaving,
		UptimeNanos:   int64(time.Since(executor.startedAt)),
	}
	for key, task := range executor.tasks {
		state := &backendv1.TaskState{Submission: key.submission, Task: key.task, Cell: task.cell}
		announce.Tasks = append(announce.Tasks, state)
	}
	for _, finished := range executor.finished {
		announce.Unacknowledged = append(announce.Unacknowledged, finished.answer)
	}
	if executor.worker != nil {
		executor.worker.fillAnnounce(announce)
	}
	return announce
}
