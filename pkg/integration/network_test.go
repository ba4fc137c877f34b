package integration_test

import (
	"context"
	"net"
	"sync"

	"github.com/stoathitch/stoathitch/pkg/connector"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// network is the way between hosts inside the test. It cuts a failure domain off
// as a silent partition does: connections stay open, what is sent waits, and new
// connections don't come about.
type network struct {
	mutex   sync.Mutex
	cut     map[identifier.FailureDomain]bool
	changed chan struct{}
	// domains tells the failure domain of each host's address.
	domains map[string]identifier.FailureDomain
}

func newNetwork() *network {
	return &network{
		cut:     make(map[identifier.FailureDomain]bool),
		changed: make(chan struct{}),
		domains: make(map[string]identifier.FailureDomain),
	}
}

// set cuts a failure domain off, or lets it rejoin.
func (network *network) set(domain identifier.FailureDomain, cut bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.cut[domain] = cut
	close(network.changed)
	network.changed = make(chan struct{})
}

// wait waits until nothing is cut between two failure domains, or done.
func (network *network) wait(from, to identifier.FailureDomain, done <-chan struct{}) {
	for {
		network.mutex.Lock()
		blocked := from != to && (network.cut[from] || network.cut[to])
		changed := network.changed
		network.mutex.Unlock()
		if !blocked {
			return
		}
		select {
		case <-changed:
		case <-done:
			return
		}
	}
}

// dialer returns how the hosts of a failure domain dial others.
func (network *network) dialer(from identifier.FailureDomain) connector.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		to := network.domains[address]
		network.wait(from, to, ctx.Done())
		dialed, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &cutConnection{Conn: dialed, network: network, from: from, to: to, closed: make(chan struct{})}, nil
	}
}

// cutConnection holds back what is sent and received while its ends are cut off
// from each other.
type cutConnection struct {
	net.Conn
	network *network
	from    identifier.FailureDomain
	to      identifier.FailureDomain
	closed  chan struct{}
	once    sync.Once
}

func (connection *cutConnection) Read(buffer []byte) (int, error) {
	length, err := connection.Conn.Read(buffer)
	connection.network.wait(connection.from, connection.to, connection.closed)
	return length, err
}

func (connection *cutConnection) Write(content []byte) (int, error) {
	connection.network.wait(connection.from, connection.to, connection.closed)
	return connection.Conn.Write(content)
}

func (connection *cutConnection) Close() error {
	connection.once.Do(func() { close(connection.closed) })
	return connection.Conn.Close()
}
