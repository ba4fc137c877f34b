package queuer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// activeWindow is how long an idle team still counts for the shares, so that the
// share of a flooding team does not jump whenever another has nothing waiting for
// a moment.
const activeWindow = time.Second

// open returns the state of a team. A team that comes back starts at the virtual
// time: what it did not use while it was away is not saved up.
func (queue *Queue[P, O]) open(id identifier.TeamID) *team[P] {
	found := queue.teams[id]
	if found == nil {
		found = queue.create(id)
	}
	if found.tasks == 0 {
		queue.setTag(found, max(found.tag, queue.virtual))
	}
	return found
}

func (queue *Queue[P, O]) create(id identifier.TeamID) *team[P] {
	if queue.teams == nil {
		queue.teams = make(map[identifier.TeamID]*team[P])
	}
	var created *team[P]
	if last := len(queue.spare) - 1; last >= 0 {
		created = queue.spare[last]
		queue.spare = queue.spare[:last]
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

// relist puts a team into the heap that it belongs to, in its right place.
func (queue *Queue[P, O]) relist(team *team[P]) {
	switch {
	case team.tasks == 0:
		queue.listAsIdle(team)
	case team.paused:
		queue.move(team, listedNowhere)
	case team.listing == listedReady:
		queue.ready.fix(team.heapPlace)
	default:
		queue.move(team, listedReady)
	}
	if queue.tasks == 0 {
		// The end of a busy period: all teams are even again.
		queue.virtual = queue.highest
	}
}

func (queue *Queue[P, O]) listAsIdle(team *team[P]) {
	if team.listing == listedRecent || team.listing == listedIdle {
		return
	}
	queue.move(team, listedNowhere)
	team.idleSince = queue.latest
	queue.move(team, listedRecent)
	queue.expireRecent(queue.latest)
}

// expireRecent takes the teams out of the shares that have been idle for long.
func (queue *Queue[P, O]) expireRecent(now identifier.Moment) {
	for len(queue.recent.members) > 0 {
		oldest := queue.recent.members[0]
		if !oldest.idleSince.Add(activeWindow).Due(now) {
			break
		}
		oldest.active = false
		queue.weights -= oldest.weight
		queue.move(oldest, listedIdle)
	}
	queue.forgetIdle()
}

// heapOf returns the heap of a listing, or nil.
func (queue *Queue[P, O]) heapOf(listing listing) *ordered[*team[P]] {
	switch listing {
	case listedReady:
		return &queue.ready
	case listedRecent:
		return &queue.recent
	case listedIdle:
		return &queue.idle
	}
	return nil
}

func (queue *Queue[P, O]) move(team *team[P], wanted listing) {
	if team.listing == wanted {
		return
	}
	if heap := queue.heapOf(team.listing); heap != nil {
		heap.remove(team)
	}
	team.listing = wanted
	if heap := queue.heapOf(wanted); heap != nil {
		heap.push(team)
	}
}

// forgetIdle drops the teams that have been idle longest once there are too many.
func (queue *Queue[P, O]) forgetIdle() {
	for len(queue.idle.members) > queue.Settings.IdleTeams {
		dropped := queue.idle.members[0]
		queue.idle.remove(dropped)
		dropped.listing = listedNowhere
		delete(queue.teams, dropped.id)
		queue.spare = append(queue.spare, dropped)
	}
}
