package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// preemptForBlocked preempts tasks for urgent batches that no worker has capacity for. Among
// tasks of equal urgency those that can be checkpointed go first; a task that is not
// repeatable is never preempted. The preemptions per window and per task are limited, so
// that urgent work can't undo all other work repeatedly.
func (placer *Placer[P]) preemptForBlocked(round *round) {
	if placer.windowEnd.Due(round.now) {
		placer.windowEnd = round.now.Add(placer.Settings.Window)
		placer.windowPreemptions = 0
	}
	for _, group := range round.blocked {
		if group.Urgency < UrgencyUrgent || group.blocked != BlockedByRoom || placer.hasPendingPreemption(group) {
			continue
		}
		placer.preemptFor(round, group)
	}
}

// hasPendingPreemption reports whether preempted tasks still run on a worker that is
// reserved for the batch.
func (placer *Placer[P]) hasPendingPreemption(group *group) bool {
	for _, reservation := range group.reservations {
		for _, running := range placer.fleet.workers[reservation.position].running {
			if running.preempting {
				return true
			}
		}
	}
	return false
}

// preemptFor preempts tasks on that worker of a sample where the least work is lost, unless
// that would exceed the limit per window.
func (placer *Placer[P]) preemptFor(round *round, group *group) {
	var best []*running
	bestLoss := time.Duration(0)
	for _, position := range placer.sampleByCapacity(group.Need) {
		victims, loss := placer.victims(round.now, position, group)
		if victims != nil && (best == nil || loss < bestLoss) {
			best, bestLoss = victims, loss
		}
	}
	if best == nil || placer.windowPreemptions+len(best) > placer.Settings.PreemptionsPerWindow {
		return
	}
	placer.cancelReservations(group)
	placer.reserve(group, best[0].position, round.now)
	for _, victim := range best {
		placer.preempt(round, victim, group)
	}
}

// victims returns the tasks to preempt on a worker so that a task of the batch fits, the
// least urgent first, and the work that is lost. It returns none if preemption can't free
// enough.
func (placer *Placer[P]) victims(now identifier.Moment, position int, group *group) ([]*running, time.Duration) {
	candidates := slices.DeleteFunc(slices.Clone(placer.fleet.workers[position].running), func(running *running) bool {
		return !placer.preemptible(running, group)
	})
	slices.SortStableFunc(candidates, func(one, other *running) int {
		return cmp.Or(
			cmp.Compare(one.group.Urgency, other.group.Urgency),
			cmp.Compare(one.lostWork(now), other.lostWork(now)),
		)
	})
	free := placer.fleet.Free(position)
	loss := time.Duration(0)
	for count, candidate := range candidates {
		free = free.Add(candidate.charge)
		loss += candidate.lostWork(now)
		if group.Need.Fits(free) {
			return candidates[:count+1], loss
		}
	}
	return nil, 0
}

func (placer *Placer[P]) preemptible(running *running, by *group) bool {
	if running.preempting || running.group.Urgency >= by.Urgency || !running.group.Repeatable {
		return false
	}
	count := placer.preemptionCounts.Get(running.task)
	return count == nil || *count < placer.Settings.PreemptionsPerTask
}

// lostWork returns the run time that is lost if the task is preempted at now.
func (running *running) lostWork(now identifier.Moment) time.Duration {
	if running.group.Checkpointable {
		return 0
	}
	return now.Sub(running.startedAt)
}

func (placer *Placer[P]) preempt(round *round, victim *running, by *group) {
	victim.preempting = true
	placer.windowPreemptions++
	count := 1
	if earlier := placer.preemptionCounts.Get(victim.task); earlier != nil {
		count += *earlier
	}
	placer.preemptionCounts.Put(victim.task, &count)
	kind := DecisionStop
	if victim.group.Checkpointable {
		kind = DecisionCheckpoint
	}
	round.decisions = append(round.decisions, Decision{
		Kind:   kind,
		Task:   victim.task,
		Worker: placer.fleet.workers[victim.position].worker.ID,
		Group:  victim.group.ID,
		For:    by.ID,
	})
}
