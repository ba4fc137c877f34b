// Package queuer queues the tasks that wait for a slot and decides which one starts next.
// Teams share the slots by weighted start-time fair queueing; the jobs of one team are
// ranked by an Order. Every operation takes O(log n) and allocates nothing once the queue
// has grown to the number of teams and jobs in use.
//
// No job starves: the team that was served least goes first, and within a team only jobs
// that arrive within a bounded time can overtake.
package queuer

import (
	"math"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Settings configures a queue.
type Settings struct {
	// Tolerance is the slot time per unit of weight by which one team may be ahead of
	// another before the other takes precedence. Within it, the job that is due first
	// goes first, regardless of its team.
	Tolerance time.Duration
	// UrgentHeadStart is how much earlier an urgent job counts as due than other jobs of
	// its team. It bounds how long urgent jobs can overtake the others.
	UrgentHeadStart time.Duration
	// OverloadThreshold is the ratio of offered work to the capacity of the slots above
	// which the slots count as overloaded.
	OverloadThreshold float64
	// NormalWaitFactor and OverloadWaitFactor scale the acceptable delay of a job beyond
	// its team's fair share, without and with overload.
	NormalWaitFactor   float64
	OverloadWaitFactor float64
	// MaxIdleTeams bounds the number of teams without queued tasks whose state is kept.
	MaxIdleTeams int
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		Tolerance:          2500 * time.Millisecond,
		UrgentHeadStart:    time.Second,
		OverloadThreshold:  1.2,
		NormalWaitFactor:   6,
		OverloadWaitFactor: 0.6,
		MaxIdleTeams:       1024,
	}
}

// Queue is a fair queue of jobs with payload P. Set the exported fields before use.
type Queue[P any, O Order] struct {
	Settings Settings
	Order    O

	teams map[identifier.TeamID]*team[P]
	// ready holds the teams that have waiting tasks and aren't paused, idle those without
	// waiting tasks that are no longer active.
	ready indexedHeap[*team[P]]
	idle  indexedHeap[*team[P]]
	// recent holds the teams without waiting tasks that are still active, longest idle
	// first.
	recent    indexedHeap[*team[P]]
	freeTeams []*team[P]
	// virtualTime is the virtual time of start-time fair queueing: the largest tag that a
	// team had when it was served.
	virtualTime float64
	highestTag  float64
	tasks       int
	work        time.Duration
	// weights is the sum of the active teams' weights.
	weights int
	// offered is the rate of the work passed to Evaluate, admitted that of the work pushed.
	offered  decayingRate
	admitted decayingRate
	backlogs backlogs
	sequence uint64
	// lastNow is the time last passed to Push or Serve.
	lastNow identifier.Moment
}

// Tasks returns the number of waiting tasks.
func (queue *Queue[P, O]) Tasks() int { return queue.tasks }

// Work returns the expected slot time of all waiting tasks.
func (queue *Queue[P, O]) Work() time.Duration { return queue.work }

// TeamTasks returns the number of waiting tasks of a team.
func (queue *Queue[P, O]) TeamTasks(id identifier.TeamID) int {
	if team := queue.teams[id]; team != nil {
		return team.tasks
	}
	return 0
}

// Push adds waiting tasks to a job, which may already be in the queue, and sets the
// team's weight.
func (queue *Queue[P, O]) Push(now identifier.Moment, entry *Entry[P], tasks, weight int) {
	if tasks <= 0 {
		return
	}
	queue.lastNow = now
	team := queue.getOrAddTeam(entry.Team)
	backlog := team.backlogs.of(entry.Urgent)
	backlog.advance(now)
	queue.backlogs.of(entry.Urgent).advance(now)
	if entry.waiting == 0 {
		queue.sequence++
		entry.sequence = queue.sequence
		entry.team = team
		entry.key = entry.Due
		if !entry.Urgent {
			entry.key = entry.Due.Add(queue.Settings.UrgentHeadStart)
		}
		entry.bucket = backlog.bucketFor(entry.Due)
		work := time.Duration(tasks) * entry.Cost
		team.admitted.add(now, work)
		queue.admitted.add(now, work)
		team.jobs.push(entry)
	}
	queue.setWeight(team, max(weight, 1))
	queue.adjustWaiting(entry, tasks)
	queue.updateHeap(team)
}

// Next returns the job whose task starts next, or nil if no task may start.
func (queue *Queue[P, O]) Next() *Entry[P] {
	if len(queue.ready.members) == 0 {
		return nil
	}
	return queue.ready.members[0].jobs.members[0]
}

// Serve removes one task of a job from the queue and charges its cost to the team.
func (queue *Queue[P, O]) Serve(now identifier.Moment, entry *Entry[P]) {
	queue.lastNow = now
	team := entry.team
	queue.virtualTime = max(queue.virtualTime, team.tag)
	queue.charge(team, entry.Cost, entry.ClassWeight)
	queue.Withdraw(entry, 1)
}

// Withdraw removes waiting tasks of a job without charging them to the team.
func (queue *Queue[P, O]) Withdraw(entry *Entry[P], tasks int) {
	tasks = min(tasks, entry.waiting)
	if tasks <= 0 {
		return
	}
	team := entry.team
	queue.adjustWaiting(entry, -tasks)
	if entry.waiting == 0 {
		team.jobs.remove(entry)
		entry.team = nil
	}
	queue.updateHeap(team)
}

// Remove removes all waiting tasks of a job without charging them to the team.
func (queue *Queue[P, O]) Remove(entry *Entry[P]) { queue.Withdraw(entry, entry.waiting) }

// AdjustCharge charges a team for the difference between the slot time that a task actually
// took and the cost that Serve charged for it. The difference may be negative.
func (queue *Queue[P, O]) AdjustCharge(id identifier.TeamID, difference time.Duration, classWeight int) {
	team := queue.teams[id]
	if team == nil {
		return
	}
	queue.charge(team, difference, classWeight)
	queue.updateHeap(team)
}

// SetPaused pauses or resumes a team; Next returns no jobs of a paused team. A team gets
// no credit for the time that it is paused.
func (queue *Queue[P, O]) SetPaused(id identifier.TeamID, paused bool) {
	team := queue.teams[id]
	if team == nil || team.paused == paused {
		return
	}
	team.paused = paused
	if !paused {
		queue.setTag(team, max(team.tag, queue.virtualTime))
	}
	queue.updateHeap(team)
}

func (queue *Queue[P, O]) adjustWaiting(entry *Entry[P], tasks int) {
	team := entry.team
	work := time.Duration(tasks) * entry.Cost
	if !team.active {
		team.active = true
		queue.weights += team.weight
	}
	entry.waiting += tasks
	team.tasks += tasks
	team.backlogs.of(entry.Urgent).add(entry.bucket, work)
	queue.backlogs.of(entry.Urgent).add(entry.bucket, work)
	queue.tasks += tasks
	queue.work += work
}

func (queue *Queue[P, O]) setWeight(team *team[P], weight int) {
	if team.active {
		queue.weights += weight - team.weight
	}
	team.weight = weight
}

func (queue *Queue[P, O]) charge(team *team[P], cost time.Duration, classWeight int) {
	share := float64(team.weight) * float64(max(classWeight, 1))
	queue.setTag(team, team.tag+float64(cost)/share)
}

func (queue *Queue[P, O]) setTag(team *team[P], tag float64) {
	team.tag = tag
	team.rank = math.Floor(tag / float64(max(queue.Settings.Tolerance, 1)))
	queue.highestTag = max(queue.highestTag, tag)
}
