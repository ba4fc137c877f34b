package dispatcher

import (
	"cmp"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TeamStatus counts the jobs and tasks of one team in the cells that this host leads.
type TeamStatus struct {
	Team identifier.TeamID `json:"team"`
	WorkStatus
}

// Teams lists the counts of each team that has a job without an answer, sorted by team name.
func (dispatcher *Dispatcher) Teams() []TeamStatus {
	statuses := []TeamStatus{}
	positions := make(map[identifier.TeamID]int)
	for _, job := range valuesOf(dispatcher.jobs) {
		if job.state == jobFinished {
			continue
		}
		position, known := positions[job.spec.Team]
		if !known {
			position = len(statuses)
			positions[job.spec.Team] = position
			statuses = append(statuses, TeamStatus{Team: job.spec.Team})
		}
		statuses[position].Jobs++
		for index := range job.tasks {
			statuses[position].count(job.tasks[index].state)
		}
	}
	slices.SortFunc(statuses, func(first, second TeamStatus) int { return cmp.Compare(first.Team, second.Team) })
	return statuses
}
