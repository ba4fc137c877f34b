// Package leaser decides who may run a task and until when. A Granter (on the
// host that leads a failure domain's workers) gives a worker a lease on a task;
// a Holder (on the worker) stops the task when its lease is over.
//
// Clocks of different hosts are never compared. Every heartbeat of a worker
// carries a reading of the worker's own clock, which the granter only echoes.
// The holder counts a lease from the echoed reading, the granter counts it from
// the arrival of that heartbeat, which is later; and the holder stops earlier by
// the drift allowance. So however long a message was on its way, the holder has
// stopped before the granter frees the task, as long as the two clocks drift
// apart by less than the allowance within one lease.
package leaser

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// HolderMoment is a reading of a worker's own monotonic clock. It means nothing
// on another host, which can only echo it.
type HolderMoment int64

// Number orders leases. The granter's epoch stands in the upper half, so that a
// later granter's numbers lie above those of all former ones.
type Number uint64

// epochShift is the position of the epoch within a Number.
const epochShift = 32

// Epoch returns the epoch of the granter that gave the lease.
func (number Number) Epoch() identifier.Epoch { return identifier.Epoch(number >> epochShift) }

// Lease is the granter's record of a worker's right to run a task.
type Lease struct {
	Task   identifier.TaskID
	Worker identifier.WorkerID
	Number Number
	// FreeAt is the moment, on the granter's clock, from which the task may be
	// leased again.
	FreeAt identifier.Moment
}

// Grant is what the worker is told of a new or renewed lease.
type Grant struct {
	Task   identifier.TaskID `cbor:"1,keyasint,omitempty"`
	Number Number            `cbor:"2,keyasint,omitempty"`
	// Echo is the worker's own reading from which Length counts.
	Echo HolderMoment `cbor:"3,keyasint,omitempty"`
	// Length travels as an interval, since the deadline differs on each clock.
	Length time.Duration `cbor:"4,keyasint,omitempty"`
}

// Granter gives, renews and frees leases. Set the exported fields before use.
type Granter struct {
	// Epoch is above that of every former granter of the same workers.
	Epoch identifier.Epoch
	// Length is how long a lease lasts without renewal.
	Length time.Duration
	// QuietUntil is the moment until which leases of a former granter may be
	// valid; nothing is granted before it, but leases can be adopted.
	QuietUntil identifier.Moment

	last Number
	// earliest is not after the end of any lease. Renewals only put ends off, so it
	// need not be brought up to date before it falls due.
	earliest identifier.Moment
	leases   *tabulator.Table[identifier.TaskID, Lease]
	contacts *tabulator.Table[identifier.WorkerID, contact]
}

// contact is the last heartbeat of a worker.
type contact struct {
	echo    HolderMoment
	arrived identifier.Moment
}

// Heartbeat records a worker's reading, which later grants echo. A reading that
// is not above the last one is late or repeated and is passed over.
func (granter *Granter) Heartbeat(now identifier.Moment, worker identifier.WorkerID, reading HolderMoment) {
	granter.prepare()
	last := granter.contacts.Get(worker)
	if last != nil && reading <= last.echo {
		return
	}
	granter.contacts.Put(worker, &contact{echo: reading, arrived: now})
}

// Forget drops a worker's last reading, when its connection is closed: a process
// that took its place has another clock. Its leases stay until they run out.
func (granter *Granter) Forget(worker identifier.WorkerID) {
	granter.prepare()
	granter.contacts.Remove(worker)
}

// Grant leases a task to a worker. It fails with KindHeld while any other lease
// on the task may be valid, and with KindSilent when the worker's last heartbeat
// is older than half a lease, since the lease would begin nearly used up.
func (granter *Granter) Grant(now identifier.Moment, task identifier.TaskID, worker identifier.WorkerID) (Grant, error) {
	granter.prepare()
	if now.Before(granter.QuietUntil) {
		return Grant{}, failure("grant", KindQuiet)
	}
	if granter.leases.Get(task) != nil {
		return Grant{}, failure("grant", KindHeld)
	}
	if !granter.Heard(now, worker) {
		return Grant{}, failure("grant", KindSilent)
	}
	last := granter.contacts.Get(worker)
	granter.last = max(granter.last+1, Number(granter.Epoch)<<epochShift+1)
	lease := &Lease{Task: task, Worker: worker, Number: granter.last, FreeAt: last.arrived.Add(granter.Length)}
	granter.keep(lease)
	return granter.message(lease, last.echo), nil
}

// Heard tells whether the worker was heard recently enough to lease to it.
func (granter *Granter) Heard(now identifier.Moment, worker identifier.WorkerID) bool {
	granter.prepare()
	last := granter.contacts.Get(worker)
	return last != nil && now.Sub(last.arrived) <= granter.Length/2
}

// Renew prolongs the lease that a heartbeat names. Call Heartbeat first. A lease
// that is over stays over: the task may already be promised to somebody else.
func (granter *Granter) Renew(now identifier.Moment, task identifier.TaskID, worker identifier.WorkerID, number Number) (Grant, error) {
	granter.prepare()
	lease := granter.leases.Get(task)
	last := granter.contacts.Get(worker)
	if lease == nil || last == nil || lease.Worker != worker || lease.Number != number {
		return Grant{}, failure("renew", KindUnknown)
	}
	if lease.FreeAt.Due(now) {
		return Grant{}, failure("renew", KindRanOut)
	}
	lease.FreeAt = max(lease.FreeAt, last.arrived.Add(granter.Length))
	return granter.message(lease, last.echo), nil
}

// Adopt takes over a lease of a former granter that a worker reports within the
// quiet time. The former granter must have lost the right to grant before.
func (granter *Granter) Adopt(now identifier.Moment, task identifier.TaskID, worker identifier.WorkerID, number Number) (Grant, error) {
	granter.prepare()
	if !now.Before(granter.QuietUntil) || number.Epoch() >= granter.Epoch {
		return Grant{}, failure("adopt", KindStale)
	}
	last := granter.contacts.Get(worker)
	if last == nil {
		return Grant{}, failure("adopt", KindSilent)
	}
	if granter.leases.Get(task) != nil {
		return Grant{}, failure("adopt", KindHeld)
	}
	lease := &Lease{Task: task, Worker: worker, Number: number, FreeAt: last.arrived.Add(granter.Length)}
	granter.keep(lease)
	return granter.message(lease, last.echo), nil
}

// Release ends a lease whose holder has said that the task no longer runs.
func (granter *Granter) Release(task identifier.TaskID, number Number) bool {
	granter.prepare()
	lease := granter.leases.Get(task)
	if lease == nil || lease.Number != number {
		return false
	}
	return granter.leases.Remove(task)
}

// Get returns the lease on a task, or nil.
func (granter *Granter) Get(task identifier.TaskID) *Lease {
	granter.prepare()
	return granter.leases.Get(task)
}

// Expire removes and returns the leases that are over at now.
func (granter *Granter) Expire(now identifier.Moment) []Lease {
	granter.prepare()
	if !granter.earliest.Due(now) {
		return nil
	}
	var expired []Lease
	granter.earliest = identifier.Never
	granter.leases.Each(func(task identifier.TaskID, lease *Lease) bool {
		if lease.FreeAt.Due(now) {
			expired = append(expired, *lease)
			granter.leases.Remove(task)
			return true
		}
		granter.earliest = identifier.Earlier(granter.earliest, lease.FreeAt)
		return true
	})
	return expired
}

// NextDeadline returns a moment that is not after the end of any lease, at which
// Expire is due.
func (granter *Granter) NextDeadline() identifier.Moment {
	granter.prepare()
	return granter.earliest
}

// keep takes a lease into the table.
func (granter *Granter) keep(lease *Lease) {
	granter.leases.Put(lease.Task, lease)
	granter.earliest = identifier.Earlier(granter.earliest, lease.FreeAt)
}

func (granter *Granter) message(lease *Lease, echo HolderMoment) Grant {
	return Grant{Task: lease.Task, Number: lease.Number, Echo: echo, Length: granter.Length}
}

func (granter *Granter) prepare() {
	if granter.leases == nil {
		granter.earliest = identifier.Never
		granter.leases = tabulator.New[identifier.TaskID, Lease]()
		granter.contacts = tabulator.New[identifier.WorkerID, contact]()
	}
}
