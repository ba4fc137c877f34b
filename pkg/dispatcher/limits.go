package dispatcher

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/estimator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/limiter"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/queuer"
)

// LimitSettings configures the teams' shares of the queue and what is refused at admission.
type LimitSettings struct {
	Limiter   limiter.Settings
	Estimator estimator.Settings
	Queue     queuer.Settings
	// Order ranks the jobs of one team.
	Order queuer.Order
	// QueueWaitRatio bounds the expected wait of a job for its first slot, as a share of the time
	// that the job takes by itself. A job that would wait longer is refused at admission.
	QueueWaitRatio float64
	// QueuePatience is the share of the time until waiting jobs are due by which a new job may delay
	// them. It lets due times rank jobs further apart than the jobs may wait.
	QueuePatience float64
	// QueueWaitFloor is a wait that is always accepted.
	QueueWaitFloor time.Duration
	// RefusalsPerTask is how often the starts of one task may be refused before its job fails.
	RefusalsPerTask int
	// NoServerWait is how long jobs wait without any usable backend server before they are refused.
	NoServerWait time.Duration
	// Initial applies until the first LimitsConfigured arrives.
	Initial LimitsConfigured
}

// DefaultLimitSettings returns the settings that the daemon starts from.
func DefaultLimitSettings() LimitSettings {
	return LimitSettings{
		Limiter:         limiter.DefaultSettings(),
		Estimator:       estimator.DefaultSettings(),
		Queue:           queuer.DefaultSettings(),
		Order:           queuer.NarrowFirst{Slack: 100 * time.Millisecond, Stretch: 4},
		QueueWaitRatio:  0.25,
		QueuePatience:   0.35,
		QueueWaitFloor:  20 * time.Millisecond,
		RefusalsPerTask: 8,
		NoServerWait:    2 * time.Second,
	}
}

// ClassLimits is the weight and priority of one urgency class.
type ClassLimits struct {
	Class identifier.ClassName
	// Weight divides what a team is charged for the slot time of the class.
	Weight int
	// Urgent jobs are started before the team's other jobs.
	Urgent bool
}

// LimitsConfigured replaces the limits of all teams and classes.
type LimitsConfigured struct {
	Teams   []limiter.TeamLimits
	Classes []ClassLimits
}

func (*LimitsConfigured) isDispatcherInput() {}

// configureLimits applies new limits. Each cell enforces its share of them.
func (dispatcher *Dispatcher) configureLimits(input *LimitsConfigured) {
	dispatcher.teamLimits = input.Teams
	dispatcher.classes = make(map[identifier.ClassName]ClassLimits, len(input.Classes))
	for _, class := range input.Classes {
		dispatcher.classes[class.Class] = class
	}
	dispatcher.cells.Each(func(_ messenger.CellNumber, cell *cell) bool {
		dispatcher.configureCellLimits(cell)
		return true
	})
}

// configureCellLimits sets a cell's share of the teams' limits. Submissions are spread over the
// cells by hash, so all cells have equal shares.
func (dispatcher *Dispatcher) configureCellLimits(cell *cell) {
	cells := max(dispatcher.Settings.Cells, 1)
	parts := make([]limiter.TeamLimits, len(dispatcher.teamLimits))
	for index, limits := range dispatcher.teamLimits {
		limits.TasksPerSecond /= float64(cells)
		limits.TasksInFlight = (limits.TasksInFlight + cells - 1) / cells
		parts[index] = limits
	}
	cell.limiter.Configure(dispatcher.now, parts)
	for _, limits := range parts {
		cell.queue.SetPaused(limits.Team, !cell.limiter.MayStart(dispatcher.now, limits.Team))
	}
}

// prepareLimits creates the queue and the limiter of a new cell.
func (dispatcher *Dispatcher) prepareLimits(cell *cell) {
	settings := dispatcher.Settings.Limits
	cell.queue = &queuer.Queue[*job, queuer.Order]{Settings: settings.Queue, Order: settings.Order}
	cell.limiter = &limiter.Limiter{Settings: settings.Limiter}
	cell.capacityStale = true
	cell.noServerSince = identifier.Never
	dispatcher.configureCellLimits(cell)
}
