package fakenetwork

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Address identifies a node. It stays the same when the node's process restarts.
type Address string

// Process receives the network events of a node from the process's start until it stops.
type Process interface {
	Connected(peer Address)
	Disconnected(peer Address)
	Receive(from Address, message any)
}

// Network connects processes. As with TCP, messages on an open connection are neither
// lost nor reordered: a silent partition delays them until it ends, and connections
// close only when a process ends.
type Network struct {
	Clock *Clock
	// Delay returns the one-way delay between two nodes.
	Delay func(from, to *Node) time.Duration
	// ReconnectPause is the delay before a closed or prevented connection is dialled again.
	ReconnectPause time.Duration

	nodes  map[Address]*Node
	links  []*link
	cutOff map[identifier.FailureDomain]bool
}

// Node is an address in a failure domain at which a process can run and be restarted.
type Node struct {
	Address       Address
	FailureDomain identifier.FailureDomain

	process  Process
	isolated bool
	links    []*link
	byPeer   map[Address]*link
}

// link is a pair of nodes that connect whenever both run a process.
type link struct {
	ends       [2]*Node
	connection *connection
}

// connection is one connection of a link between two processes. A closed end neither sends
// nor receives.
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

// AddNode creates a node without a process.
func (network *Network) AddNode(address Address, domain identifier.FailureDomain) *Node {
	if network.nodes == nil {
		network.nodes = make(map[Address]*Node)
		network.cutOff = make(map[identifier.FailureDomain]bool)
	}
	node := &Node{Address: address, FailureDomain: domain, byPeer: make(map[Address]*link)}
	network.nodes[address] = node
	return node
}

// Link keeps two nodes connected whenever both run a process and reach each other.
func (network *Network) Link(first, second *Node) {
	created := &link{ends: [2]*Node{first, second}}
	network.links = append(network.links, created)
	for number, node := range created.ends {
		node.links = append(node.links, created)
		node.byPeer[created.ends[1-number].Address] = created
	}
}

// Start runs a process on the node and dials its peers.
func (network *Network) Start(node *Node, process Process) {
	node.process = process
	for _, link := range node.links {
		network.dial(link, 0)
	}
}

// Stop ends the process of a node as the kernel would: messages that it sent before
// still arrive, followed by the close of its connections.
func (network *Network) Stop(node *Node) {
	node.process = nil
	for _, link := range node.links {
		if connection := link.connection; connection != nil {
			network.closeFrom(connection, link.endOf(node))
		}
	}
}

// Running reports whether the node has a process.
func (node *Node) Running() bool { return node.process != nil }

// Isolate starts or ends a silent partition between the node and all others.
func (network *Network) Isolate(node *Node, isolated bool) {
	node.isolated = isolated
	network.resume()
}

// CutOff starts or ends a silent partition between a failure domain and the
// others.
func (network *Network) CutOff(domain identifier.FailureDomain, cutOff bool) {
	network.cutOff[domain] = cutOff
	network.resume()
}

// Reachable reports whether no partition separates two nodes.
func (network *Network) Reachable(first, second *Node) bool {
	if first.isolated || second.isolated {
		return false
	}
	if first.FailureDomain == second.FailureDomain {
		return true
	}
	return !network.cutOff[first.FailureDomain] && !network.cutOff[second.FailureDomain]
}

// Send sends a message on the open connection to a peer. It returns false if there
// is none.
func (network *Network) Send(from *Node, to Address, message any) bool {
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

// dial opens a connection after the pause if both nodes then run a process and reach each other.
func (network *Network) dial(link *link, pause time.Duration) {
	network.Clock.At(network.Clock.Now().Add(pause), func() {
		first, second := link.ends[0], link.ends[1]
		if link.connection != nil || !first.Running() || !second.Running() || !network.Reachable(first, second) {
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

// closeFrom closes a connection at the end whose process has ended, and then at the peer's.
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

// pass schedules a delivery to an end after the delay, or holds it back during a partition.
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

// resume delivers held messages on links whose partition has ended, and dials links
// whose connection it prevented.
func (network *Network) resume() {
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

func (link *link) endOf(node *Node) int {
	if link.ends[0] == node {
		return 0
	}
	return 1
}
