// Package leaser decides which worker may run a task and until when. A Granter, on the
// host that leads a failure domain's workers, grants a worker a lease on a task; a
// Holder, on the worker, stops the task when its lease expires.
//
// Clocks of different hosts are never compared. Each heartbeat of a worker carries a
// reading of the worker's own clock, which the granter only echoes. The holder counts a
// lease from the echoed reading, and the granter from the arrival of that heartbeat,
// which is later; the holder also stops earlier by the drift allowance. However long a
// message was delayed, the holder has therefore stopped before the granter frees the
// task, as long as the two clocks drift apart by less than the allowance within one
// lease.
package leaser

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// HolderMoment is a reading of a worker's own monotonic clock. It has no meaning on
// another host, which can only echo it.
type HolderMoment int64

// Number orders leases. The upper half holds the granter's epoch, so that the numbers of
// a later granter are higher than those of all former ones.
type Number uint64

// epochShift is the bit offset of the epoch within a Number.
const epochShift = 32

// Epoch returns the epoch of the granter that granted the lease.
func (number Number) Epoch() identifier.Epoch { return identifier.Epoch(number >> epochShift) }

// Lease is the granter's record of a worker's right to run a task.
type Lease struct {
	Task   identifier.TaskID
	Worker identifier.WorkerID
	Number Number
	// FreeAt is the time on the granter's clock from which the task may be leased again.
	FreeAt identifier.Moment
}

// Grant is the message that notifies a worker of a new or renewed lease.
type Grant struct {
	Task   identifier.TaskID `cbor:"1,keyasint,omitempty"`
	Number Number            `cbor:"2,keyasint,omitempty"`
	// Echo is the reading of the worker's own clock from which Length counts.
	Echo HolderMoment `cbor:"3,keyasint,omitempty"`
	// Length is sent as a duration, since the deadline differs on each clock.
	Length time.Duration `cbor:"4,keyasint,omitempty"`
}

// Granter grants, renews and expires leases. Set the exported fields before use.
type Granter struct {
	// Epoch is higher than that of every former granter of the same workers.
	Epoch identifier.Epoch
	// Length is the duration of a lease without renewal.
	Length time.Duration
	// QuietUntil ends the quiet period, in which leases of a former granter may still be
	// valid; before it nothing is granted, but leases can be adopted.
	QuietUntil identifier.Moment

	lastNumber Number
	// earliestEnd is a lower bound for the end of all leases. Renewals only extend
	// leases, so it needs no update before it is due.
	earliestEnd identifier.Moment
	leases      *tabulator.Table[identifier.TaskID, Lease]
	heartbeats  *tabulator.Table[identifier.WorkerID, heartbeat]
}

// heartbeat is the last heartbeat of a worker.
type heartbeat struct {
	clock      HolderMoment
	receivedAt identifier.Moment
}

// Heartbeat records a reading of a worker's clock, which later grants echo. A reading
// that is not above the last one is late or repeated and is ignored.
func (granter *Granter) Heartbeat(now identifier.Moment, worker identifier.WorkerID, reading HolderMoment) {
	granter.prepare()
	last := granter.heartbeats.Get(worker)
	if last != nil && reading <= last.clock {
		return
	}
	granter.heartbeats.Put(worker, &heartbeat{clock: reading, receivedAt: now})
}

// ForgetWorker drops a worker's last reading when its connection closes: a process that
// replaces it has another clock. Its leases stay until they expire.
func (granter *Granter) ForgetWorker(worker identifier.WorkerID) {
	granter.prepare()
	granter.heartbeats.Remove(worker)
}

// Grant leases a task to a worker. It fails with KindQuiet within the quiet period, with
// KindHeld while another lease on the task may be valid, and with KindSilent when the
// worker's last heartbeat is older than half a lease, since little of the lease would be
// left at its start.
func (granter *Granter) Grant(now identifier.Moment, task identifier.TaskID, worker identifier.WorkerID) (Grant, error) {
	granter.prepare()
	if now.Before(granter.QuietUntil) {
		return Grant{}, newError("grant", KindQuiet)
	}
	if granter.leases.Get(task) != nil {
		return Grant{}, newError("grant", KindHeld)
	}
	if !granter.HasRecentHeartbeat(now, worker) {
		return Grant{}, newError("grant", KindSilent)
	}
	heartbeat := granter.heartbeats.Get(worker)
	granter.lastNumber = max(granter.lastNumber+1, Number(granter.Epoch)<<epochShift+1)
	lease := &Lease{Task: task, Worker: worker, Number: granter.lastNumber, FreeAt: heartbeat.receivedAt.Add(granter.Length)}
	granter.store(lease)
	return granter.newGrant(lease, heartbeat.clock), nil
}

// HasRecentHeartbeat reports whether the worker's last heartbeat is recent enough for a new lease.
func (granter *Granter) HasRecentHeartbeat(now identifier.Moment, worker identifier.WorkerID) bool {
	granter.prepare()
	heartbeat := granter.heartbeats.Get(worker)
	return heartbeat != nil && now.Sub(heartbeat.receivedAt) <= granter.Length/2
}

// Renew extends the lease that a heartbeat names. Call Heartbeat first. An expired lease
// is never renewed: the task may already be leased to another worker.
func (granter *Granter) Renew(now identifier.Moment, task identifier.TaskID, worker identifier.WorkerID, number Number) (Grant, error) {
	granter.prepare()
	lease := granter.leases.Get(task)
	heartbeat := granter.heartbeats.Get(worker)
	if lease == nil || heartbeat == nil || lease.Worker != worker || lease.Number != number {
		return Grant{}, newError("renew", KindUnknown)
	}
	if lease.FreeAt.Due(now) {
		return Grant{}, newError("renew", KindRanOut)
	}
	lease.FreeAt = max(lease.FreeAt, heartbeat.receivedAt.Add(granter.Length))
	return granter.newGrant(lease, heartbeat.clock), nil
}

// Adopt takes over a lease of a former granter that a worker reports within the quiet
// period. The former granter must have lost the right to grant before that.
func (granter *Granter) Adopt(now identifier.Moment, task identifier.TaskID, worker identifier.WorkerID, number Number) (Grant, error) {
	granter.prepare()
	if !now.Before(granter.QuietUntil) || number.Epoch() >= granter.Epoch {
		return Grant{}, newError("adopt", KindStale)
	}
	heartbeat := granter.heartbeats.Get(worker)
	if heartbeat == nil {
		return Grant{}, newError("adopt", KindSilent)
	}
	if granter.leases.Get(task) != nil {
		return Grant{}, newError("adopt", KindHeld)
	}
	lease := &Lease{Task: task, Worker: worker, Number: number, FreeAt: heartbeat.receivedAt.Add(granter.Length)}
	granter.store(lease)
	return granter.newGrant(lease, heartbeat.clock), nil
}

// Release ends a lease whose holder has reported that the task no longer runs. It
// returns false if no such lease exists.
func (granter *Granter) Release(task identifier.TaskID, number Number) bool {
	granter.prepare()
	lease := granter.leases.Get(task)
	if lease == nil || lease.Number != number {
		return false
	}
	return granter.leases.Remove(task)
}

// Get returns the lease on a task, or nil if there is none.
func (granter *Granter) Get(task identifier.TaskID) *Lease {
	granter.prepare()
	return granter.leases.Get(task)
}

// Expire removes and returns the leases that have expired at now.
func (granter *Granter) Expire(now identifier.Moment) []Lease {
	granter.prepare()
	if !granter.earliestEnd.Due(now) {
		return nil
	}
	var expired []Lease
	granter.earliestEnd = identifier.Never
	granter.leases.Each(func(task identifier.TaskID, lease *Lease) bool {
		if lease.FreeAt.Due(now) {
			expired = append(expired, *lease)
			granter.leases.Remove(task)
			return true
		}
		granter.earliestEnd = identifier.Earlier(granter.earliestEnd, lease.FreeAt)
		return true
	})
	return expired
}

// NextDeadline returns the time at which Expire is due next. It is a lower bound for the
// end of all leases.
func (granter *Granter) NextDeadline() identifier.Moment {
	granter.prepare()
	return granter.earliestEnd
}

// store adds a lease to the table and lowers earliestEnd if needed.
func (granter *Granter) store(lease *Lease) {
	granter.leases.Put(lease.Task, lease)
	granter.earliestEnd = identifier.Earlier(granter.earliestEnd, lease.FreeAt)
}

func (granter *Granter) newGrant(lease *Lease, echo HolderMoment) Grant {
	return Grant{Task: lease.Task, Number: lease.Number, Echo: echo, Length: granter.Length}
}

func (granter *Granter) prepare() {
	if granter.leases == nil {
		granter.earliestEnd = identifier.Never
		granter.leases = tabulator.New[identifier.TaskID, Lease]()
		granter.heartbeats = tabulator.New[identifier.WorkerID, heartbeat]()
	}
}
