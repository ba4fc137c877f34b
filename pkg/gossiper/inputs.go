package gossiper

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Input is an event for Tick: a received message, a transport hint or a request of this host.
type Input interface{ input() }

// MessageReceived is a message from another host.
type MessageReceived struct{ Message Message }

// PeerConnected is the transport's hint that a connection to Host was established. A host that is
// not alive is then pinged.
type PeerConnected struct{ Host identifier.HostID }

// PeerConnectionClosed is the transport's hint that Host's process closed or reset its connection.
// One failed probe after it shows that the process is dead.
type PeerConnectionClosed struct{ Host identifier.HostID }

// RecordPublished publishes a record of this host; the gossiper assigns its version. An empty value
// withdraws the record. Setting the same value again does nothing.
type RecordPublished struct {
	Key   string
	Value []byte
}

// ClusterRecordPublished publishes a cluster-wide record with a version that the caller assigns. It
// is ignored unless its version is above the known one.
type ClusterRecordPublished struct{ Record Record }

// LeaveRequested makes this host announce that it leaves. It goes on answering until its process
// ends.
type LeaveRequested struct{}

func (MessageReceived) input()        {}
func (PeerConnected) input()          {}
func (PeerConnectionClosed) input()   {}
func (RecordPublished) input()        {}
func (ClusterRecordPublished) input() {}
func (LeaveRequested) input()         {}
