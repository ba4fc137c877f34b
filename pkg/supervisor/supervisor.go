// Package supervisor decides, on the host that a caller is connected to, what becomes
// of one job that need not be remembered: which lead is asked for room, which runs
// are started, and when the caller gets its one answer. Only this host starts runs of
// its jobs, so that a lead that is lost loses none of them.
//
// It is pure: time and events come in through Tick, calls and messages go out.
package supervisor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings says how long things last.
type Settings struct {
	// LeadSilence is how long a lead may take to answer a request before another lead
	// is asked. The way there and back takes about 1 ms, a busy host some more.
	LeadSilence time.Duration
	// LeadWait is how long a job waits for somebody to lead its failure domain, at least.
	LeadWait time.Duration
	// HomeRetry is when the home of a job is asked again that only its lead may go on with.
	HomeRetry time.Duration
	// RetryAfter is when a job that found no lead is worth another try: a lost lead is
	// replaced in little more than a second.
	RetryAfter time.Duration
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{LeadSilence: 40 * time.Millisecond, LeadWait: 60 * time.Millisecond, HomeRetry: 100 * time.Millisecond, RetryAfter: time.Second}
}

// Supervisor holds the jobs of this host's callers. Set the exported fields before
// the first Tick.
type Supervisor struct {
	FailureDomain identifier.FailureDomain
	// Cells is how many cells each failure domain has.
	Cells    int
	Settings Settings

	now  identifier.Moment
	jobs *tabulator.Table[identifier.JobID, job]
	// unfinished are jobs that nobody waits for any more and of which runs may be at work.
	unfinished *tabulator.Table[identifier.JobID, job]
	leads      *tabulator.Table[messenger.CellRef, lead]
	// heardAt is when each lead was last heard.
	heardAt map[identifier.HostID]identifier.Moment
	// evacuations are the failure domains where nothing is started.
	evacuations messenger.Evacuated
	timers      *tabulator.Timers[timerKey]
	outputs     []Output
}

// timerKind tells what a timer is for.
type timerKind int

const (
	timerDeadline timerKind = iota
	timerSilence
	timerForget
)

type timerKey struct {
	kind timerKind
	job  identifier.JobID
	// part is zero for what concerns the whole job.
	part partNumber
}

// lead is who leads a cell; an empty host is nobody.
type lead struct {
	host  identifier.HostID
	epoch identifier.Epoch
}

// job is one job of a caller.
type job struct {
	spec      Job
	waiters   []WaiterID
	arrivedAt identifier.Moment
	deadline  identifier.Moment
	tasks     []task
	left      int
	// parts share the tasks; there is one for each cell that is asked for room.
	parts    []*part
	lastPart partNumber
	lastRun  identifier.RunNumber
	lastAsk  messenger.AskNumber
	// begun tells that a start may have gone out in a part that is no more.
	begun bool
	// sentBefore tells that an earlier sending of the job may have begun.
	sentBefore bool
}

// task is one task of a job.
type task struct {
	done bool
	// part is that in which room is asked for the task.
	part *part
	// start is the call that starts the run which was granted last and is not known to be
	// over; nil is none.
	start *StartRun
}

// Tick applies the inputs, lets deadlines fall due and returns what to do.
func (supervisor *Supervisor) Tick(now identifier.Moment, inputs []Input) []Output {
	supervisor.prepare(now)
	for _, input := range inputs {
		supervisor.apply(input)
	}
	supervisor.timers.EachDue(now, supervisor.expire)
	outputs := supervisor.outputs
	supervisor.outputs = nil
	return outputs
}

// NextDeadline returns when Tick must run even without inputs.
func (supervisor *Supervisor) NextDeadline() identifier.Moment {
	if supervisor.timers == nil {
		return identifier.Never
	}
	return supervisor.timers.Next()
}

// Jobs returns how many jobs have no answer yet.
func (supervisor *Supervisor) Jobs() int {
	if supervisor.jobs == nil {
		return 0
	}
	return supervisor.jobs.Len()
}

func (supervisor *Supervisor) prepare(now identifier.Moment) {
	supervisor.now = now
	if supervisor.timers != nil {
		return
	}
	supervisor.jobs = tabulator.New[identifier.JobID, job]()
	supervisor.unfinished = tabulator.New[identifier.JobID, job]()
	supervisor.leads = tabulator.New[messenger.CellRef, lead]()
	supervisor.heardAt = make(map[identifier.HostID]identifier.Moment)
	supervisor.timers = tabulator.NewTimers[timerKey]()
}

func (supervisor *Supervisor) apply(input Input) {
	switch input := input.(type) {
	case *JobArrived:
		supervisor.arrive(input)
	case *CallerLeft:
		supervisor.callerLeft(input)
	case *EvacuationsKnown:
		supervisor.evacuations = input.Evacuated
	case *HostEnds:
		supervisor.endAll()
	case *LeadKnown:
		supervisor.changeLead(input)
	case *GrantArrived:
		supervisor.heardAt[input.From] = supervisor.now
		supervisor.takeGrant(input)
	case *AnswerArrived:
		supervisor.heardAt[input.From] = supervisor.now
		supervisor.takeAnswer(input)
	case *DoneArrived:
		supervisor.heardAt[input.From] = supervisor.now
		supervisor.takeDone(input)
	case *StartReturned:
		supervisor.takeStart(input)
	}
}

func (supervisor *Supervisor) expire(key timerKey) {
	if key.kind == timerForget {
		supervisor.unfinished.Remove(key.job)
		return
	}
	job := supervisor.jobs.Get(key.job)
	if job == nil {
		return
	}
	switch key.kind {
	case timerDeadline:
		supervisor.giveUp(job)
	case timerSilence:
		if part := job.part(key.part); part != nil {
			supervisor.leadSilent(job, part)
		}
	}
}

func (supervisor *Supervisor) emit(output Output) {
	supervisor.outputs = append(supervisor.outputs, output)
}

func (supervisor *Supervisor) decided(decision messenger.Decision) {
	supervisor.emit(&Decided{Decision: decision})
}

func (supervisor *Supervisor) leadOf(cell messenger.CellRef) identifier.HostID {
	if known := supervisor.leads.Get(cell); known != nil {
		return known.host
	}
	return ""
}
