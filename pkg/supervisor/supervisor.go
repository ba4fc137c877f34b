// Package supervisor runs, on the host that a caller is connected to, jobs that need not be
// persisted. For each job it decides which leads get a request for capacity, which runs are
// started, and when the caller gets its one answer. Only this host starts the runs of its jobs, so
// the loss of a lead loses no job.
//
// The package has no side effects: Tick takes the time and events, and returns calls and messages.
package supervisor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings holds the timeouts and wait times of a supervisor.
type Settings struct {
	// LeadTimeout is how long a lead may be silent after a request before another lead gets the
	// request. A round trip takes about 1 ms, and somewhat more to a busy host.
	LeadTimeout time.Duration
	// MinLeadWait is the least time that a job waits for a lead when no cell has one.
	MinLeadWait time.Duration
	// HomeRetryInterval is the time between requests to a job's home while only the home's lead
	// may place the job.
	HomeRetryInterval time.Duration
	// MaxSilence is how long after an unanswered request, without a sign of any lead, this host counts
	// as cut off. The membership replaces a lost lead sooner.
	MaxSilence time.Duration
	// MaxInquiredHosts is the number of other hosts of the failure domain up to which a lead that the
	// home has not referred a job to may be asked.
	MaxInquiredHosts int
	// RetryAfter is the time after which a caller should resubmit a job that found no lead. A lost
	// lead is replaced in little more than a second.
	RetryAfter time.Duration
}

// DefaultSettings returns the daemon's default settings.
func DefaultSettings() Settings {
	return Settings{
		LeadTimeout:       40 * time.Millisecond,
		MinLeadWait:       60 * time.Millisecond,
		HomeRetryInterval: 100 * time.Millisecond,
		MaxSilence:        1500 * time.Millisecond,
		MaxInquiredHosts:  20,
		RetryAfter:        time.Second,
	}
}

// Supervisor holds the jobs of this host's callers. Set the exported fields before the first Tick.
type Supervisor struct {
	FailureDomain identifier.FailureDomain
	// Cells is the number of cells in the own failure domain. It may change until the first job
	// arrives.
	Cells    int
	Settings Settings

	now  identifier.Moment
	jobs *tabulator.Table[identifier.JobID, job]
	// retained holds the jobs that have no waiters any more and whose runs may still be active.
	retained *tabulator.Table[identifier.JobID, job]
	leads    *tabulator.Table[messenger.CellRef, lead]
	// lastResponseAt is when the last message of each lead arrived.
	lastResponseAt map[identifier.HostID]identifier.Moment
	// silentSince is the time of the first request after the last message of any lead, or
	// identifier.Never.
	silentSince identifier.Moment
	// peers is the number of other hosts of the failure domain that serve callers.
	peers int
	// evacuations holds the failure domains in which no run is started.
	evacuations messenger.EvacuatedDomains
	// backlogEndsAt is when grants that were sent while this host was suspended have arrived.
	backlogEndsAt identifier.Moment
	timers        *tabulator.Timers[timerKey]
	outputs       []Output
}

// timerKind is the purpose of a timer.
type timerKind int

const (
	timerDeadline timerKind = iota
	timerLeadTimeout
	timerRetention
	timerRelease
)

type timerKey struct {
	kind timerKind
	job  identifier.JobID
	// group is zero for timers of the whole job.
	group groupNumber
}

// lead is the lead of a cell; host is empty if the cell has none.
type lead struct {
	host  identifier.HostID
	epoch identifier.Epoch
}

// job is one job and its progress.
type job struct {
	spec      Job
	waiters   []WaiterID
	arrivedAt identifier.Moment
	deadline  identifier.Moment
	tasks     []task
	tasksLeft int
	// groups partition the tasks, one group for each cell from which capacity is requested.
	groups      []*group
	lastGroup   groupNumber
	lastRun     identifier.RunNumber
	lastRequest messenger.RequestNumber
	// startedInDropped is set if a start call may have been sent for a group that was dropped.
	startedInDropped bool
	// releaseRepeats counts the repeated releases of a retained job.
	releaseRepeats int
	// earlierMayHaveStarted is set if runs of an earlier submission of the job may have started.
	earlierMayHaveStarted bool
	// retryAfter is positive if leads are to turn the job away because this host is overloaded.
	retryAfter time.Duration
}

// task is the state of one task of a job.
type task struct {
	done bool
	// group is the group whose request includes the task.
	group *group
	// start is the call that starts the last granted run; nil if there is none or if that run is
	// known to have ended.
	start *StartRun
	// calledAt is when the last call for start was made.
	calledAt identifier.Moment
	// unanswered is set once a call for start got no answer.
	unanswered bool
	// ended is set once another run was granted and withheld: the run of start has ended.
	ended bool
}

// Tick applies the inputs, handles the timers that are due at now and returns the outputs for its
// owner to carry out.
func (supervisor *Supervisor) Tick(now identifier.Moment, inputs []Input) []Output {
	supervisor.prepare(now)
	for _, input := range inputs {
		supervisor.apply(input)
	}
	supervisor.timers.EachDue(now, supervisor.handleTimer)
	outputs := supervisor.outputs
	supervisor.outputs = nil
	return outputs
}

// NextDeadline returns the time at which Tick must run even without inputs, or identifier.Never.
func (supervisor *Supervisor) NextDeadline() identifier.Moment {
	if supervisor.timers == nil {
		return identifier.Never
	}
	return supervisor.timers.Next()
}

// Jobs returns the number of jobs that have no answer yet.
func (supervisor *Supervisor) Jobs() int {
	if supervisor.jobs == nil {
		return 0
	}
	return supervisor.jobs.Len()
}

// Has reports whether a job has no answer yet or may still have active runs here.
func (supervisor *Supervisor) Has(job identifier.JobID) bool {
	return supervisor.timers != nil && (supervisor.jobs.Get(job) != nil || supervisor.retained.Get(job) != nil)
}

func (supervisor *Supervisor) prepare(now identifier.Moment) {
	supervisor.now = now
	if supervisor.timers != nil {
		return
	}
	supervisor.jobs = tabulator.New[identifier.JobID, job]()
	supervisor.retained = tabulator.New[identifier.JobID, job]()
	supervisor.leads = tabulator.New[messenger.CellRef, lead]()
	supervisor.silentSince = identifier.Never
	supervisor.lastResponseAt = make(map[identifier.HostID]identifier.Moment)
	supervisor.timers = tabulator.NewTimers[timerKey]()
}

func (supervisor *Supervisor) apply(input Input) {
	switch input := input.(type) {
	case *JobArrived:
		supervisor.handleJobArrived(input)
	case *CallerLeft:
		supervisor.handleCallerLeft(input)
	case *EvacuationsChanged:
		supervisor.evacuations = input.Evacuated
	case *HostResumed:
		supervisor.backlogEndsAt = supervisor.now.Add(backlogTime)
	case *ShutdownStarted:
		supervisor.endAll()
	case *PeersChanged:
		supervisor.peers = input.Count
	case *LeadChanged:
		supervisor.handleLeadChanged(input)
	case *GrantArrived:
		supervisor.recordResponse(input.From)
		supervisor.handleGrant(input)
	case *AnswerArrived:
		supervisor.recordResponse(input.From)
		supervisor.handleAnswer(input)
	case *TaskDoneArrived:
		supervisor.recordResponse(input.From)
		supervisor.handleDone(input)
	case *StartReturned:
		supervisor.handleStartReturned(input)
	}
}

func (supervisor *Supervisor) handleTimer(key timerKey) {
	switch key.kind {
	case timerRetention:
		supervisor.retained.Remove(key.job)
		return
	case timerRelease:
		supervisor.repeatRelease(key.job)
		return
	}
	job := supervisor.jobs.Get(key.job)
	if job == nil {
		return
	}
	switch key.kind {
	case timerDeadline:
		supervisor.giveUp(job)
	case timerLeadTimeout:
		if group := job.groupByNumber(key.group); group != nil {
			supervisor.handleLeadTimeout(job, group)
		}
	}
}

func (supervisor *Supervisor) emit(output Output) {
	supervisor.outputs = append(supervisor.outputs, output)
}

func (supervisor *Supervisor) logDecision(decision messenger.Decision) {
	supervisor.emit(&Decided{Decision: decision})
}

func (supervisor *Supervisor) leadOf(cell messenger.CellRef) identifier.HostID {
	if known := supervisor.leads.Get(cell); known != nil {
		return known.host
	}
	return ""
}
