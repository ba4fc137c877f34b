package connector

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// peersOfSilentHost returns the connections of a host whose only other host answers no
// attempt, and how long each attempt was given.
func peersOfSilentHost() (*Peers, <-chan time.Duration) {
	settings := loader.Defaults()
	settings.Host = "mol-0"
	settings.Hosts = []loader.Host{{Host: "mol-0"}, {Host: "geel-0", PeersAddress: netip.MustParseAddrPort("127.0.0.1:1")}}
	attempts := make(chan time.Duration, 64)
	peers := &Peers{
		Common: provider.New(&settings, io.Discard),
		Post:   func(context.Context, coordinator.Input) bool { return true },
		Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			deadline, _ := ctx.Deadline()
			attempts <- time.Until(deadline)
			return nil, context.DeadlineExceeded
		},
	}
	return peers, attempts
}

// Symptom: after a loss of all power hosts don't know each other for more than a second
// after the last one has started, and each leads its failure domain alone.
// Sequence: a host starts a moment before another one and dials it; a machine without
// power answers nothing; by the time that the attempt is given up, the other one has
// been there for long.
// Cause: an attempt to connect was given a second.
func TestHostWithoutPowerIsDialledAgainSoon(t *testing.T) {
	peers, attempts := peersOfSilentHost()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go peers.Run(ctx)
	for {
		peers.Send(identifier.HostID("geel-0"), &coordinator.PeerBatch{})
		select {
		case given := <-attempts:
			if given > dialTimeout {
				t.Errorf("an attempt is given %v, want %v at most", given, dialTimeout)
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Symptom: after a loss of all power a host knows of no other one for a quarter of a
// second after the last of them has started.
// Sequence: a host starts first and sends one batch to each host of its settings; they are
// without power; they start; the host sends the next batch only 250 ms later.
// Cause: a connection was tried once for each batch, and the batch dropped when that failed.
func TestWaitingBatchHasItsConnectionTriedAgain(t *testing.T) {
	const wanted = 4
	peers, attempts := peersOfSilentHost()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peers.running = ctx
	peers.links = make(map[identifier.HostID]*peerLink)
	peers.Learn("geel-0", "127.0.0.1:1")
	peers.Send("geel-0", &coordinator.PeerBatch{})
	for range wanted {
		<-attempts
	}
}

// Symptom and sequence as above: an attempt that was made while the other host had no
// power went on for 300 ms, although that host was there 20 ms later.
// Cause: every attempt was given as long as one between regions may take.
func TestFirstAttemptsToConnectAreShort(t *testing.T) {
	patience := &dialPatience{}
	unanswered := func(ctx context.Context, _ string) (net.Conn, error) { return nil, context.DeadlineExceeded }
	refused := func(ctx context.Context, _ string) (net.Conn, error) { return nil, io.ErrClosedPipe }
	if given := patience.timeout(); given != firstDialTimeout {
		t.Errorf("the first attempt is given %v, want %v", given, firstDialTimeout)
	}
	for range 20 {
		_, _ = patience.open(context.Background(), "geel-0", unanswered)
	}
	if given := patience.timeout(); given != dialTimeout {
		t.Errorf("after 20 attempts without an answer one is given %v, want %v", given, dialTimeout)
	}
	_, _ = patience.open(context.Background(), "geel-0", refused)
	if given := patience.timeout(); given != firstDialTimeout {
		t.Errorf("after a refusal an attempt is given %v, want %v", given, firstDialTimeout)
	}
}

// Symptom: a host that was gone for a minute is told of leads and jobs of a minute ago when
// it is back.
// Sequence: batches for it are queued while it is gone; each one waits for a second for the
// connection when its turn comes.
// Cause guarded against: a wait that is counted from a batch's turn.
func TestBatchWaitsFromWhenItWasQueued(t *testing.T) {
	peers, _ := peersOfSilentHost()
	peers.links = map[identifier.HostID]*peerLink{"geel-0": {host: "geel-0", queue: make(chan outgoing, sendQueue)}}
	before := time.Now()
	peers.Send("geel-0", &coordinator.PeerBatch{})
	after := time.Now()
	queued := <-peers.links["geel-0"].queue
	if queued.overdue(before) {
		t.Error("it is dropped before it has waited")
	}
	if !queued.overdue(after.Add(openWait)) {
		t.Errorf("it is not dropped %v after it was queued", openWait)
	}
}
