package elector

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Input is what this host learned about others.
type Input interface{ input() }

// HostsChanged gives all hosts of a failure domain that are alive or suspected.
// Hosts that are dead or leave are not in it. This host needs not be.
type HostsChanged struct {
	FailureDomain identifier.FailureDomain
	Living        []identifier.HostID
	// Missing counts the hosts that are known, have not left and don't live.
	Missing int
}

// ServerHeard tells that a backend server of the own failure domain was heard.
type ServerHeard struct{}

// HostRestarted tells that a host has a new process, which leads nothing of what
// the old one announced.
type HostRestarted struct {
	FailureDomain identifier.FailureDomain
	Host          identifier.HostID
}

// LeadSeen is a host's announcement that it leads a cell.
type LeadSeen struct {
	FailureDomain identifier.FailureDomain
	Host          identifier.HostID
	Cell          identifier.CellID
	Epoch         identifier.Epoch
}

// LeadWithdrawn tells that a host no longer announces that it leads a cell. It
// must follow each LeadLost of that host: a host that gave way to another which
// died since would else be taken for the living lead, and nobody would lead.
type LeadWithdrawn struct {
	FailureDomain identifier.FailureDomain
	Host          identifier.HostID
	Cell          identifier.CellID
}

// EpochSeen is a backend server's report of the highest epoch it was shown for a
// cell of the own failure domain.
type EpochSeen struct {
	Cell  identifier.CellID
	Epoch identifier.Epoch
}

// Joined tells that another host has answered with all that it knows: who leads is
// known from now on, but for what is on its way.
type Joined struct{}

// StoodStill tells that this host did nothing for so long that others may have taken its cells.
type StoodStill struct{}

// Resign makes this host give up its cells and take none any more.
type Resign struct{}

func (HostsChanged) input()  {}
func (ServerHeard) input()   {}
func (HostRestarted) input() {}
func (LeadSeen) input()      {}
func (LeadWithdrawn) input() {}
func (EpochSeen) input()     {}
func (Joined) input()        {}
func (StoodStill) input()    {}
func (Resign) input()        {}

// Output is a decision or a change of view.
type Output interface{ output() }

// LeadTaken tells that this host leads a cell of its failure domain from now on,
// with a new epoch, which it must announce.
type LeadTaken struct {
	Cell  identifier.CellID
	Epoch identifier.Epoch
}

// LeadLost tells that this host no longer leads and must withdraw what it
// announced; To is the next lead, or empty
// if there is nobody to take over.
type LeadLost struct {
	Cell  identifier.CellID
	Epoch identifier.Epoch
	To    identifier.HostID
}

// LeadIs tells who leads a cell of any failure domain; Host is empty while no
// living host announces that it does.
type LeadIs struct {
	FailureDomain identifier.FailureDomain
	Cell          identifier.CellID
	Host          identifier.HostID
	Epoch         identifier.Epoch
}

func (LeadTaken) output() {}
func (LeadLost) output()  {}
func (LeadIs) output()    {}
