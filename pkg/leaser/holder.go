package leaser

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Held is the holder's record of its own right to run a task.
type Held struct {
	Number Number
	// EndsAt is the moment, on the holder's clock, at which the task must have
	// stopped.
	EndsAt identifier.Moment
}

// Holder keeps the leases of one worker. Set the exported fields before use.
type Holder struct {
	// Drift is how much earlier than the granter the holder regards a lease as
	// over. It must exceed the drift of two clocks within one lease and the time
	// that a task takes to stop.
	Drift time.Duration

	highest Number
	epoch   identifier.Epoch
	held    *tabulator.Table[identifier.TaskID, Held]
}

// Accept takes a new lease. A grant that was on its way for so long that it is
// already over is refused, and so is a number that is not above the highest one
// seen: it is a repeated or overtaken message, and the task may have run already.
func (holder *Holder) Accept(now identifier.Moment, grant Grant) error {
	holder.prepare()
	if grant.Number <= holder.highest || grant.Number.Epoch() < holder.epoch {
		return failure("accept", KindStale)
	}
	holder.highest = grant.Number
	holder.epoch = max(holder.epoch, grant.Number.Epoch())
	ends := holder.end(grant)
	if ends.Due(now) {
		return failure("accept", KindRanOut)
	}
	holder.held.Put(grant.Task, &Held{Number: grant.Number, EndsAt: ends})
	return nil
}

// Renew prolongs a lease that is still valid at now. One that is over is not
// prolonged, however late its renewal was sent.
func (holder *Holder) Renew(now identifier.Moment, grant Grant) error {
	holder.prepare()
	held := holder.held.Get(grant.Task)
	if held == nil || held.Number != grant.Number {
		return failure("renew", KindUnknown)
	}
	if held.EndsAt.Due(now) {
		return failure("renew", KindRanOut)
	}
	held.EndsAt = max(held.EndsAt, holder.end(grant))
	return nil
}

// Follow raises the lowest epoch from which leases are accepted.
func (holder *Holder) Follow(epoch identifier.Epoch) { holder.epoch = max(holder.epoch, epoch) }

// Valid tells whether the task may run at now.
func (holder *Holder) Valid(now identifier.Moment, task identifier.TaskID) bool {
	holder.prepare()
	held := holder.held.Get(task)
	return held != nil && !held.EndsAt.Due(now)
}

// Release drops a lease, when its task has ended.
func (holder *Holder) Release(task identifier.TaskID) {
	holder.prepare()
	holder.held.Remove(task)
}

// RanOut removes and returns the tasks that must stop, since their lease is over.
func (holder *Holder) RanOut(now identifier.Moment) []identifier.TaskID {
	holder.prepare()
	var over []identifier.TaskID
	holder.held.Each(func(task identifier.TaskID, held *Held) bool {
		if held.EndsAt.Due(now) {
			over = append(over, task)
			holder.held.Remove(task)
		}
		return true
	})
	return over
}

// Tasks returns the tasks with a lease, in the order in which they were accepted.
func (holder *Holder) Tasks() []identifier.TaskID {
	holder.prepare()
	return holder.held.Keys()
}

// Get returns the lease on a task, or nil.
func (holder *Holder) Get(task identifier.TaskID) *Held {
	holder.prepare()
	return holder.held.Get(task)
}

// NextDeadline returns the moment at which the next lease runs out.
func (holder *Holder) NextDeadline() identifier.Moment {
	holder.prepare()
	next := identifier.Never
	holder.held.Each(func(_ identifier.TaskID, held *Held) bool {
		next = identifier.Earlier(next, held.EndsAt)
		return true
	})
	return next
}

func (holder *Holder) end(grant Grant) identifier.Moment {
	return identifier.Moment(grant.Echo).Add(grant.Length - holder.Drift)
}

func (holder *Holder) prepare() {
	if holder.held == nil {
		holder.held = tabulator.New[identifier.TaskID, Held]()
	}
}
