// Package allocator decides, on the host that leads a cell of a failure domain, which
// backend server has room for which task of jobs that need not be remembered. It keeps the
// ledger of granted room, lets jobs wait, turns them away, renews the leases of what
// runs, and finds out which runs are surely over. The hosts that ask start the runs
// themselves; the fence of each lead keeps two leads apart.
//
// It is pure: time and events come in through Tick, calls and messages go out.
package allocator

import (
	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/budgeter"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Allocator is the lead's side of one cell of a failure domain. Set the exported fields
// before the first Tick.
type Allocator struct {
	FailureDomain identifier.FailureDomain
	// Cell is the part of the failure domain whose backend servers these are.
	Cell     messenger.CellNumber
	Settings Settings

	now identifier.Moment
	// startedAt is when this process started.
	startedAt identifier.Moment
	// epoch is the fence of this lead; zero while another host leads.
	epoch identifier.Epoch
	// lives counts the fences above the epoch that lives of servers were given.
	lives identifier.Epoch
	// overtaken tells that a server has refused the epoch: another lead is or was at work. Until
	// the next epoch nothing is granted and no lease renewed, as that lead waits for the leases of
	// this one where it is not heard, and doesn't know of later ones.
	overtaken bool
	// othersFollow tells that no other host gives leases under an earlier epoch any more.
	othersFollow bool
	// runsNamed tells that every living host has named its runs: nobody wants an orphan.
	runsNamed bool
	// evacuations are the failure domains where nothing is started.
	evacuations messenger.Evacuated
	servers     *tabulator.Table[identifier.ServerIncarnation, server]
	jobs        *tabulator.Table[identifier.JobID, job]
	// waiting holds the jobs with tasks that have no room, in the order of placing.
	waiting []*job
	// waitingTasks counts their tasks without room.
	waitingTasks int
	// lastRuns remembers the highest run number of jobs that have ended.
	lastRuns *tabulator.Table[identifier.JobID, identifier.RunNumber]
	// shares remembers, for the same jobs, which other cells were asked for their tasks.
	shares *tabulator.Table[identifier.JobID, []share]
	// accounts remembers, for the same jobs, the tasks under which servers have crashed.
	accounts *tabulator.Table[identifier.JobID, map[messenger.TaskIndex]budgeter.Account]
	crashes  budgeter.Crashes
	// strayEnds are ends of runs that no job here asked for, kept for a job that is
	// asked for again after a change of the lead.
	strayEnds *tabulator.Table[strayEnd, EndKind]
	// orphans counts the runs that no job here asked for.
	orphans   int
	estimates estimates
	assessor  *assessor.Assessor
	judged    []assessor.Input
	remotes   *tabulator.Table[messenger.CellRef, remote]
	told      messenger.RoomNotice
	toldAt    identifier.Moment
	timers    *tabulator.Timers[timerKey]
	outputs   []Output
	// changed tells that room may have come free since the waiting jobs were last
	// tried, so that a full ledger is not searched for them at each tick.
	changed bool
}

// timerKind tells what a timer is for.
type timerKind int

const (
	timerHold timerKind = iota
	timerServerLapse
	timerServerForget
	timerRunStop
	timerRunOverdue
	timerJobDeadline
	timerJobStart
	timerJobForget
	timerStrayForget
	timerNotice
	timerReopen
)

// timerKey names one deadline.
type timerKey struct {
	kind   timerKind
	server identifier.ServerIncarnation
	job    identifier.JobID
	run    messenger.RunKey
}

// Tick applies the inputs, lets deadlines fall due and returns what to do.
func (allocator *Allocator) Tick(now identifier.Moment, inputs []Input) []Output {
	allocator.prepare(now)
	for _, input := range inputs {
		allocator.apply(input)
	}
	allocator.timers.EachDue(now, allocator.expire)
	allocator.judge()
	if allocator.epoch != 0 {
		allocator.place()
		allocator.tellNotice()
	}
	outputs := allocator.outputs
	allocator.outputs = nil
	return outputs
}

// NextDeadline returns when Tick must run even without inputs.
func (allocator *Allocator) NextDeadline() identifier.Moment {
	if allocator.timers == nil {
		return identifier.Never
	}
	return identifier.Earlier(allocator.timers.Next(), allocator.assessor.NextDeadline())
}

// Leads tells whether this host leads its failure domain.
func (allocator *Allocator) Leads() bool { return allocator.epoch != 0 }

func (allocator *Allocator) prepare(now identifier.Moment) {
	allocator.now = now
	if allocator.timers != nil {
		return
	}
	allocator.startedAt = now
	allocator.timers = tabulator.NewTimers[timerKey]()
	allocator.servers = tabulator.New[identifier.ServerIncarnation, server]()
	allocator.jobs = tabulator.New[identifier.JobID, job]()
	allocator.lastRuns = tabulator.New[identifier.JobID, identifier.RunNumber]()
	allocator.shares = tabulator.New[identifier.JobID, []share]()
	allocator.accounts = tabulator.New[identifier.JobID, map[messenger.TaskIndex]budgeter.Account]()
	allocator.strayEnds = tabulator.New[strayEnd, EndKind]()
	allocator.remotes = tabulator.New[messenger.CellRef, remote]()
	allocator.estimates = newEstimates()
	allocator.assessor = &assessor.Assessor{Settings: allocator.Settings.Health}
}

func (allocator *Allocator) apply(input Input) {
	switch input := input.(type) {
	case *LeadTaken:
		allocator.takeLead(input.Epoch)
	case *LeadLost:
		allocator.loseLead()
	case *OthersFollow:
		allocator.takeFollowing(input.Following)
	case *RunsNamed:
		allocator.stopOrphans()
	case *EvacuationsKnown:
		allocator.takeEvacuations(input)
	case *CardArrived:
		allocator.takeCard(&input.Card)
	case *CardRecalled:
		allocator.recallCard(&input.Card)
	case *RoomRequested:
		allocator.request(input)
	case *JobGoesElsewhere:
		allocator.noteShare(input)
	case *RoomReleased:
		allocator.release(input.From, input.Job)
	case *StartReported:
		allocator.takeStartReport(input)
	case *HoldReturned:
		allocator.takeHold(input)
	case *StopReturned:
		allocator.takeStop(input)
	case *HostGone:
		allocator.loseHost(input.Host)
	case *RemoteLeadKnown:
		allocator.learnRemoteLead(input)
	case *NoticeArrived:
		allocator.takeNotice(&input.Notice)
	}
}

func (allocator *Allocator) expire(key timerKey) {
	switch key.kind {
	case timerHold:
		allocator.holdDue(key.server)
	case timerServerLapse:
		allocator.lapse(key.server)
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
		allocator.shares.Remove(key.job)
		allocator.accounts.Remove(key.job)
	case timerStrayForget:
		allocator.strayEnds.Remove(strayEnd{server: key.server, run: key.run})
	case timerNotice, timerReopen:
		allocator.changed = true
	}
}

// takeLead begins under a new epoch: every known backend server is asked what runs
// there before it gets anything.
func (allocator *Allocator) takeLead(epoch identifier.Epoch) {
	allocator.dropLedger()
	allocator.epoch = epoch
	allocator.lives = 0
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		allocator.raiseFence(server)
		server.oldLeasesEnd = allocator.oldLeasesEnd(server)
		if !server.retired {
			allocator.awaitForget(server)
		}
		allocator.hold(server)
		return true
	})
}

// loseLead forgets what only a lead may decide on. The hosts that asked turn to the
// next lead.
func (allocator *Allocator) loseLead() {
	allocator.dropLedger()
	allocator.epoch = 0
}

func (allocator *Allocator) dropLedger() {
	allocator.waiting = nil
	allocator.waitingTasks = 0
	for _, id := range allocator.jobs.Keys() {
		allocator.clearJobTimers(id)
		allocator.jobs.Remove(id)
	}
	for _, key := range allocator.strayEnds.Keys() {
		allocator.strayEnds.Remove(key)
	}
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		for _, run := range server.runs {
			allocator.timers.Clear(stopTimer(run))
			allocator.timers.Clear(overdueTimer(run))
		}
		server.reset()
		allocator.stopCalling(server.card.Server)
		return true
	})
	allocator.orphans = 0
	allocator.overtaken = false
	allocator.othersFollow = false
	allocator.runsNamed = false
}

func (allocator *Allocator) emit(output Output) {
	allocator.outputs = append(allocator.outputs, output)
}

// decided reports a decision for the log.
func (allocator *Allocator) decided(decision messenger.Decision) {
	allocator.emit(&Decided{Decision: decision})
}
