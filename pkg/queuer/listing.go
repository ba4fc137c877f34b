package queuer

import "github.com/stoathitch/stoathitch/pkg/identifier"

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
	wanted := listedIdle
	if team.tasks > 0 {
		wanted = listedReady
		if team.paused {
			wanted = listedNowhere
		}
	}
	if team.listing == wanted {
		queue.fixPlace(team)
	} else {
		queue.move(team, wanted)
	}
	if queue.tasks == 0 {
		// The end of a busy period: all teams are even again.
		queue.virtual = queue.highest
	}
	if wanted == listedIdle {
		queue.forgetIdle()
	}
}

func (queue *Queue[P, O]) fixPlace(team *team[P]) {
	switch team.listing {
	case listedReady:
		queue.ready.fix(team.heapPlace)
	case listedIdle:
		queue.idle.fix(team.heapPlace)
	}
}

func (queue *Queue[P, O]) move(team *team[P], wanted listing) {
	switch team.listing {
	case listedReady:
		queue.ready.remove(team)
	case listedIdle:
		queue.idle.remove(team)
	}
	team.listing = wanted
	switch wanted {
	case listedReady:
		queue.ready.push(team)
	case listedIdle:
		queue.idle.push(team)
	}
}

// forgetIdle drops the idle teams that were served least once there are too many.
func (queue *Queue[P, O]) forgetIdle() {
	for len(queue.idle.members) > queue.Settings.IdleTeams {
		dropped := queue.idle.members[0]
		queue.idle.remove(dropped)
		dropped.listing = listedNowhere
		delete(queue.teams, dropped.id)
		queue.spare = append(queue.spare, dropped)
	}
}
