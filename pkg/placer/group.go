package placer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=Urgency -transform=kebab -trimprefix=Urgency -text

// Urgency orders batches; a higher one goes first.
type Urgency int

// The urgencies.
const (
	// UrgencyBackground waits for what the others leave.
	UrgencyBackground Urgency = iota
	// UrgencyNormal is that of a batch that says nothing.
	UrgencyNormal
	// UrgencyUrgent may use the headroom and preempt the others.
	UrgencyUrgent
)

// urgencies is the number of urgencies.
const urgencies = int(UrgencyUrgent) + 1

// GroupID names one batch of an intent.
type GroupID struct {
	Intent identifier.IntentName
	Batch  int
}

// Group is a batch of equal tasks.
type Group struct {
	ID      GroupID
	Team    identifier.TeamID
	Urgency Urgency
	// Need and RunTime are those of one task, after learned corrections.
	Need    identifier.Resources
	RunTime time.Duration
	// Repeatable tells whether a task may be stopped and run again.
	Repeatable bool
	// Checkpointable tells whether a stopped task goes on where it was.
	Checkpointable bool
}

// Quota limits what a team may have running at once. Zero means no limit.
type Quota struct {
	Limit         identifier.Resources `cbor:"1,keyasint,omitempty" json:"limit,omitzero"`
	TasksInFlight int                  `cbor:"2,keyasint,omitempty" json:"tasks-in-flight,omitempty"`
	// Weight is the team's part against other teams; zero counts as one.
	Weight int64 `cbor:"3,keyasint,omitempty" json:"weight,omitempty"`
}

// Allows tells whether a team that uses used in inFlight tasks may add need.
func (quota Quota) Allows(used identifier.Resources, inFlight int, need identifier.Resources) bool {
	sum := used.Add(need)
	return within(int64(sum.MilliCPU), int64(quota.Limit.MilliCPU)) &&
		within(int64(sum.Memory), int64(quota.Limit.Memory)) &&
		within(int64(sum.Accelerators), int64(quota.Limit.Accelerators)) &&
		within(int64(inFlight+1), int64(quota.TasksInFlight))
}

func within(amount, limit int64) bool { return limit == 0 || amount <= limit }

// group is the state of a Group.
type group struct {
	Group
	team    *team
	waiting []identifier.TaskID
	// since is the moment at which a task was last placed, or the first one came.
	since   identifier.Moment
	running int
	inRack  []int
	held    []*reservation
	blocked Blocked
}

// team is the state of a team.
type team struct {
	number   int
	quota    Quota
	used     identifier.Resources
	inFlight int
	// entry is the team's place in the round that is under way.
	entry *shareEntry
}

// running is a task on a worker.
type running struct {
	task        identifier.TaskID
	group       *group
	position    int
	charge      identifier.Resources
	startedAt   identifier.Moment
	expectedEnd identifier.Moment
	leaving     bool
}

// effective returns the urgency of a group at now: one more for each interval
// that it has waited without a start, so that urgent work can't starve it.
func (group *group) effective(now identifier.Moment, aging time.Duration) Urgency {
	if aging <= 0 {
		return group.Urgency
	}
	raised := group.Urgency + Urgency(now.Sub(group.since)/aging)
	return min(raised, UrgencyUrgent)
}

func (group *group) countInRack(rack, change int) {
	for len(group.inRack) <= rack {
		group.inRack = append(group.inRack, 0)
	}
	group.inRack[rack] += change
	group.running += change
}
