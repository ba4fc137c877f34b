// Package dispatcher decides, on the host that leads a cell, which backend server runs which
// task. It keeps the records that make every submission run at most once and be answered
// exactly once.
//
// The package is pure: time, messages and the random seed come in through Tick, and Tick returns
// the messages to send. The daemon, the trace replay and the fuzz tests run the same code.
//
// Four rules guarantee this:
//   - A task is sent to a backend server once. It is started again only after a refusal or a
//     report which proves that the first start never happened.
//   - A new lead starts nothing before every backend server of the cell has reported under the
//     new epoch, which fences the starts of earlier leads, and every host of the failure domain
//     has listed the submissions that it knows.
//   - Task answers are acknowledged to the backend server only after a second host holds the
//     answer of the whole job. Until then the backend server can send them again.
//   - A refusal says "not run" only if the records show that no task has started.
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

// Settings sets the limits and timeouts of a Dispatcher.
type Settings struct {
	// Cells is the number of cells into which the failure domain's slots are divided.
	Cells int
	// QueuedTasks bounds the tasks that wait for a slot, over all jobs of a cell.
	QueuedTasks int
	// UnknownTaskWait is how long a task of a lost backend server may stay unknown before its job
	// fails; the job's deadline may pass earlier.
	UnknownTaskWait time.Duration
	// AnswerRetention is how long a finished submission is kept.
	AnswerRetention time.Duration
	// TakeoverTimeout is how long a new lead waits for reports before it goes on without the
	// unresponsive hosts and servers.
	TakeoverTimeout time.Duration
	// HeartbeatTimeout is how long a backend server may send no heartbeat before it gets no new
	// tasks and its running tasks count as unknown.
	HeartbeatTimeout time.Duration
	// AnswerResend is how long a lead waits for another host to hold an answer before it sends the
	// answer again.
	AnswerResend time.Duration
	// UnreplicatedAnswerWait is how long backend servers must keep the task answers of a job for
	// which no second host can be found.
	UnreplicatedAnswerWait time.Duration
	// ServerDiscovery is how long after its start a host may still lack streams from some backend
	// servers.
	ServerDiscovery time.Duration
	// Selection configures the policy that picks the server for the next task.
	Selection selector.Settings
	// SharedServers lets the leads of all cells start tasks on all backend servers of the failure
	// domain. Each lead then sees only its own starts and, from heartbeats, the number of busy
	// slots. It is meant for baseline comparisons.
	SharedServers bool
	// Spill configures when jobs are handed to other failure domains.
	Spill SpillSettings
	// Health configures how the health of servers is assessed.
	Health assessor.Settings
	// ExplainedSteps is the number of recent decisions kept for operators' queries.
	ExplainedSteps int
	// Limits configures the teams' shares of the queue and what is refused at admission.
	Limits LimitSettings
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		Cells:                  1,
		QueuedTasks:            20_000,
		UnknownTaskWait:        5 * time.Second,
		AnswerRetention:        10 * time.Minute,
		TakeoverTimeout:        500 * time.Millisecond,
		HeartbeatTimeout:       3 * time.Second,
		AnswerResend:           time.Second,
		UnreplicatedAnswerWait: 30 * time.Second,
		ServerDiscovery:        3 * time.Second,
		ExplainedSteps:         20_000,
		Selection:              selector.DefaultSettings(),
		Health:                 assessor.DefaultSettings(),
		Spill:                  DefaultSpillSettings(),
		Limits:                 DefaultLimitSettings(),
	}
}

// Dispatcher holds the state of the cells that this host leads. Set the exported fields before
// the first Tick.
type Dispatcher struct {
	Self          identifier.HostID
	FailureDomain identifier.FailureDomain
	Settings      Settings
	// HasPeers reports whether the settings name other hosts of the failure domain.
	HasPeers bool
	// Digests are the submissions of this home that leads have started, spilled or answered. If nil,
	// there are none.
	Digests Digests

	now identifier.Moment
	// startedAt is the time of the first tick of this host's process.
	startedAt identifier.Moment
	cells     *tabulator.Table[messenger.CellNumber, cell]
	servers   *tabulator.Table[serverKey, server]
	jobs      *tabulator.Table[identifier.SubmissionID, job]
	timers    *tabulator.Timers[timerKey]
	outputs   outbox
	// lostHosts are the hosts of the failure domain that can't be reached.
	lostHosts map[identifier.HostID]bool
	// withoutStateUntil holds, for each host of the failure domain that restarted without state,
	// until when a takeover counts it as lost. After its own start this host is among them.
	withoutStateUntil map[identifier.HostID]identifier.Moment
	// remotes are the leads of the cells of other failure domains.
	remotes *tabulator.Table[remoteKey, remote]
	// evacuations are the failure domains where nothing may be started.
	evacuations messenger.EvacuatedDomains
	// assessor assesses the health of servers; outcomes are its inputs, collected during the tick.
	assessor *assessor.Assessor
	outcomes []assessor.Input

	// explainer keeps recent decisions for operators' queries.
	explainer  explainer.Explainer
	estimator  *estimator.Estimator
	teamLimits []limiter.TeamLimits
	classes    map[identifier.ClassName]ClassLimits
}

// Digests looks up the digests of submissions, which outlive the hosts that hold their records.
type Digests interface {
	KindOf(submission identifier.SubmissionID) messenger.DigestKind
	// IsLastHost reports whether the other hosts of the failure domain are lost.
	IsLastHost() bool
}

// Tick applies the inputs in order, handles deadlines that are due, assigns queued tasks to free
// slots and returns the messages to send.
func (dispatcher *Dispatcher) Tick(now identifier.Moment, inputs []Input) []Output {
	dispatcher.prepare(now)
	for _, input := range inputs {
		dispatcher.apply(input)
	}
	dispatcher.expire()
	dispatcher.assess()
	dispatcher.assign()
	dispatcher.announceLoad()
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
	dispatcher.withoutStateUntil = map[identifier.HostID]identifier.Moment{dispatcher.Self: now.Add(rereplicationTime)}
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
	dispatcher.invalidateCapacity(input)
	switch input := input.(type) {
	case *LeadTaken:
		dispatcher.handleLeadTaken(input)
	case *LeadLost:
		dispatcher.handleLeadLost(input)
	case *RemoteLeadChanged:
		dispatcher.recordRemoteLead(input)
	case *RemoteReconnected:
		dispatcher.handleReconnected(input)
	case *LoadAnnounced:
		dispatcher.recordLoad(input)
	case *SpillRecorded:
		dispatcher.sendSpilled(input)
	case *SpillArrived:
		dispatcher.admitGuest(input)
	case *GuestsQueried:
		dispatcher.handleGuestQuery(input)
	case *GuestsListed:
		dispatcher.recordGuests(input)
	case *DigestsCollected:
		dispatcher.handleDigestsCollected()
	case *SpillAnswered:
		dispatcher.recordSpillAnswer(input)
	case *ClaimHolderAnswered:
		dispatcher.handleHolderAnswer(input)
	case *RecordsReplicated:
		dispatcher.recordReplicas(input)
	case *HostReturned:
		dispatcher.handleHostReturned(input)
	case *HostGone:
		dispatcher.handleHostGone(input)
	case *TakeoverReplied:
		dispatcher.recordTakeoverReply(input)
	case *JobForwarded:
		dispatcher.admit(input)
	case *CancelArrived:
		dispatcher.cancel(input)
	case *LookupArrived:
		dispatcher.lookUp(input)
	case *AnswerReplicated:
		dispatcher.releaseAnswers(input)
	case *IsolationEnded:
		dispatcher.recordIsolation()
	case *ClaimsGrantedLate:
		dispatcher.scheduleLateClaimReleases(input)
	case *ClaimDecided:
		dispatcher.decideClaim(input)
	case *LimitsConfigured:
		dispatcher.configureLimits(input)
	case *EvacuationsChanged:
		dispatcher.handleEvacuations(input)
	case *ServerAnnounced:
		dispatcher.handleServerAnnounced(input)
	case *ServerReported:
		dispatcher.recordReport(input)
	case *ServerHeartbeat:
		dispatcher.recordHeartbeat(input)
	case *ServerLeaving:
		dispatcher.markLeaving(input)
	case *ServerLost:
		dispatcher.handleServerLost(input)
	case *TasksRefused:
		dispatcher.recordRefusals(input)
	case *TasksAnswered:
		dispatcher.recordAnswers(input)
	}
}
