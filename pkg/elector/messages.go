package elector

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Input is an event about this host or other hosts and servers that Tick handles.
type Input interface{ input() }

// HostsChanged lists all hosts of a failure domain that are alive or suspected. Hosts that are
// dead or leaving are not in it. This host may be omitted.
type HostsChanged struct {
	FailureDomain identifier.FailureDomain
	Living        []identifier.HostID
	// Processors are the processor capacities that living hosts state. A host without one states none.
	Processors map[identifier.HostID]identifier.MilliCPU
	// Suspected are the living hosts that missed a probe. No cell moves to them.
	Suspected []identifier.HostID
	// MissingHosts counts the hosts that are known, have not left and are not living.
	MissingHosts int
}

// ServerResponded reports that a backend server of the own failure domain has responded.
type ServerResponded struct{}

// HostResponded reports that a message of another host of any failure domain has arrived. It is only
// needed while IsLastHost.
type HostResponded struct{}

// HostRestarted reports that a host runs a new process, which leads none of the cells that the
// old one announced.
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

// LeadWithdrawn reports that a host no longer announces that it leads a cell. It must follow
// each LeadLost of that host. Otherwise a host that gave way to another one that has died
// since would still count as the living lead, and nobody would lead.
type LeadWithdrawn struct {
	FailureDomain identifier.FailureDomain
	Host          identifier.HostID
	Cell          identifier.CellID
}

// EpochSeen is a backend server's report of the highest epoch that it has received for a cell
// of the own failure domain.
type EpochSeen struct {
	Cell  identifier.CellID
	Epoch identifier.Epoch
}

// Joined reports that another host has sent its whole state. From then on the leads are known,
// except for announcements still on their way.
type Joined struct{}

// ProcessStalled reports that this host was stalled for so long that others may have acquired its
// cells.
type ProcessStalled struct{}

// LayoutKnown sets the number of cells of the own failure domain, which was unknown before.
type LayoutKnown struct{ Cells int }

// UnfitChanged lists the hosts of the own failure domain that can lead no cell, among them possibly
// this one, although they are living.
type UnfitChanged struct{ Hosts []identifier.HostID }

// Resign makes this host give up its cells and acquire none from then on.
type Resign struct{}

func (HostsChanged) input()    {}
func (ServerResponded) input() {}
func (HostResponded) input()   {}
func (HostRestarted) input()   {}
func (LeadSeen) input()        {}
func (LeadWithdrawn) input()   {}
func (EpochSeen) input()       {}
func (Joined) input()          {}
func (ProcessStalled) input()  {}
func (LayoutKnown) input()     {}
func (UnfitChanged) input()    {}
func (Resign) input()          {}

// Output is a decision of this host or a change of its view.
type Output interface{ output() }

// LeadTaken reports that this host leads a cell of its failure domain from now on, with a new
// epoch that it must announce.
type LeadTaken struct {
	Cell  identifier.CellID
	Epoch identifier.Epoch
}

// LeadLost reports that this host no longer leads a cell and must withdraw its announcement.
// To is the next lead, or empty if there is none.
type LeadLost struct {
	Cell  identifier.CellID
	Epoch identifier.Epoch
	To    identifier.HostID
}

// MovePlanned reports, before the LeadLost of the cell, that this host gives it to a host with more
// capacity. The numbers of cells count this one.
type MovePlanned struct {
	Cell          identifier.CellID
	From, To      identifier.HostID
	FromProcessor identifier.MilliCPU
	ToProcessor   identifier.MilliCPU
	FromCells     int
	ToCells       int
}

// LeadIs reports a change of the lead of a cell of any failure domain. Host is empty while no
// living host announces that it leads.
type LeadIs struct {
	FailureDomain identifier.FailureDomain
	Cell          identifier.CellID
	Host          identifier.HostID
	Epoch         identifier.Epoch
}

func (LeadTaken) output()   {}
func (LeadLost) output()    {}
func (MovePlanned) output() {}
func (LeadIs) output()      {}
