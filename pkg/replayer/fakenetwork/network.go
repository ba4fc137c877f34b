package fakenetwork

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Address names the place of a process; a process that restarts keeps it.
type Address string

// Process is what lives at an address from its start to its death.
type Process interface {
	Connected(peer Address)
	Disconnected(peer Address)
	Receive(from Address, message any)
}

// Network connects processes. A message on an open connection is never lost and
// never overtakes another, as with TCP: a silent partition holds it back until
// the partition ends, and only the end of a process closes its connections.
type Network struct {
	Clock *Clock
	// Delay returns the one-way delay between two places.
	Delay func(from, to *Place) time.Duration
	// ReconnectPause is how long a process waits before it dials again.
	ReconnectPause time.Duration

	places map[Address]*Place
	links  []*link
	cutOff map[identifier.FailureDomain]bool
}

// Place is where a process lives, or may live again.
type Place struct {
	Address       Address
	FailureDomain identifier.FailureDomain

	process  Process
	isolated bool
	links    []*link
	byPeer   map[Address]*link
}

// link is a pair of places between which a connection is wanted.
type link struct {
	ends       [2]*Place
	connection *connection
}

// connection is one life of a link. A closed end neither sends nor receives.
type connection struct {
	link      *link
	processes [2]Process
	closed    [2]bool
	held      []heldMessage
}

type heldMessage struct {
	to       int
	delivery func()
}

// AddPlace makes a place without a process.
func (network *Network) AddPlace(address Address, domain identifier.FailureDomain) *Place {
	if network.places == nil {
		network.places = make(map[Address]*Place)
		network.cutOff = make(map[identifier.FailureDomain]bool)
	}
	place := &Place{Address: address, FailureDomain: domain, byPeer: make(map[Address]*link)}
	network.places[address] = place
	return place
}

// Link wants a connection between two places whenever both have a process.
func (network *Network) Link(first, second *Place) {
	created := &link{ends: [2]*Place{first, second}}
	network.links = append(network.links, created)
	for number, place := range created.ends {
		place.links = append(place.links, created)
		place.byPeer[created.ends[1-number].Address] = created
	}
}

// Start begins the life of a process and dials its peers.
func (network *Network) Start(place *Place, process Process) {
	place.process = process
	for _, link := range place.links {
		network.dial(link, 0)
	}
}

// Stop ends the process of a place, as the kernel would: what it sent before
// still arrives, followed by the end of its connections.
func (network *Network) Stop(place *Place) {
	place.process = nil
	for _, link := range place.links {
		if connection := link.connection; connection != nil {
			network.closeFrom(connection, link.endOf(place))
		}
	}
}

// Lives tells whether the place has a process.
func (place *Place) Lives() bool { return place.process != nil }

// Isolate begins or ends a silent partition between the place and all others.
func (network *Network) Isolate(place *Place, isolated bool) {
	place.isolated = isolated
	network.release()
}

// CutOff begins or ends a silent partition between a failure domain and the
// others.
func (network *Network) CutOff(domain identifier.FailureDomain, cutOff bool) {
	network.cutOff[domain] = cutOff
	network.release()
}

// Reachable tells whether packets pass between two places.
func (network *Network) Reachable(first, second *Place) bool {
	if first.isolated || second.isolated {
		return false
	}
	if first.FailureDomain == second.FailureDomain {
		return true
	}
	return !network.cutOff[first.FailureDomain] && !network.cutOff[second.FailureDomain]
}

// Send sends a message on the open connection to a peer. It returns false where
// there is none.
func (network *Network) Send(from *Place, to Address, message any) bool {
	link := from.byPeer[to]
	if link == nil || link.connection == nil {
		return false
	}
	connection, end := link.connection, link.endOf(from)
	if connection.closed[end] {
		return false
	}
	receiver := connection.processes[1-end]
	network.pass(connection, 1-end, func() { receiver.Receive(from.Address, message) })
	return true
}

// dial opens a connection once both ends live and reach each other.
func (network *Network) dial(link *link, pause time.Duration) {
	network.Clock.At(network.Clock.Now().Add(pause), func() {
		first, second := link.ends[0], link.ends[1]
		if link.connection != nil || !first.Lives() || !second.Lives() || !network.Reachable(first, second) {
			return
		}
		opened := &connection{link: link, processes: [2]Process{first.process, second.process}}
		link.connection = opened
		for end := range link.ends {
			peer := link.ends[1-end].Address
			network.pass(opened, end, func() { opened.processes[end].Connected(peer) })
		}
	})
}

// closeFrom closes a connection at the end whose process is gone.
func (network *Network) closeFrom(connection *connection, end int) {
	if connection.closed[end] {
		return
	}
	connection.closed[end] = true
	link := connection.link
	if connection.closed[1-end] {
		network.finish(connection)
		return
	}
	network.pass(connection, 1-end, func() {
		connection.closed[1-end] = true
		connection.processes[1-end].Disconnected(link.ends[end].Address)
		network.finish(connection)
	})
}

func (network *Network) finish(connection *connection) {
	if connection.link.connection == connection {
		connection.link.connection = nil
		network.dial(connection.link, network.ReconnectPause)
	}
}

// pass delivers to an end after the delay, or holds the message in a partition.
func (network *Network) pass(connection *connection, to int, delivery func()) {
	ends := connection.link.ends
	if !network.Reachable(ends[0], ends[1]) {
		connection.held = append(connection.held, heldMessage{to: to, delivery: delivery})
		return
	}
	arrival := network.Clock.Now().Add(network.Delay(ends[1-to], ends[to]))
	network.Clock.At(arrival, func() {
		if !connection.closed[to] {
			delivery()
		}
	})
}

// release lets held messages go on where a partition has ended, and dials where
// it prevented a connection.
func (network *Network) release() {
	for _, link := range network.links {
		if !network.Reachable(link.ends[0], link.ends[1]) {
			continue
		}
		if link.connection == nil {
			network.dial(link, network.ReconnectPause)
			continue
		}
		held := link.connection.held
		link.connection.held = nil
		for _, message := range held {
			network.pass(link.connection, message.to, message.delivery)
		}
	}
}

func (link *link) endOf(place *Place) int {
	if link.ends[0] == place {
		return 0
	}
	return 1
}
