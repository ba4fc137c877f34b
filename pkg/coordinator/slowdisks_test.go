package coordinator_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// changeEntries counts the entries with a configuration in the log of a keeper.
func (host *fakeHost) changeEntries() int {
	count := 0
	for _, entry := range host.disk.entries {
		if bytes.Contains(entry.Data, []byte("anna")) {
			count++
		}
	}
	return count
}

// Guards against a log that fills with copies of changes that wait for slow disks: each resend, of the
// host or of the operator to another host, was appended anew, which made the disks slower still.
func TestResentChangeIsAppendedOnce(t *testing.T) {
	const changes = 8
	network := newKeeperNetwork(t)
	network.syncTime = 1200 * time.Millisecond
	var waiters []uint64
	for round := range 2 {
		for revision := identifier.ConfigRevision(1); revision <= changes; revision++ {
			waiters = append(waiters, network.propose(network.hosts[(int(revision)+round)%3], revision))
		}
		network.advance(200 * time.Millisecond)
	}
	network.advance(5 * time.Second)
	for index, waiter := range waiters {
		if !network.acknowledged(waiter) {
			t.Errorf("request %d was not acknowledged", index)
		}
	}
	for _, host := range network.hosts {
		if count := host.changeEntries(); count != changes {
			t.Errorf("the log of %s has %d entries for %d changes", host.id, count, changes)
		}
	}
}
