package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// preemptForBlocked makes room for urgent batches that no worker has room for.
// Tasks that can be checkpointed go first, and none that is not repeatable. How
// many go within a window, and how often one task goes, is bounded, so that
// urgent work can't undo all other work again and again.
func (placer *Placer[P]) preemptForBlocked(round *round) {
	if placer.windowEnds.Due(round.now) {
		placer.windowEnds = round.now.Add(placer.Settings.Window)
		placer.windowCount = 0
	}
	for _, group := range round.blocked {
		if group.Urgency < UrgencyUrgent || group.blocked != BlockedByRoom || placer.awaitsPreempted(group) {
			continue
		}
		placer.preemptFor(round, group)
	}
}

// awaitsPreempted tells whether tasks are leaving a worker for this batch.
func (placer *Placer[P]) awaitsPreempted(group *group) bool {
	for _, held := range group.held {
		for _, running := range placer.fleet.seats[held.position].running {
			if running.leaving {
				return true
			}
		}
	}
	return false
}

// preemptFor takes, of a sample of workers, the one where the least work is lost.
func (placer *Placer[P]) preemptFor(round *round, group *group) {
	var best []*running
	bestLoss := time.Duration(0)
	for _, position := range placer.sampleByCapacity(group.Need) {
		victims, loss := placer.victims(round.now, position, group)
		if victims != nil && (best == nil || loss < bestLoss) {
			best, bestLoss = victims, loss
		}
	}
	if best == nil || placer.windowCount+len(best) > placer.Settings.PreemptionsPerWindow {
		return
	}
	placer.cancelReservations(group)
	placer.reserve(group, best[0].position, round.now)
	for _, victim := range best {
		placer.preempt(round, victim, group)
	}
}

// victims returns the least urgent tasks whose leaving makes room for the batch
// on a worker, and the work that is lost; none when there is no way.
func (placer *Placer[P]) victims(now identifier.Moment, position int, group *group) ([]*running, time.Duration) {
	candidates := slices.DeleteFunc(slices.Clone(placer.fleet.seats[position].running), func(running *running) bool {
		return !placer.preemptible(running, group)
	})
	slices.SortStableFunc(candidates, func(one, other *running) int {
		return cmp.Or(
			cmp.Compare(one.group.Urgency, other.group.Urgency),
			cmp.Compare(one.lost(now), other.lost(now)),
		)
	})
	free := placer.fleet.Free(position)
	loss := time.Duration(0)
	for count, candidate := range candidates {
		free = free.Add(candidate.charge)
		loss += candidate.lost(now)
		if group.Need.Fits(free) {
			return candidates[:count+1], loss
		}
	}
	return nil, 0
}

func (placer *Placer[P]) preemptible(running *running, by *group) bool {
	if running.leaving || running.group.Urgency >= by.Urgency || !running.group.Repeatable {
		return false
	}
	count := placer.preempted.Get(running.task)
	return count == nil || *count < placer.Settings.PreemptionsPerTask
}

// lost returns the work that is lost when a task is preempted at now.
func (running *running) lost(now identifier.Moment) time.Duration {
	if running.group.Checkpointable {
		return 0
	}
	return now.Sub(running.startedAt)
}

func (placer *Placer[P]) preempt(round *round, victim *running, by *group) {
	victim.leaving = true
	placer.windowCount++
	count := 1
	if former := placer.preempted.Get(victim.task); former != nil {
		count += *former
	}
	placer.preempted.Put(victim.task, &count)
	kind := DecisionStop
	if victim.group.Checkpointable {
		kind = DecisionCheckpoint
	}
	round.decisions = append(round.decisions, Decision{
		Kind:   kind,
		Task:   victim.task,
		Worker: placer.fleet.seats[victim.position].worker.ID,
		Group:  victim.group.ID,
		For:    by.ID,
	})
}
