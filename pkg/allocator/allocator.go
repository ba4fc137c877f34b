// Package allocator decides, on the host that leads a cell of a failure domain, which backend
// server has capacity for which task of the jobs that need not be remembered. It tracks the granted
// capacity, queues jobs and rejects them, renews the leases of what runs, and determines which runs
// have provably ended. The requesting hosts start the runs themselves; the fence of each lead keeps
// two leads apart.
//
// The package is pure: time and events come in through Tick, calls and messages go out as its
// outputs.
package allocator

import (
	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/budgeter"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/rater"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Allocator is the state of one cell of a failure domain on its lead. Set the exported fields
// before the first Tick.
type Allocator struct {
	FailureDomain identifier.FailureDomain
	// Cell is the part of the failure domain that these backend servers belong to.
	Cell     messenger.CellNumber
	Settings Settings

	now identifier.Moment
	// startedAt is when this process started.
	startedAt identifier.Moment
	// epoch is the fence of this lead; zero while another host leads.
	epoch identifier.Epoch
	// fencesIssued counts the fences above the epoch that were issued to incarnations of servers.
	fencesIssued identifier.Epoch
	// superseded is set once a server has refused the epoch: another lead is or was at work. Until
	// the next epoch nothing is granted and no lease is renewed: at servers that do not respond to
	// it, that lead waits for the leases of this one to lapse, and it does not know of later
	// leases.
	superseded bool
	// othersFollow is set while no other host grants leases under an earlier epoch.
	othersFollow bool
	// runsReported is set once every living host has reported its runs: no host will request a run
	// that is still unclaimed.
	runsReported bool
	// evacuations are the failure domains where nothing is started.
	evacuations messenger.EvacuatedDomains
	servers     *tabulator.Table[identifier.ServerIncarnation, server]
	serverIndex serverIndex
	jobs        *tabulator.Table[identifier.JobID, job]
	// waiting holds the jobs with tasks that wait for capacity, in the order of placement.
	waiting []*job
	// waitingTasks counts the queued tasks of these jobs.
	waitingTasks int
	// lastRuns remembers the highest run number of jobs that have ended.
	lastRuns *tabulator.Table[identifier.JobID, identifier.RunNumber]
	// handoffs remembers, for the same jobs, which other cells their tasks were handed to.
	handoffs *tabulator.Table[identifier.JobID, []handoff]
	// accounts remembers, for the same jobs, the tasks under which servers have crashed.
	accounts *tabulator.Table[identifier.JobID, map[messenger.TaskIndex]budgeter.Account]
	crashes  budgeter.Crashes
	// unmatchedEnds are ends of runs that no job here has requested, kept for a job that is
	// requested again after a change of the lead.
	unmatchedEnds *tabulator.Table[unmatchedEnd, EndKind]
	// unclaimedRuns counts the runs that no job here has requested.
	unclaimedRuns int
	estimates     estimates
	rater         rater.Rater
	// speedsDiffer is set while the rater has proven that backend servers differ in speed.
	speedsDiffer bool
	assessor     *assessor.Assessor
	healthInputs []assessor.Input
	remotes      *tabulator.Table[messenger.CellRef, remote]
	lastNotice   messenger.CapacityNotice
	noticeSentAt identifier.Moment
	// handoffArrived is set if a job was handed off to this cell since the last notice. The other
	// lead has subtracted it from the room of that notice.
	handoffArrived bool
	// speedsStale is set if reports may have changed the learned speeds since they were adopted.
	speedsStale bool
	// overloaded is set while this host is overloaded.
	overloaded bool
	timers     *tabulator.Timers[timerKey]
	outputs    []Output
	// retryPlacement is set when capacity may have come free since the waiting jobs were last
	// tried, so that a full cell is not searched for them at each tick.
	retryPlacement bool
}

// timerKind is the purpose of a timer.
type timerKind int

const (
	timerPoll timerKind = iota
	timerServerLapse
	timerServerForget
	timerRunStop
	timerRunOverdue
	timerJobDeadline
	timerJobStart
	timerJobForget
	timerUnmatchedEndForget
	timerNotice
	timerReopen
)

// timerKey identifies one timer.
type timerKey struct {
	kind   timerKind
	server identifier.ServerIncarnation
	job    identifier.JobID
	run    messenger.RunKey
}

// Tick applies the inputs, handles the timers that are due and returns the outputs to carry out.
func (allocator *Allocator) Tick(now identifier.Moment, inputs []Input) []Output {
	allocator.prepare(now)
	for _, input := range inputs {
		if !isReport(input) {
			allocator.refreshFactors()
		}
		allocator.apply(input)
	}
	allocator.refreshFactors()
	allocator.timers.EachDue(now, allocator.expire)
	allocator.assessServers()
	if allocator.epoch != 0 {
		allocator.place()
		allocator.sendNotice()
	}
	outputs := allocator.outputs
	allocator.outputs = nil
	return outputs
}

// NextDeadline returns when Tick must run even without inputs; identifier.Never before the first
// Tick.
func (allocator *Allocator) NextDeadline() identifier.Moment {
	if allocator.timers == nil {
		return identifier.Never
	}
	return identifier.Earlier(allocator.timers.Next(), allocator.assessor.NextDeadline())
}

// Leads reports whether this host leads the cell.
func (allocator *Allocator) Leads() bool { return allocator.epoch != 0 }

func (allocator *Allocator) prepare(now identifier.Moment) {
	allocator.now = now
	if allocator.timers != nil {
		return
	}
	allocator.startedAt = now
	allocator.timers = tabulator.NewTimers[timerKey]()
	allocator.servers = tabulator.New[identifier.ServerIncarnation, server]()
	allocator.serverIndex = newServerIndex()
	allocator.jobs = tabulator.New[identifier.JobID, job]()
	allocator.lastRuns = tabulator.New[identifier.JobID, identifier.RunNumber]()
	allocator.handoffs = tabulator.New[identifier.JobID, []handoff]()
	allocator.accounts = tabulator.New[identifier.JobID, map[messenger.TaskIndex]budgeter.Account]()
	allocator.unmatchedEnds = tabulator.New[unmatchedEnd, EndKind]()
	allocator.remotes = tabulator.New[messenger.CellRef, remote]()
	allocator.estimates = newEstimates()
	allocator.assessor = &assessor.Assessor{Settings: allocator.Settings.Health}
}

func (allocator *Allocator) apply(input Input) {
	switch input := input.(type) {
	case *LeadTaken:
		allocator.handleLeadTaken(input.Epoch)
	case *LeadLost:
		allocator.handleLeadLost()
	case *OthersFollow:
		allocator.handleOthersFollow(input.Following)
	case *RunsReported:
		allocator.handleRunsReported()
	case *EvacuationsChanged:
		allocator.handleEvacuations(input)
	case *ReportArrived:
		allocator.handleReport(&input.Report)
	case *ReportRecalled:
		allocator.recallReport(&input.Report)
	case *CapacityRequested:
		allocator.handleRequest(input)
	case *OverloadChanged:
		allocator.overloaded = input.Overloaded
	case *JobHandedOff:
		allocator.recordHandoff(input)
	case *CapacityReleased:
		allocator.handleRelease(input.From, input.Job)
	case *StartReported:
		allocator.handleStartReport(input)
	case *StartRepeated:
		allocator.handleStartRepeated(input)
	case *PollReturned:
		allocator.handlePoll(input)
	case *StopReturned:
		allocator.handleStopAnswer(input)
	case *HostGone:
		allocator.handleHostGone(input.Host)
	case *RemoteLeadChanged:
		allocator.handleRemoteLead(input)
	case *NoticeArrived:
		allocator.handleNotice(&input.Notice)
	}
}

func (allocator *Allocator) expire(key timerKey) {
	switch key.kind {
	case timerPoll:
		allocator.pollDue(key.server)
	case timerServerLapse:
		allocator.endLapsedRuns(key.server)
	case timerServerForget:
		allocator.forgetServer(key.server)
	case timerRunStop:
		allocator.stopDue(key.server, key.run)
	case timerRunOverdue:
		allocator.runOverdue(key.server, key.run)
	case timerJobDeadline:
		allocator.expireJob(key.job)
	case timerJobStart:
		allocator.startOverdue(key.job)
	case timerJobForget:
		allocator.lastRuns.Remove(key.job)
		allocator.handoffs.Remove(key.job)
		allocator.accounts.Remove(key.job)
	case timerUnmatchedEndForget:
		allocator.unmatchedEnds.Remove(unmatchedEnd{server: key.server, run: key.run})
	case timerNotice, timerReopen:
		allocator.retryPlacement = true
	}
}

// handleLeadTaken begins under a new epoch: every known backend server is asked what runs there
// before it gets a start.
func (allocator *Allocator) handleLeadTaken(epoch identifier.Epoch) {
	allocator.dropState()
	allocator.epoch = epoch
	allocator.fencesIssued = 0
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		allocator.raiseFence(server)
		server.oldLeasesEnd = allocator.oldLeasesEnd(server)
		if !server.retired {
			allocator.scheduleForget(server)
		}
		allocator.poll(server)
		return true
	})
}

// handleLeadLost drops the state that only a lead may act on. The requesting hosts turn to the next
// lead.
func (allocator *Allocator) handleLeadLost() {
	allocator.dropState()
	allocator.epoch = 0
}

func (allocator *Allocator) dropState() {
	allocator.waiting = nil
	allocator.waitingTasks = 0
	for _, id := range allocator.jobs.Keys() {
		allocator.clearJobTimers(id)
		allocator.jobs.Remove(id)
	}
	for _, key := range allocator.unmatchedEnds.Keys() {
		allocator.unmatchedEnds.Remove(key)
	}
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		for _, run := range server.runs {
			allocator.timers.Clear(stopTimer(run))
			allocator.timers.Clear(overdueTimer(run))
		}
		server.reset()
		allocator.stopCalling(server.report.Server)
		return true
	})
	allocator.unclaimedRuns = 0
	allocator.superseded = false
	allocator.othersFollow = false
	allocator.runsReported = false
}

func (allocator *Allocator) emit(output Output) {
	allocator.outputs = append(allocator.outputs, output)
}

// logDecision emits a decision for the log.
func (allocator *Allocator) logDecision(decision messenger.Decision) {
	allocator.emit(&Decided{Decision: decision})
}
