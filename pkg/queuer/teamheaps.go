package queuer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// activeWindow is how long an idle team still counts in the fair shares, so that the
// share of a flooding team does not jump whenever another team briefly has no waiting
// tasks.
const activeWindow = time.Second

// getOrAddTeam returns the state of a team. A team that returns from idleness starts at
// the current virtual time: it gets no credit for the slots that it did not use.
func (queue *Queue[P, O]) getOrAddTeam(id identifier.TeamID) *team[P] {
	found := queue.teams[id]
	if found == nil {
		found = queue.addTeam(id)
	}
	if found.tasks == 0 {
		queue.setTag(found, max(found.tag, queue.virtualTime))
	}
	return found
}

func (queue *Queue[P, O]) addTeam(id identifier.TeamID) *team[P] {
	if queue.teams == nil {
		queue.teams = make(map[identifier.TeamID]*team[P])
	}
	var created *team[P]
	if last := len(queue.freeTeams) - 1; last >= 0 {
		created = queue.freeTeams[last]
		queue.freeTeams = queue.freeTeams[:last]
		jobs := created.jobs.members
		*created = team[P]{}
		created.jobs.members = jobs
	} else {
		created = &team[P]{}
	}
	queue.sequence++
	created.id = id
	created.sequence = queue.sequence
	created.weight = 1
	queue.teams[id] = created
	return created
}

// updateHeap moves a team to the heap that matches its state, or restores its position
// there after its order has changed.
func (queue *Queue[P, O]) updateHeap(team *team[P]) {
	switch {
	case team.tasks == 0:
		queue.markIdle(team)
	case team.paused:
		queue.moveTo(team, heapNone)
	case team.heapKind == heapReady:
		queue.ready.fix(team.heapIndex)
	default:
		queue.moveTo(team, heapReady)
	}
	if queue.tasks == 0 {
		// At the end of a busy period all teams are treated as equally served again.
		queue.virtualTime = queue.highestTag
	}
}

func (queue *Queue[P, O]) markIdle(team *team[P]) {
	if team.heapKind == heapRecent || team.heapKind == heapIdle {
		return
	}
	queue.moveTo(team, heapNone)
	team.idleSince = queue.lastNow
	queue.moveTo(team, heapRecent)
	queue.expireRecent(queue.lastNow)
}

// expireRecent removes the teams that have been idle for activeWindow from the fair
// shares.
func (queue *Queue[P, O]) expireRecent(now identifier.Moment) {
	for len(queue.recent.members) > 0 {
		oldest := queue.recent.members[0]
		if !oldest.idleSince.Add(activeWindow).Due(now) {
			break
		}
		oldest.active = false
		queue.weights -= oldest.weight
		queue.moveTo(oldest, heapIdle)
	}
	queue.evictIdle()
}

// heapOf returns the heap of a kind, nil for heapNone.
func (queue *Queue[P, O]) heapOf(kind heapKind) *indexedHeap[*team[P]] {
	switch kind {
	case heapReady:
		return &queue.ready
	case heapRecent:
		return &queue.recent
	case heapIdle:
		return &queue.idle
	}
	return nil
}

func (queue *Queue[P, O]) moveTo(team *team[P], target heapKind) {
	if team.heapKind == target {
		return
	}
	if heap := queue.heapOf(team.heapKind); heap != nil {
		heap.remove(team)
	}
	team.heapKind = target
	if heap := queue.heapOf(target); heap != nil {
		heap.push(team)
	}
}

// evictIdle drops the longest idle teams beyond Settings.MaxIdleTeams.
func (queue *Queue[P, O]) evictIdle() {
	for len(queue.idle.members) > queue.Settings.MaxIdleTeams {
		dropped := queue.idle.members[0]
		queue.idle.remove(dropped)
		dropped.heapKind = heapNone
		delete(queue.teams, dropped.id)
		queue.freeTeams = append(queue.freeTeams, dropped)
	}
}
