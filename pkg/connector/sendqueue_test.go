package connector

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// maxIdleLinkBytes is what a host may keep for each other host that it sends nothing to: a thousand
// of them have to fit beside its work on a machine of 184 MB.
const maxIdleLinkBytes = 4096

// TestIdleLinksTakeLittleMemory guards against a host whose memory is used up by the number of the
// other hosts: each link had a buffer for a thousand batches and a client of its own.
func TestIdleLinksTakeLittleMemory(t *testing.T) {
	const hosts = 1000
	settings := loader.Defaults()
	peers := &Peers{Common: &provider.Common{Settings: &settings}, runContext: t.Context(), links: make(map[identifier.HostID]*peerLink)}
	before := heapBytes()
	for number := range hosts {
		peers.UpdateAddress(identifier.HostID(fmt.Sprintf("host-%d", number)), fmt.Sprintf("10.0.0.1:%d", number+1))
	}
	if used := int(heapBytes()-before) / hosts; used > maxIdleLinkBytes {
		t.Errorf("an idle link takes %d bytes, want at most %d", used, maxIdleLinkBytes)
	}
	runtime.KeepAlive(peers)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestSendQueueKeepsOrderAndBound guards against batches of one host that overtake each other, and
// against a host that is gone for long and fills the memory with what waits for it.
func TestSendQueueKeepsOrderAndBound(t *testing.T) {
	queue := newSendQueue()
	sendBy := time.Unix(0, 0)
	for number := range sendQueueBatches + 1 {
		pushed := queue.push(queuedPayload{payload: fmt.Appendf(nil, "%d", number), sendBy: sendBy})
		if want := number < sendQueueBatches; pushed != want {
			t.Fatalf("push of batch %d reports %t, want %t", number, pushed, want)
		}
	}
	for number := range sendQueueBatches {
		if batch, found := queue.pop(); !found || string(batch.payload) != fmt.Sprint(number) {
			t.Fatalf("pop returns %q, %t, want %d", batch.payload, found, number)
		}
	}
	if _, found := queue.pop(); found {
		t.Error("an empty queue returns a batch")
	}
}
