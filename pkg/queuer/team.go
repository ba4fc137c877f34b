package queuer

import (
	"math"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Entry is the place of one job in a queue. The job owns it, so the queue
// allocates nothing for a job. Set the exported fields before Push.
type Entry[P any] struct {
	Payload P
	Team    identifier.TeamID
	// Due is the moment by which the jobs of a team are ordered; see Order.
	Due identifier.Moment
	// Urgent jobs of a team go before the others, until those have been due for
	// the queue's UrgentHeadStart.
	Urgent bool
	// Cost is the expected slot time of one task.
	Cost time.Duration
	// ClassWeight divides what the team is charged for the job's tasks; below 1
	// counts as 1.
	ClassWeight int

	key      identifier.Moment
	waiting  int
	sequence uint64
	team     *team[P]
	bucket   bucketNumber
	position int
}

// Waiting returns how many tasks of the job wait for a slot.
func (entry *Entry[P]) Waiting() int { return entry.waiting }

func (entry *Entry[P]) before(other *Entry[P]) bool {
	if entry.key != other.key {
		return entry.key < other.key
	}
	return entry.sequence < other.sequence
}

func (entry *Entry[P]) place() int         { return entry.position }
func (entry *Entry[P]) setPlace(place int) { entry.position = place }

// team is what waits of one team, and what it has been served.
type team[P any] struct {
	id       identifier.TeamID
	sequence uint64
	weight   int
	// tag is the slot time that the team has been served, divided by its weight,
	// in the queue's virtual time.
	tag float64
	// rank is the tag in steps of the tolerance.
	rank   float64
	paused bool
	// active tells that the team counts for the shares: it has waiting tasks, or
	// was served its last less than activeWindow ago.
	active    bool
	idleSince identifier.Moment
	jobs      ordered[*Entry[P]]
	tasks     int
	backlogs  backlogs
	// admitted measures the work that came in.
	admitted  meter
	heapPlace int
	listing   listing
}

// listing tells which heap holds a team.
type listing int

const (
	listedNowhere listing = iota
	listedReady
	listedRecent
	listedIdle
)

func (team *team[P]) headKey() identifier.Moment {
	if len(team.jobs.members) == 0 {
		return identifier.Never
	}
	return team.jobs.members[0].key
}

// before orders teams with waiting tasks by what they were served, and the others
// by how long they have been idle.
func (team *team[P]) before(other *team[P]) bool {
	if team.listing != listedReady {
		if team.idleSince != other.idleSince {
			return team.idleSince < other.idleSince
		}
		return team.sequence < other.sequence
	}
	if team.rank != other.rank {
		return team.rank < other.rank
	}
	if key, otherKey := team.headKey(), other.headKey(); key != otherKey {
		return key < otherKey
	}
	return team.sequence < other.sequence
}

func (team *team[P]) place() int         { return team.heapPlace }
func (team *team[P]) setPlace(place int) { team.heapPlace = place }

// meter measures slot time that comes in for each unit of time, the old decayed.
type meter struct {
	rate float64
	at   identifier.Moment
}

// meterWindow is the time over which a meter decays.
const meterWindow = time.Second

func (meter *meter) add(now identifier.Moment, work time.Duration) {
	meter.rate = meter.read(now) + float64(work)/float64(meterWindow)
	meter.at = now
}

// read returns how many slots the work of late would keep busy.
func (meter *meter) read(now identifier.Moment) float64 {
	if now <= meter.at {
		return meter.rate
	}
	return meter.rate * math.Exp(-float64(now.Sub(meter.at))/float64(meterWindow))
}
