package elector

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// isolation keeps a host that is cut off by a silent network failure from acquiring or keeping
// the lead.
//
// Such a host sees every other host of its failure domain die, exactly as the last living host
// does. If it acquired the cell, its epoch would wait in its connections and reach the backend
// servers when the network returns. It would depose the lead that had continued to serve,
// although it has not queried any host for the running submissions, and would run them again.
// The symptom is a task that starts twice right after a host has returned. The last living
// host receives reports of backend servers, and a host that is cut off does not. So a host
// that sees no other host needs a response from a backend server first. After the first
// response from a server or another host it waits for the settle time, in which a lead that
// has continued to serve announces itself.
//
// A host that has just started counts as alone until another host responds, however long
// connecting takes on a busy machine. Otherwise it would acquire the cell of a living lead
// without a query for the running submissions, and start their resends anew.
//
// A lead that is cut off gives up its cells for the same reason: other hosts have acquired
// them, and its answers to callers, that jobs failed or did not run, could be untrue. It waits
// for two heartbeats first: if the last living host stepped down before a backend server could
// respond, it would forget what it alone knows of its jobs.
//
// The last living host may be cut off later, when no change of the membership tells so. It counts
// as cut off once no backend server and no other host has responded for as long. The membership
// takes several seconds to declare the hosts of other failure domains dead.
type isolation struct {
	// alone reports whether other hosts are known and none of them lives.
	alone bool
	// serverResponded reports whether a backend server has responded since.
	serverResponded bool
	// stepsDownAt is when a lead gives up its cells unless a backend server responds.
	stepsDownAt identifier.Moment
	// last reports whether no other host of the own failure domain lives, whether the others were
	// lost or have left.
	last bool
	// contactUntil is when the last host counts as cut off unless a backend server or another host
	// responds.
	contactUntil identifier.Moment
	// lostContact reports whether the last host is cut off, by contactUntil.
	lostContact bool
}

// stepDownWait covers two heartbeats of backend servers.
const stepDownWait = 2 * time.Second

// recordHosts records whether any other host of the own failure domain lives.
func (elector *Elector) recordHosts(others, missing int) {
	elector.recordLastHost(others == 0 && (missing > 0 || elector.OtherHosts > 0))
	alone := others == 0 && missing > 0
	if alone == elector.isolation.alone {
		return
	}
	wasCutOff := elector.isolation.alone && !elector.isolation.serverResponded
	elector.isolation.alone = alone
	elector.isolation.serverResponded = false
	elector.isolation.stepsDownAt = elector.now.Add(stepDownWait)
	if wasCutOff {
		elector.settlesAt = elector.now.Add(elector.SettleTime)
	}
}

// recordLastHost records whether this host is the last one of its failure domain.
func (elector *Elector) recordLastHost(last bool) {
	if last == elector.isolation.last {
		return
	}
	elector.isolation.last = last
	elector.extendContact()
	if !last {
		elector.endContactLoss()
	}
}

func (elector *Elector) extendContact() {
	elector.isolation.contactUntil = elector.now.Add(stepDownWait)
}

// detectContactLoss makes the last host of its failure domain count as cut off when neither backend
// servers nor hosts respond. Others may have started meanwhile that it doesn't see, and its answers
// to callers could differ from theirs.
func (elector *Elector) detectContactLoss() {
	if !elector.mayLoseContact() || !elector.isolation.contactUntil.Due(elector.now) {
		return
	}
	elector.isolation.lostContact = true
	elector.isolation.serverResponded = false
	elector.isolation.stepsDownAt = elector.now
}

// mayLoseContact reports whether this host is a lead that only responses can prove not to be cut
// off. Backend servers of a cell that it doesn't lead send few heartbeats.
func (elector *Elector) mayLoseContact() bool {
	return elector.isolation.last && !elector.isolation.lostContact && elector.leadsAnyCell()
}

// recordResponse records that a backend server or another host has responded.
func (elector *Elector) recordResponse() {
	elector.extendContact()
	elector.endContactLoss()
}

// endContactLoss makes this host wait for the announcements of other leads before it acquires a
// cell.
func (elector *Elector) endContactLoss() {
	if !elector.isolation.lostContact {
		return
	}
	elector.isolation.lostContact = false
	elector.settlesAt = elector.now.Add(elector.SettleTime)
}

// LostContact reports whether this host, as the last one of its failure domain, counts as cut off.
func (elector *Elector) LostContact() bool { return elector.isolation.lostContact }

// IsLastHost reports whether no other host of the own failure domain lives.
func (elector *Elector) IsLastHost() bool { return elector.isolation.last }

func (elector *Elector) leadsAnyCell() bool {
	leads := false
	elector.cells.Each(func(_ cellKey, cell *cellEntity) bool {
		leads = cell.ownEpoch != 0
		return !leads
	})
	return leads
}

// recordServerResponse records that a backend server has responded.
func (elector *Elector) recordServerResponse() {
	elector.recordResponse()
	if !elector.isolation.alone || elector.isolation.serverResponded {
		return
	}
	elector.isolation.serverResponded = true
	settles := elector.now.Add(elector.SettleTime)
	if elector.settlesAt == identifier.Never || elector.settlesAt < settles {
		elector.settlesAt = settles
	}
}

// handleJoined shortens the wait of a host that has received the whole state of another host,
// which names the living leads.
func (elector *Elector) handleJoined() {
	if elector.JoinedTime == 0 || elector.settlesAt == identifier.Never {
		return
	}
	elector.settlesAt = identifier.Earlier(elector.settlesAt, elector.now.Add(elector.JoinedTime))
}

// isCutOff reports whether this host may be cut off from all others.
func (elector *Elector) isCutOff() bool {
	return elector.isolation.lostContact || elector.isolation.alone && !elector.isolation.serverResponded
}

// mustStepDown reports whether a lead has been cut off for longer than stepDownWait.
func (elector *Elector) mustStepDown() bool {
	return elector.isCutOff() && elector.isolation.stepsDownAt.Due(elector.now)
}
