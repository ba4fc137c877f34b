package digester

import (
	"cmp"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Input is a message or event that Tick applies.
type Input interface{ isDigesterInput() }

// SubmissionRecorded reports that this host, as the lead of the submission's home, has started,
// spilled or answered it.
type SubmissionRecorded struct {
	Submission identifier.SubmissionID
	Kind       messenger.DigestKind
}

// Host is another live host.
type Host struct {
	ID            identifier.HostID
	FailureDomain identifier.FailureDomain
	Incarnation   identifier.Incarnation
	// Processor is the processor capacity that the host states; 0 is unknown.
	Processor identifier.MilliCPU
}

// HostsChanged lists all other live hosts, of all failure domains, sorted by id.
type HostsChanged struct {
	Hosts []Host
}

// LeadTaken reports that this host leads a cell from now on.
type LeadTaken struct {
	Cell messenger.CellNumber
}

// LeadLost reports that another host leads a cell.
type LeadLost struct {
	Cell messenger.CellNumber
}

// Reconnected reports a new connection to a host.
type Reconnected struct {
	Host identifier.HostID
}

// BatchArrived delivers digests that a lead has sent. Its owner accepts only batches of the sender's
// own failure domain.
type BatchArrived struct {
	Batch messenger.DigestBatch
}

// QueryArrived requests the digests of a home.
type QueryArrived struct {
	From  identifier.HostID
	Query messenger.DigestQuery
}

// ReplyArrived answers a SendQuery. Its owner accepts only digests of the own failure domain.
type ReplyArrived struct {
	From  identifier.HostID
	Batch messenger.DigestBatch
}

// DigestsRequested reports that this host leads a cell and may lack digests. Collected follows.
type DigestsRequested struct{}

func (*SubmissionRecorded) isDigesterInput() {}
func (*HostsChanged) isDigesterInput()       {}
func (*LeadTaken) isDigesterInput()          {}
func (*LeadLost) isDigesterInput()           {}
func (*Reconnected) isDigesterInput()        {}
func (*BatchArrived) isDigesterInput()       {}
func (*QueryArrived) isDigesterInput()       {}
func (*ReplyArrived) isDigesterInput()       {}
func (*DigestsRequested) isDigesterInput()   {}

// CompareHosts orders hosts by id.
func CompareHosts(first, second Host) int { return cmp.Compare(first.ID, second.ID) }
