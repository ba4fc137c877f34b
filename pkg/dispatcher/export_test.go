package dispatcher

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Queued returns the number of tasks and the amount of work that wait in cell 0.
func (dispatcher *Dispatcher) Queued() (int, time.Duration) {
	queue := dispatcher.cells.Get(0).queue
	return queue.Tasks(), queue.Work()
}

// InFlight returns how many tasks of a team count as running in cell 0.
func (dispatcher *Dispatcher) InFlight(team identifier.TeamID) int {
	return dispatcher.cells.Get(0).limiter.InFlight(dispatcher.now, team)
}
