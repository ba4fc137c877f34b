package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestChangesReachAHostThatTheLeadingKeeperDoesNotServe guards against an entry host that gets no
// configuration while changes follow one another: the keeper that announces each of them first is heard,
// and its documents are lost, as those are that wait too long for a thin link.
func TestChangesReachAHostThatTheLeadingKeeperDoesNotServe(t *testing.T) {
	network := newAgreeingNetwork(t, smallHost, smallHost, smallHost, smallHost)
	network.advance(10 * time.Second)
	network.configure(1)
	network.advance(10 * time.Second)
	host := network.entry[0]
	network.dropsBetween = func(from, to *fakeHost, message coordinator.PeerMessage) bool {
		return to == host && from.leadsKeepers && message.Config != nil
	}
	const interval, changes = 200 * time.Millisecond, 50
	bound := int(2 * time.Second / interval)
	for revision := 2; revision < 2+changes; revision++ {
		network.configure(identifier.ConfigRevision(revision))
		network.advance(interval)
		if newest := slices.Max(host.inForce); int(newest) < revision-bound {
			t.Fatalf("revision %d is in force while %d is sent", newest, revision)
		}
	}
	if !slices.IsSorted(host.inForce) {
		t.Errorf("went back: %v", host.inForce)
	}
}
