package leaser

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// HeldLease is the holder's record of a lease that it holds.
type HeldLease struct {
	Number Number
	// EndsAt is the time on the holder's clock at which the task must have stopped.
	EndsAt identifier.Moment
}

// Holder keeps track of the leases that one worker holds. Set the exported fields before use.
type Holder struct {
	// Drift is how much earlier than the granter the holder treats a lease as expired.
	// It must exceed the drift between two clocks within one lease and the time that a
	// task takes to stop.
	Drift time.Duration

	highestNumber Number
	lowestEpoch   identifier.Epoch
	leases        *tabulator.Table[identifier.TaskID, HeldLease]
}

// Accept records a new lease. It fails with KindRanOut if the lease expired before the
// grant arrived, and with KindStale if its epoch is too low or its number is not above the
// highest one seen: the message is repeated or out of order, and the task may have run
// already.
func (holder *Holder) Accept(now identifier.Moment, grant Grant) error {
	holder.prepare()
	if grant.Number <= holder.highestNumber || grant.Number.Epoch() < holder.lowestEpoch {
		return newError("accept", KindStale)
	}
	holder.highestNumber = grant.Number
	holder.lowestEpoch = max(holder.lowestEpoch, grant.Number.Epoch())
	endsAt := holder.deadline(grant)
	if endsAt.Due(now) {
		return newError("accept", KindRanOut)
	}
	holder.leases.Put(grant.Task, &HeldLease{Number: grant.Number, EndsAt: endsAt})
	return nil
}

// Renew extends a lease that is still valid at now. An expired lease is not extended,
// whenever its renewal was sent.
func (holder *Holder) Renew(now identifier.Moment, grant Grant) error {
	holder.prepare()
	lease := holder.leases.Get(grant.Task)
	if lease == nil || lease.Number != grant.Number {
		return newError("renew", KindUnknown)
	}
	if lease.EndsAt.Due(now) {
		return newError("renew", KindRanOut)
	}
	lease.EndsAt = max(lease.EndsAt, holder.deadline(grant))
	return nil
}

// RaiseEpoch raises the lowest epoch whose leases are accepted; a lower epoch is ignored.
func (holder *Holder) RaiseEpoch(epoch identifier.Epoch) {
	holder.lowestEpoch = max(holder.lowestEpoch, epoch)
}

// Valid reports whether the task has a lease that is valid at now.
func (holder *Holder) Valid(now identifier.Moment, task identifier.TaskID) bool {
	holder.prepare()
	lease := holder.leases.Get(task)
	return lease != nil && !lease.EndsAt.Due(now)
}

// Release drops the lease of a task that has ended.
func (holder *Holder) Release(task identifier.TaskID) {
	holder.prepare()
	holder.leases.Remove(task)
}

// Expire drops the leases that have expired at now and returns their tasks, which must
// stop.
func (holder *Holder) Expire(now identifier.Moment) []identifier.TaskID {
	holder.prepare()
	var expired []identifier.TaskID
	holder.leases.Each(func(task identifier.TaskID, lease *HeldLease) bool {
		if lease.EndsAt.Due(now) {
			expired = append(expired, task)
			holder.leases.Remove(task)
		}
		return true
	})
	return expired
}

// Tasks returns the tasks that have a lease, in the order of acceptance.
func (holder *Holder) Tasks() []identifier.TaskID {
	holder.prepare()
	return holder.leases.Keys()
}

// Get returns the lease on a task, or nil if there is none.
func (holder *Holder) Get(task identifier.TaskID) *HeldLease {
	holder.prepare()
	return holder.leases.Get(task)
}

// NextDeadline returns the time at which the next lease expires, or Never.
func (holder *Holder) NextDeadline() identifier.Moment {
	holder.prepare()
	next := identifier.Never
	holder.leases.Each(func(_ identifier.TaskID, lease *HeldLease) bool {
		next = identifier.Earlier(next, lease.EndsAt)
		return true
	})
	return next
}

func (holder *Holder) deadline(grant Grant) identifier.Moment {
	return identifier.Moment(grant.Echo).Add(grant.Length - holder.Drift)
}

func (holder *Holder) prepare() {
	if holder.leases == nil {
		holder.leases = tabulator.New[identifier.TaskID, HeldLease]()
	}
}
