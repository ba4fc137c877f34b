package queuer

import (
	"math"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Entry holds one job in a queue. It is owned by the job, so that the queue allocates
// nothing for a job. Set the exported fields before Push.
type Entry[P any] struct {
	Payload P
	Team    identifier.TeamID
	// Due is the time by which the jobs of a team are ordered; see Order.
	Due identifier.Moment
	// Urgent jobs of a team go ahead of the others, unless the others were due earlier by
	// Settings.UrgentHeadStart or more.
	Urgent bool
	// Cost is the expected slot time of one task.
	Cost time.Duration
	// ClassWeight divides the cost that the team is charged for the job's tasks. Values
	// below 1 count as 1.
	ClassWeight int

	key       identifier.Moment
	waiting   int
	sequence  uint64
	team      *team[P]
	bucket    bucketNumber
	heapIndex int
}

// Waiting returns the number of the job's tasks that wait for a slot.
func (entry *Entry[P]) Waiting() int { return entry.waiting }

func (entry *Entry[P]) before(other *Entry[P]) bool {
	if entry.key != other.key {
		return entry.key < other.key
	}
	return entry.sequence < other.sequence
}

func (entry *Entry[P]) index() int         { return entry.heapIndex }
func (entry *Entry[P]) setIndex(index int) { entry.heapIndex = index }

// team holds the waiting jobs of one team and the service that it has received.
type team[P any] struct {
	id       identifier.TeamID
	sequence uint64
	weight   int
	// tag is the start tag of fair queueing: the slot time that the team has received,
	// divided by its weight, on the scale of the queue's virtual time.
	tag float64
	// rank is the tag in units of Settings.Tolerance, rounded down.
	rank   float64
	paused bool
	// active is set while the team counts in the fair shares: it has waiting tasks, or had
	// some less than activeWindow ago.
	active    bool
	idleSince identifier.Moment
	jobs      indexedHeap[*Entry[P]]
	tasks     int
	backlogs  backlogs
	// admitted is the rate of the team's pushed work.
	admitted  decayingRate
	heapIndex int
	heapKind  heapKind
}

// heapKind identifies the heap of a queue that holds a team.
type heapKind int

const (
	heapNone heapKind = iota
	heapReady
	heapRecent
	heapIdle
)

func (team *team[P]) headKey() identifier.Moment {
	if len(team.jobs.members) == 0 {
		return identifier.Never
	}
	return team.jobs.members[0].key
}

// before orders ready teams by the service that they have received, then by the due time
// of their first job. Other teams are ordered by how long they have been idle.
func (team *team[P]) before(other *team[P]) bool {
	if team.heapKind != heapReady {
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

func (team *team[P]) index() int         { return team.heapIndex }
func (team *team[P]) setIndex(index int) { team.heapIndex = index }

// decayingRate is an exponentially decaying rate of incoming slot time per unit of time.
type decayingRate struct {
	rate      float64
	updatedAt identifier.Moment
}

// decayWindow is the time constant with which a decayingRate decays.
const decayWindow = time.Second

func (decayingRate *decayingRate) add(now identifier.Moment, work time.Duration) {
	decayingRate.rate = decayingRate.value(now) + float64(work)/float64(decayWindow)
	decayingRate.updatedAt = now
}

// value returns the rate at now: how many slots the recent work would keep busy.
func (decayingRate *decayingRate) value(now identifier.Moment) float64 {
	if now <= decayingRate.updatedAt {
		return decayingRate.rate
	}
	return decayingRate.rate * math.Exp(-float64(now.Sub(decayingRate.updatedAt))/float64(decayWindow))
}
