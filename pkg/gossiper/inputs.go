package gossiper

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Input is something that happened: a message, a hint or a wish of this host.
type Input interface{ input() }

// MessageReceived is a message from another host.
type MessageReceived struct{ Message Message }

// PeerConnected is the transport's hint that a connection to Host was made.
type PeerConnected struct{ Host identifier.HostID }

// PeerConnectionClosed is the transport's hint that Host's process closed or
// reset its connection. One failed re-check then shows that it is dead.
type PeerConnectionClosed struct{ Host identifier.HostID }

// RecordSet publishes a record of this host; its version is counted here. An
// empty value withdraws the record. The same value again does nothing.
type RecordSet struct {
	Key   string
	Value []byte
}

// ClusterRecordSet offers a cluster-wide record, whose version the caller gives.
// It is ignored unless its version is above the one known.
type ClusterRecordSet struct{ Record Record }

// LeaveRequested makes this host say that it leaves. It goes on answering
// until its process ends.
type LeaveRequested struct{}

func (MessageReceived) input()      {}
func (PeerConnected) input()        {}
func (PeerConnectionClosed) input() {}
func (RecordSet) input()            {}
func (ClusterRecordSet) input()     {}
func (LeaveRequested) input()       {}
