package elector

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// isolation keeps a host that is silently cut off from taking or keeping the lead.
//
// Such a host sees every other host of its failure domain die, as the last one
// that lives does. If it took the cell, its epoch would wait in its connections and
// reach the backend servers when the network is back: it would depose the lead that
// served on, although it has asked nobody which submissions ran, and run them again.
// It would show as a task that starts twice right after a host is back. The last
// host that lives hears backend servers; a host that is cut off does not. So a host
// that sees no other host must hear a backend server first. Once it hears one, or
// another host, it listens for the settling time, because the lead that served on
// shows itself then.
//
// A host that has just started is alone until it hears another, however long the
// connections take on a busy machine: it would take the cell of a living lead, ask
// nobody which submissions ran, and start their resends anew.
//
// A lead that is cut off gives its cells up for the same reason: others have taken
// them, and what it told its callers of its jobs, that they failed or did not run,
// could be untrue. It waits for two heartbeats first: the last host that lives would
// forget what it alone knows of its jobs.
type isolation struct {
	// alone tells that other hosts are known and that none of them lives.
	alone bool
	// heard tells that a backend server was heard since.
	heard bool
	// stepsDownAt is when a lead gives its cells up unless it hears one.
	stepsDownAt identifier.Moment
}

// stepDownWait covers two heartbeats of backend servers.
const stepDownWait = 2 * time.Second

// noteHosts follows who lives in the own failure domain.
func (elector *Elector) noteHosts(others, missing int) {
	alone := others == 0 && missing > 0
	if alone == elector.isolation.alone {
		return
	}
	wasCutOff := elector.isolation.alone && !elector.isolation.heard
	elector.isolation = isolation{alone: alone, stepsDownAt: elector.now.Add(stepDownWait)}
	if wasCutOff {
		elector.settles = elector.now.Add(elector.SettleTime)
	}
}

// noteServer notes that a backend server was heard.
func (elector *Elector) noteServer() {
	if !elector.isolation.alone || elector.isolation.heard {
		return
	}
	elector.isolation.heard = true
	settles := elector.now.Add(elector.SettleTime)
	if elector.settles == identifier.Never || elector.settles < settles {
		elector.settles = settles
	}
}

// noteJoined shortens the settling time of a host that has been told all that another
// host knows: a living lead is among that.
func (elector *Elector) noteJoined() {
	if elector.JoinedTime == 0 || elector.settles == identifier.Never {
		return
	}
	elector.settles = identifier.Earlier(elector.settles, elector.now.Add(elector.JoinedTime))
}

// cutOff tells whether this host may be cut off from all others.
func (elector *Elector) cutOff() bool {
	return elector.isolation.alone && !elector.isolation.heard
}

// stepsDown tells whether a lead has been cut off for too long.
func (elector *Elector) stepsDown() bool {
	return elector.cutOff() && elector.isolation.stepsDownAt.Due(elector.now)
}
