package gossiper

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// network simulates many gossipers in virtual time over an unreliable network.
type network struct {
	random    *rand.Rand
	now       time.Duration
	nodes     []*node
	byAddress map[string]*node
	events    eventQueue
	order     uint64

	latency   time.Duration
	jitter    time.Duration
	loss      float64
	duplicate float64
	// cut reports whether messages between two nodes are lost.
	cut func(from, to *node) bool
	// observe receives every output that is not a Send.
	observe func(of *node, output Output)
}

// node is one host. Its clock starts at its own offset and runs at its own rate.
type node struct {
	gossiper   *Gossiper
	member     Member
	seeds      []Member
	index      int
	up         bool
	generation int
	lateness   time.Duration
	rate       float64
	offset     time.Duration
	sent       int
	bytes      int
	received   int
	processes  int
	sentByKind [MessageSyncReply + 1]int
}

type event struct {
	at         time.Duration
	order      uint64
	node       *node
	generation int
	message    []byte
}

type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	if queue[i].at != queue[j].at {
		return queue[i].at < queue[j].at
	}
	return queue[i].order < queue[j].order
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(x any)   { *queue = append(*queue, x.(event)) }
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// newNetwork creates hosts spread evenly over failure domains. The first hosts of up to five failure
// domains, two hosts at least, are seeds. No host is started yet.
func newNetwork(hosts, domains int, seed uint64) *network {
	net := &network{
		random:    rand.New(rand.NewPCG(seed, 1)),
		byAddress: make(map[string]*node),
		latency:   time.Millisecond,
		jitter:    time.Millisecond,
	}
	for index := range hosts {
		domain := index % domains
		net.nodes = append(net.nodes, &node{index: index, rate: 1, member: Member{
			Host:          identifier.HostID(fmt.Sprintf("entry-%02d-%02d", domain, index/domains)),
			FailureDomain: identifier.FailureDomain(fmt.Sprintf("domain-%02d", domain)),
			Region:        identifier.Region(fmt.Sprintf("region-%d", domain/4)),
			Roles:         []Role{RoleEntry},
			Addresses:     addressesOf(index, 0),
			Incarnation:   1764000000000,
		}})
	}
	for _, current := range net.nodes {
		for _, seed := range net.nodes[:min(hosts, max(domains, 2), 5)] {
			current.seeds = append(current.seeds, seed.member)
		}
	}
	return net
}

func addressesOf(index, process int) Addresses {
	ip := fmt.Sprintf("10.%d.%d.%d", process, index/200, index%200+1)
	return Addresses{Callers: ip + ":7000", BackendServers: ip + ":7001", Peers: ip + ":7002"}
}

// start starts a node's next process without any state from the previous one.
func (net *network) start(current *node) {
	current.processes++
	current.generation++
	current.up = true
	current.offset = -net.now + time.Duration(current.processes)*time.Microsecond
	current.gossiper = &Gossiper{
		Self:     current.member,
		Seeds:    current.seeds,
		Seed:     uint64(current.index)<<16 + uint64(current.processes),
		Settings: DefaultSettings(),
	}
	net.byAddress[current.member.Addresses.Peers] = current
	net.schedule(event{at: net.now, node: current, generation: current.generation})
}

// restart ends the process of a node and starts another, at another address if replaced is set.
func (net *network) restart(current *node, replaced bool) {
	net.kill(current)
	current.member.Incarnation += 1000
	if replaced {
		delete(net.byAddress, current.member.Addresses.Peers)
		current.member.Addresses = addressesOf(current.index, current.processes)
	}
	net.start(current)
}

func (net *network) kill(current *node) {
	current.up = false
	current.generation++
}

func (net *network) schedule(scheduled event) {
	net.order++
	scheduled.order = net.order
	heap.Push(&net.events, scheduled)
}

// local converts the network's time to the moment on the node's own clock.
func (current *node) local(now time.Duration) identifier.Moment {
	return identifier.Moment(float64(now+current.offset) * current.rate)
}

func (current *node) global(moment identifier.Moment) time.Duration {
	return time.Duration(float64(moment)/current.rate) + time.Microsecond - current.offset
}

// run processes all events within duration.
func (net *network) run(duration time.Duration) {
	end := net.now + duration
	for len(net.events) > 0 && net.events[0].at <= end {
		next := heap.Pop(&net.events).(event)
		net.now = next.at
		if !next.node.up || next.message == nil && next.generation != next.node.generation {
			continue
		}
		if next.message == nil {
			net.tick(next.node)
			continue
		}
		message, err := Decode(next.message)
		if err != nil {
			panic(err)
		}
		next.node.received++
		net.tick(next.node, MessageReceived{Message: message})
	}
	net.now = end
}

// tick passes inputs to a node. A late node gets timers and messages late, because both are
// scheduled with its lateness.
func (net *network) tick(current *node, inputs ...Input) {
	outputs := current.gossiper.Tick(current.local(net.now), inputs)
	for _, output := range outputs {
		if send, isSend := output.(Send); isSend {
			net.deliver(current, send)
			continue
		}
		if net.observe != nil {
			net.observe(current, output)
		}
	}
	current.generation++
	at := max(current.global(current.gossiper.NextDeadline()), net.now) + current.lateness
	net.schedule(event{at: at, node: current, generation: current.generation})
}

func (net *network) deliver(from *node, send Send) {
	encoded, err := Encode(send.Message)
	if err != nil {
		panic(err)
	}
	from.sent++
	from.bytes += len(encoded)
	from.sentByKind[send.Message.Kind] += len(encoded)
	to := net.byAddress[send.Address]
	if to == nil || (net.cut != nil && net.cut(from, to)) {
		return
	}
	copies := 1
	if net.random.Float64() < net.duplicate {
		copies = 2
	}
	for range copies {
		if net.random.Float64() < net.loss {
			continue
		}
		delay := net.latency + time.Duration(net.random.Int64N(int64(net.jitter)+1)) + to.lateness
		net.schedule(event{at: net.now + delay, node: to, message: encoded})
	}
}

// startAll starts every node within a second and lets them find each other for the settle time.
func (net *network) startAll(settle time.Duration) {
	for _, current := range net.nodes {
		net.start(current)
		net.run(time.Second / time.Duration(len(net.nodes)))
	}
	net.run(settle)
}

// statusOf returns the status that a node has of another; unknown hosts count as left.
func (current *node) statusOf(other *node) Status {
	state, known := current.gossiper.State(other.member.Host)
	if !known {
		return StatusLeft
	}
	return state.Status
}

// converged returns an error unless all running nodes agree with the actual state.
func (net *network) converged() error {
	var digest uint64
	for _, current := range net.nodes {
		if !current.up {
			continue
		}
		for _, other := range net.nodes {
			status := current.statusOf(other)
			if other.up != (status <= StatusSuspect) {
				return fmt.Errorf("%s lists %s as %s, running is %t",
					current.member.Host, other.member.Host, status, other.up)
			}
		}
		if digest != 0 && digest != current.gossiper.digest {
			return fmt.Errorf("%s has other records", current.member.Host)
		}
		digest = current.gossiper.digest
	}
	return nil
}
