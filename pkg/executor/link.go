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

// streamWindow is the flow-control window towards an entry host. A window that
// gRPC sizes by itself costs a ping and its answer for nearly every message of a
// stream that trickles.
const streamWindow = 1 << 20

// messageBytes is how many bytes of results one message carries.
const messageBytes = 1 << 20

// link is the connection to one entry host. Its outgoing messages are gathered
// and sent as one batch.
type link struct {
	address string
	mutex   sync.Mutex
	waiting *backendv1.ServerMessage
	wake    chan struct{}
	open    bool
}

// queue adds the parts of message to the next batch. While the stream is down
// they are dropped: the next Announce tells the same.
func (link *link) queue(message *backendv1.ServerMessage) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if !link.open {
		return
	}
	waiting := link.waiting
	if waiting == nil {
		waiting = &backendv1.ServerMessage{}
		link.waiting = waiting
	}
	if message.GetReport() != nil {
		waiting.Report = message.GetReport()
		// The report is complete; what was gathered before it stands in it.
		waiting.Answers = nil
	}
	waiting.Refusals = append(waiting.Refusals, message.GetRefusals()...)
	waiting.Answers = append(waiting.Answers, message.GetAnswers()...)
	if message.GetHeartbeat() != nil {
		waiting.Heartbeat = message.GetHeartbeat()
		waiting.Usages = message.GetUsages()
	}
	if message.GetLeaving() != nil {
		waiting.Leaving = message.GetLeaving()
	}
	select {
	case link.wake <- struct{}{}:
	default:
	}
}

func (link *link) take() *backendv1.ServerMessage {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	taken := link.waiting
	link.waiting = nil
	return taken
}

func (link *link) setOpen(open bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.open = open
	link.waiting = nil
}

// attach keeps a stream to an entry host, unless there is one already.
func (executor *Executor) attach(ctx context.Context, address string) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	if executor.links[address] != nil {
		return
	}
	created := &link{address: address, wake: make(chan struct{}, 1)}
	executor.links[address] = created
	go executor.keep(ctx, created)
}

func (executor *Executor) keep(ctx context.Context, link *link) {
	connection, err := grpc.NewClient(link.address,
		grpc.WithTransportCredentials(executor.credentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(receivedBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: probeInterval, Timeout: probeTimeout}),
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

// serve runs one stream from its Announce to its end. Nothing of an ended stream
// is read once the next one opens, so a start can't arrive after an Announce that
// does not list it.
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
		message := link.take()
		if message == nil {
			continue
		}
		for _, part := range split(message) {
			if stream.Send(part) != nil {
				return
			}
		}
	}
}

// split keeps the answers of one message under messageBytes, where there is more
// than one: an entry host refuses a message of over 64 MiB and ends the stream.
func split(message *backendv1.ServerMessage) []*backendv1.ServerMessage {
	parts := []*backendv1.ServerMessage{message}
	answers := message.GetAnswers()
	begun, size := 0, 0
	for index, answer := range answers {
		size += len(answer.GetResult())
		if size > messageBytes && index > begun {
			parts[len(parts)-1].Answers = answers[begun:index]
			parts = append(parts, &backendv1.ServerMessage{})
			begun, size = index, len(answer.GetResult())
		}
	}
	parts[len(parts)-1].Answers = answers[begun:]
	return parts
}

// announce opens the link and tells the complete state of the server.
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
