package placer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=Urgency -transform=kebab -trimprefix=Urgency -text

// Urgency is the priority of a batch; higher ones go first.
type Urgency int

// The urgencies, lowest first.
const (
	// UrgencyBackground gets the capacity that higher urgencies leave.
	UrgencyBackground Urgency = iota
	// UrgencyNormal is the default.
	UrgencyNormal
	// UrgencyUrgent may use the headroom and preempt lower urgencies.
	UrgencyUrgent
)

// urgencies is the number of urgencies.
const urgencies = int(UrgencyUrgent) + 1

// GroupID identifies one batch of an intent by its index.
type GroupID struct {
	Intent identifier.IntentName
	Batch  int
}

// Group is a batch of equal tasks.
type Group struct {
	ID      GroupID
	Team    identifier.TeamID
	Urgency Urgency
	// Need and RunTime apply to one task, after learned corrections.
	Need    identifier.Resources
	RunTime time.Duration
	// Repeatable reports whether a task may be stopped and run again.
	Repeatable bool
	// Checkpointable reports whether a preempted task resumes from saved progress.
	Checkpointable bool
}

// Quota limits the resources and tasks that a team has running at once. Zero means no limit.
type Quota struct {
	Limit         identifier.Resources `cbor:"1,keyasint,omitempty" json:"limit,omitzero"`
	TasksInFlight int                  `cbor:"2,keyasint,omitempty" json:"tasks-in-flight,omitempty"`
	// Weight divides the team's dominant share, so that competing teams get resources in
	// proportion to their weights; zero counts as one.
	Weight int64 `cbor:"3,keyasint,omitempty" json:"weight,omitempty"`
}

// Allows reports whether a team whose inFlight running tasks use used may start another
// task of size need.
func (quota Quota) Allows(used identifier.Resources, inFlight int, need identifier.Resources) bool {
	sum := used.Add(need)
	return withinLimit(int64(sum.MilliCPU), int64(quota.Limit.MilliCPU)) &&
		withinLimit(int64(sum.Memory), int64(quota.Limit.Memory)) &&
		withinLimit(int64(sum.Accelerators), int64(quota.Limit.Accelerators)) &&
		withinLimit(int64(inFlight+1), int64(quota.TasksInFlight))
}

func withinLimit(amount, limit int64) bool { return limit == 0 || amount <= limit }

// group is the placer's record of a Group.
type group struct {
	Group
	team    *team
	waiting []identifier.TaskID
	// waitingSince is when a task was last placed or when the queue last became non-empty,
	// whichever is later.
	waitingSince identifier.Moment
	running      int
	tasksByRack  []int
	reservations []*reservation
	blocked      Blocked
}

// team is the quota and usage of a team.
type team struct {
	number   int
	quota    Quota
	used     identifier.Resources
	inFlight int
	// entry is set only while newShareQueue groups the batches by team.
	entry *shareEntry
}

// running is a task that runs on a worker.
type running struct {
	task        identifier.TaskID
	group       *group
	position    int
	charge      identifier.Resources
	startedAt   identifier.Moment
	expectedEnd identifier.Moment
	preempting  bool
}

// effectiveUrgency returns the group's urgency at now, raised by one for each aging interval
// without a start, so that urgent work can't starve it.
func (group *group) effectiveUrgency(now identifier.Moment, aging time.Duration) Urgency {
	if aging <= 0 {
		return group.Urgency
	}
	raised := group.Urgency + Urgency(now.Sub(group.waitingSince)/aging)
	return min(raised, UrgencyUrgent)
}

func (group *group) adjustRunning(rack, change int) {
	for len(group.tasksByRack) <= rack {
		group.tasksByRack = append(group.tasksByRack, 0)
	}
	group.tasksByRack[rack] += change
	group.running += change
}
