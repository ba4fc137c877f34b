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

// peersWithUnresponsiveHost returns the Peers of a host whose only other host answers no
// connection attempt, and a channel with the timeout of each attempt.
func peersWithUnresponsiveHost() (*Peers, <-chan time.Duration) {
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

// Guards against hosts that, after a loss of all power, take more than a second after the last
// start to discover each other, so that each leads its failure domain alone. A host starts a
// moment before another and dials it; a machine without power answers nothing, and with a timeout
// of a second the other host is up long before the attempt fails.
func TestHostWithoutPowerIsDialledAgainSoon(t *testing.T) {
	peers, attempts := peersWithUnresponsiveHost()
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

// Guards against a host that, after a loss of all power, knows no other host for a quarter of a
// second after the last start. The host starts first and sends one batch to each host of its
// settings, which are without power; they start, and the next batch follows only 250 ms later.
// Connecting was tried once for each batch, and the batch dropped when that failed.
func TestWaitingBatchHasItsConnectionTriedAgain(t *testing.T) {
	const wanted = 4
	peers, attempts := peersWithUnresponsiveHost()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peers.runContext = ctx
	peers.links = make(map[identifier.HostID]*peerLink)
	peers.UpdateAddress("geel-0", "127.0.0.1:1")
	peers.Send("geel-0", &coordinator.PeerBatch{})
	for range wanted {
		<-attempts
	}
}

// Guards against the same delay after a loss of all power: an attempt made while the other host
// had no power lasted 300 ms, although that host was up 20 ms later, because every attempt had the
// timeout needed between regions.
func TestFirstAttemptsToConnectAreShort(t *testing.T) {
	adaptiveTimeout := &adaptiveTimeout{}
	unanswered := func(ctx context.Context, _ string) (net.Conn, error) { return nil, context.DeadlineExceeded }
	refused := func(ctx context.Context, _ string) (net.Conn, error) { return nil, io.ErrClosedPipe }
	if given := adaptiveTimeout.timeout(); given != firstDialTimeout {
		t.Errorf("the first attempt is given %v, want %v", given, firstDialTimeout)
	}
	for range 20 {
		_, _ = adaptiveTimeout.dial(context.Background(), "geel-0", unanswered)
	}
	if given := adaptiveTimeout.timeout(); given != dialTimeout {
		t.Errorf("after 20 attempts without an answer one is given %v, want %v", given, dialTimeout)
	}
	_, _ = adaptiveTimeout.dial(context.Background(), "geel-0", refused)
	if given := adaptiveTimeout.timeout(); given != firstDialTimeout {
		t.Errorf("after a refusal an attempt is given %v, want %v", given, firstDialTimeout)
	}
}

// Guards against sending leads and jobs of a minute ago to a host that was gone for a minute.
// Batches are queued while it is gone, and each one waits a second for the connection; that wait
// must not be counted from when the batch reaches the head of the queue.
func TestBatchWaitsFromWhenItWasQueued(t *testing.T) {
	peers, _ := peersWithUnresponsiveHost()
	peers.links = map[identifier.HostID]*peerLink{"geel-0": {host: "geel-0", queue: newSendQueue(), start: func() {}}}
	before := time.Now()
	peers.Send("geel-0", &coordinator.PeerBatch{})
	after := time.Now()
	queued, _ := peers.links["geel-0"].queue.pop()
	if queued.expired(before) {
		t.Error("it is dropped before it has waited")
	}
	if !queued.expired(after.Add(sendTimeout)) {
		t.Errorf("it is not dropped %v after it was queued", sendTimeout)
	}
}
