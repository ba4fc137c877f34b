package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

const (
	// handoverRetryInterval is how long a leaving host waits for a receipt before it repeats its notice.
	handoverRetryInterval = 200 * time.Millisecond
	// handoverTimeout bounds the wait for receipts, which hosts of an earlier version don't send.
	handoverTimeout = time.Second
)

// handovers tracks which hosts of the failure domain have left and handed over their records.
//
// The status "left" alone doesn't tell: a host that leaves copies its records to the hosts that it
// sees living. One that it doesn't see, because that host is cut off or not running, learns of the
// leave later, and must count the records as missing unless another host has them.
type handovers struct {
	coordinator *Coordinator
	// received holds the incarnations of the hosts whose records are handed over.
	received map[identifier.HostID]identifier.Incarnation
	// confirmed are the hosts that know that this host has handed over its records.
	confirmed map[identifier.HostID]bool
	// retryAt and endsAt are when this host, while it leaves, notifies the others again and when it
	// stops waiting for them.
	retryAt, endsAt identifier.Moment
}

func newHandovers(coordinator *Coordinator) *handovers {
	return &handovers{
		coordinator: coordinator,
		received:    make(map[identifier.HostID]identifier.Incarnation),
		confirmed:   make(map[identifier.HostID]bool),
		retryAt:     identifier.Never,
		endsAt:      identifier.Never,
	}
}

// restart forgets the receipts, since this host has more to hand over.
func (handovers *handovers) restart() {
	clear(handovers.confirmed)
	handovers.retryAt = identifier.Never
	handovers.endsAt = identifier.Never
}

// announce notifies the other living hosts that this one has handed over its records, and reports
// whether all of them have confirmed that or the time is over.
func (handovers *handovers) announce() bool {
	now := handovers.coordinator.now
	if handovers.endsAt == identifier.Never {
		handovers.endsAt = now.Add(handoverTimeout)
		handovers.retryAt = now
	}
	unconfirmed := handovers.unconfirmed()
	if len(unconfirmed) == 0 || handovers.endsAt.Due(now) {
		handovers.retryAt = identifier.Never
		return true
	}
	if handovers.retryAt.Due(now) {
		handovers.retryAt = now.Add(handoverRetryInterval)
		handovers.notify(unconfirmed)
	}
	return false
}

// unconfirmed lists the living hosts that have not confirmed the handover of this one.
func (handovers *handovers) unconfirmed() []identifier.HostID {
	coordinator := handovers.coordinator
	var hosts []identifier.HostID
	for _, host := range coordinator.livingIn(coordinator.Self.FailureDomain) {
		if host != coordinator.Self.Host && !handovers.confirmed[host] {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (handovers *handovers) notify(hosts []identifier.HostID) {
	self := &handovers.coordinator.Self
	for _, host := range hosts {
		notice := messenger.Handover{Host: self.Host, Incarnation: self.Incarnation}
		handovers.coordinator.outputs.toPeer(host, PeerMessage{Handover: &notice})
	}
}

// nextDeadline returns when a leaving host notifies the others again, or Never.
func (handovers *handovers) nextDeadline() identifier.Moment { return handovers.retryAt }

// handleNotice records and confirms the handover of a host that leaves.
func (handovers *handovers) handleNotice(from identifier.HostID, notice messenger.Handover) {
	if notice.Host != from || !handovers.coordinator.inOwnDomain(from) {
		return
	}
	handovers.received[from] = notice.Incarnation
	handovers.coordinator.outputs.toPeer(from, PeerMessage{HandoverReceipt: true})
}

// handleReceipt records that a host knows of the handover of this one.
func (handovers *handovers) handleReceipt(from identifier.HostID) { handovers.confirmed[from] = true }

// adopt records the handovers that another host of the failure domain knows of.
func (handovers *handovers) adopt(known []messenger.Handover) {
	for _, handover := range known {
		handovers.received[handover.Host] = handover.Incarnation
	}
}

// isHandedOver reports whether a host has left and handed over its records.
func (handovers *handovers) isHandedOver(state gossiper.State) bool {
	incarnation, received := handovers.received[state.Member.Host]
	return received && state.Status == gossiper.StatusLeft && incarnation == state.Member.Incarnation
}

// known lists the hosts that have left and handed over their records, sorted by id.
func (handovers *handovers) known() []messenger.Handover {
	var known []messenger.Handover
	for _, state := range handovers.coordinator.gossiper.Members() {
		if handovers.isHandedOver(state) {
			known = append(known, messenger.Handover{Host: state.Member.Host, Incarnation: state.Member.Incarnation})
		}
	}
	slices.SortFunc(known, func(first, second messenger.Handover) int { return cmp.Compare(first.Host, second.Host) })
	return known
}
