// Package dispatcher decides, on the host that leads a cell, which backend
// server starts which task, and keeps the record that makes every submission run
// at most once and be answered exactly once.
//
// It is pure: time, messages and seed come in through Tick, messages to send go
// out of it. The daemon, the trace replay and the fuzz tests run the same code.
//
// Four rules carry the promises:
//   - A task is handed to a backend server once. It is started again only after
//     a refusal or a report which proves that the first start never happened.
//   - A new lead starts nothing before every backend server of the cell has
//     reported under the new epoch, which fences the starts of earlier leads, and
//     every host of the failure domain has told which submissions it knows.
//   - Answers of tasks are acknowledged to the backend server only after a second
//     host holds the answer of the whole job. Until then they can be had again.
//   - A refusal says "not run" only when the record shows that no task started.
package dispatcher

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/estimator"
	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/limiter"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/selector"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings bounds what the dispatcher holds and how long it waits.
type Settings struct {
	// Cells is how many cells the failure domain's slots are divided into.
	Cells int
	// QueuedTasks bounds the tasks that wait for a slot, over all jobs of a cell.
	QueuedTasks int
	// UnknownTaskWait is how long a task of a lost backend server may stay
	// unknown before its job fails; the job's deadline may come earlier.
	UnknownTaskWait time.Duration
	// AnswerRetention is how long a finished submission is remembered.
	AnswerRetention time.Duration
	// TakeoverTimeout is how long a new lead waits for reports before it goes on
	// without the silent ones.
	TakeoverTimeout time.Duration
	// HeartbeatTimeout is how long a backend server may stay silent before it
	// gets no new work and its tasks count as unknown.
	HeartbeatTimeout time.Duration
	// AnswerResend is how long a lead waits until another host holds an answer
	// before it sends the answer again.
	AnswerResend time.Duration
	// LoneAnswerWait is how long backend servers keep the answers of a job's tasks
	// for want of a second host.
	LoneAnswerWait time.Duration
	// ServerDiscovery is how long after its start a host may not yet have a
	// stream of every backend server.
	ServerDiscovery time.Duration
	// Selection adjusts which server gets the next task.
	Selection selector.Settings
	// SharedServers lets the leads of all cells start tasks on all backend servers
	// of the failure domain. Each lead then sees only its own starts and, with the
	// heartbeats, how many slots are busy. It is meant for baselines.
	SharedServers bool
	// Spill adjusts when jobs are handed to other failure domains.
	Spill SpillSettings
	// Health adjusts how servers are judged.
	Health assessor.Settings
	// ExplainedSteps is how many decisions are kept for operators' questions.
	ExplainedSteps int
	// Limits says who may queue how much, and what is refused early.
	Limits LimitSettings
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		Cells:            1,
		QueuedTasks:      20_000,
		UnknownTaskWait:  5 * time.Second,
		AnswerRetention:  10 * time.Minute,
		TakeoverTimeout:  500 * time.Millisecond,
		HeartbeatTimeout: 3 * time.Second,
		AnswerResend:     time.Second,
		LoneAnswerWait:   30 * time.Second,
		ServerDiscovery:  3 * time.Second,
		ExplainedSteps:   20_000,
		Selection:        selector.DefaultSettings(),
		Health:           assessor.DefaultSettings(),
		Spill:            DefaultSpillSettings(),
		Limits:           DefaultLimitSettings(),
	}
}

// Dispatcher holds the cells that this host leads. Set the exported fields
// before the first Tick.
type Dispatcher struct {
	Self          identifier.HostID
	FailureDomain identifier.FailureDomain
	Settings      Settings

	now identifier.Moment
	// startedAt is when this host's process began to decide.
	startedAt identifier.Moment
	cells     *tabulator.Table[messenger.CellNumber, cell]
	servers   *tabulator.Table[serverKey, server]
	jobs      *tabulator.Table[identifier.SubmissionID, job]
	timers    *tabulator.Timers[timerKey]
	outputs   outbox
	// lostHosts are the hosts of the failure domain that are out of sight.
	lostHosts map[identifier.HostID]bool
	// emptiedUntil is until when a host of the failure domain that has lost its memory
	// counts as lost in a takeover; this one is among them after its start.
	emptiedUntil map[identifier.HostID]identifier.Moment
	// remotes are the leads of other failure domains.
	remotes *tabulator.Table[remoteKey, remote]
	// evacuations are the failure domains where nothing is started.
	evacuations messenger.Evacuated
	// assessor judges servers by outcomes, the events of this tick.
	assessor *assessor.Assessor
	outcomes []assessor.Input

	// explainer keeps what was decided, for operators.
	explainer  explainer.Explainer
	estimator  *estimator.Estimator
	teamLimits []limiter.TeamLimits
	classes    map[identifier.ClassName]ClassLimits
}

// Tick applies the inputs in order, lets deadlines fall due, assigns queued tasks
// to free slots and returns the messages to send.
func (dispatcher *Dispatcher) Tick(now identifier.Moment, inputs []Input) []Output {
	dispatcher.prepare(now)
	for _, input := range inputs {
		dispatcher.apply(input)
	}
	dispatcher.expire()
	dispatcher.assess()
	dispatcher.assign()
	dispatcher.tellLoad()
	return dispatcher.outputs.drain()
}

// NextDeadline returns when Tick must run even without inputs.
func (dispatcher *Dispatcher) NextDeadline() identifier.Moment {
	if dispatcher.timers == nil {
		return identifier.Never
	}
	return identifier.Earlier(dispatcher.timers.Next(), dispatcher.assessor.NextDeadline())
}

func (dispatcher *Dispatcher) prepare(now identifier.Moment) {
	dispatcher.now = now
	if dispatcher.cells != nil {
		return
	}
	dispatcher.startedAt = now
	dispatcher.explainer.Bound = dispatcher.Settings.ExplainedSteps
	dispatcher.lostHosts = make(map[identifier.HostID]bool)
	dispatcher.emptiedUntil = map[identifier.HostID]identifier.Moment{dispatcher.Self: now.Add(recopyTime)}
	dispatcher.assessor = &assessor.Assessor{Settings: dispatcher.Settings.Health}
	dispatcher.cells = tabulator.New[messenger.CellNumber, cell]()
	dispatcher.servers = tabulator.New[serverKey, server]()
	dispatcher.jobs = tabulator.New[identifier.SubmissionID, job]()
	dispatcher.remotes = tabulator.New[remoteKey, remote]()
	dispatcher.timers = tabulator.NewTimers[timerKey]()
	dispatcher.estimator = &estimator.Estimator{Settings: dispatcher.Settings.Limits.Estimator}
	dispatcher.configureLimits(&dispatcher.Settings.Limits.Initial)
}

func (dispatcher *Dispatcher) apply(input Input) {
	dispatcher.noteCapacity(input)
	switch input := input.(type) {
	case *LeadTaken:
		dispatcher.takeLead(input)
	case *LeadLost:
		dispatcher.loseLead(input)
	case *RemoteLeadKnown:
		dispatcher.recordRemoteLead(input)
	case *RemoteReconnected:
		dispatcher.askReconnected(input)
	case *LoadNoticed:
		dispatcher.recordLoad(input)
	case *SpillRecorded:
		dispatcher.sendSpilled(input)
	case *SpillArrived:
		dispatcher.admitGuest(input)
	case *GuestsQueried:
		dispatcher.takeGuestQuery(input)
	case *GuestsListed:
		dispatcher.recordGuests(input)
	case *SpillAnswered:
		dispatcher.recordSpillAnswer(input)
	case *HolderAnswered:
		dispatcher.takeHolderAnswer(input)
	case *RecordsReplicated:
		dispatcher.learnReplicas(input)
	case *HostReturned:
		dispatcher.askReturnedHost(input)
	case *HostGone:
		dispatcher.stopAwaitingHost(input)
	case *TakeoverReplied:
		dispatcher.recordTakeoverReply(input)
	case *JobForwarded:
		dispatcher.admit(input)
	case *CancelArrived:
		dispatcher.cancel(input)
	case *LookupArrived:
		dispatcher.lookUp(input)
	case *AnswerHeld:
		dispatcher.releaseAnswers(input)
	case *IsolationEnded:
		dispatcher.noteIsolation()
	case *ClaimsGrantedLate:
		dispatcher.releaseLate(input)
	case *ClaimDecided:
		dispatcher.decideClaim(input)
	case *LimitsConfigured:
		dispatcher.configureLimits(input)
	case *EvacuationsKnown:
		dispatcher.takeEvacuations(input)
	case *ServerAnnounced:
		dispatcher.announceServer(input)
	case *ServerReported:
		dispatcher.recordReport(input)
	case *ServerHeartbeat:
		dispatcher.recordHeartbeat(input)
	case *ServerLeaving:
		dispatcher.markLeaving(input)
	case *ServerLost:
		dispatcher.loseServer(input)
	case *TasksRefused:
		dispatcher.recordRefusals(input)
	case *TasksAnswered:
		dispatcher.recordAnswers(input)
	}
}
