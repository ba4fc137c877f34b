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

// Symptom: after a loss of all power hosts don't know each other for more than a second
// after the last one has started, and each leads its failure domain alone.
// Sequence: a host starts a moment before another one and dials it; a machine without
// power answers nothing; by the time that the attempt is given up, the other one has
// been there for long.
// Cause: an attempt to connect was given a second.
func TestHostWithoutPowerIsDialledAgainSoon(t *testing.T) {
	settings := loader.Defaults()
	settings.Host = "mol-0"
	settings.Hosts = []loader.Host{{Host: "mol-0"}, {Host: "geel-0", PeersAddress: netip.MustParseAddrPort("127.0.0.1:1")}}
	attempts := make(chan time.Duration, 16)
	peers := &Peers{
		Common: provider.New(&settings, io.Discard),
		Post:   func(context.Context, coordinator.Input) bool { return true },
		Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			deadline, _ := ctx.Deadline()
			attempts <- time.Until(deadline)
			return nil, context.DeadlineExceeded
		},
	}
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
