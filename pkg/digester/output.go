package digester

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Output is a message that the owner of the digester sends.
type Output interface{ isDigesterOutput() }

// SendBatch sends digests to a host that stores them.
type SendBatch struct {
	To    identifier.HostID
	Batch messenger.DigestBatch
}

// SendQuery requests the digests of the own failure domain.
type SendQuery struct {
	To    identifier.HostID
	Query messenger.DigestQuery
}

// SendReply answers a QueryArrived.
type SendReply struct {
	To    identifier.HostID
	Batch messenger.DigestBatch
}

// Collected reports that every live host has replied to the queries or has been given up.
type Collected struct{}

// CapacityReached reports that a home has the maximum number of digests and further ones are
// dropped.
type CapacityReached struct {
	Home    identifier.FailureDomain
	Digests int
}

func (*SendBatch) isDigesterOutput()       {}
func (*SendQuery) isDigesterOutput()       {}
func (*SendReply) isDigesterOutput()       {}
func (*Collected) isDigesterOutput()       {}
func (*CapacityReached) isDigesterOutput() {}
