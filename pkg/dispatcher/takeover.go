package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// handleLeadTaken begins the takeover of a cell.
//
// An earlier lead may have died with starts in transit. If this host started the tasks that it does
// not see, they could run twice, as one task of a submission on two backend servers. Therefore
// every backend server must first accept the new epoch, which makes it refuse starts of earlier
// leads, and report its tasks.
func (dispatcher *Dispatcher) handleLeadTaken(input *LeadTaken) {
	// A lead that backend servers refused takes its cell again under a higher epoch. Its jobs are
	// forwarded to it again, as to any other lead. If they were kept, they would refer to a queue
	// that no longer exists.
	dispatcher.handleLeadLost(&LeadLost{Cell: input.Cell})
	cell := &cell{
		number:            input.Cell,
		epoch:             input.Epoch,
		awaitedHosts:      make(map[identifier.HostID]bool),
		awaitedServers:    make(map[identifier.BackendServerID]bool),
		missingHosts:      make(map[identifier.HostID]bool),
		hostsWithoutState: make(map[identifier.HostID]bool),
		lackingState:      make(map[identifier.HostID]bool),
		awaitedDomains:    make(map[identifier.FailureDomain]bool),
		repliedDomains:    make(map[identifier.FailureDomain]bool),
		acknowledged:      make(map[messenger.SubmissionDigest]bool),
		takenAt:           dispatcher.now,
		seenServers:       make(map[identifier.HostID]seenServersReply),
		recovered:         make(map[identifier.SubmissionID]recoveredRecord),
		unmatched:         make(map[identifier.SubmissionID]*unmatchedTasks),
		free:              newFreeSlots(dispatcher.selection(input.Cell)),
	}
	dispatcher.prepareLimits(cell)
	dispatcher.cells.Put(input.Cell, cell)
	for _, host := range input.Hosts {
		cell.awaitedHosts[host] = true
		query := messenger.TakeoverQuery{Cell: input.Cell, Epoch: input.Epoch}
		dispatcher.outputs.add(&TakeoverWanted{To: host, Query: query})
	}
	for _, host := range input.Missing {
		cell.missingHosts[host] = true
	}
	dispatcher.countHostsWithoutState(cell)
	dispatcher.queryGuests(cell)
	dispatcher.servers.Each(func(_ serverKey, server *server) bool {
		if server.cell == cell.number && server.connected {
			server.reportRequestedAgain = false
			dispatcher.fence(cell, server)
			dispatcher.expectHeartbeat(server)
			cell.awaitedServers[server.id] = true
		}
		return true
	})
	timeout := dispatcher.now.Add(dispatcher.Settings.TakeoverTimeout)
	dispatcher.timers.Set(timerKey{kind: timerTakeover, cell: cell.number}, timeout)
	dispatcher.finishTakeoverIfComplete(cell)
}

// fence notifies the server of the lead of its cell; the server answers with a report.
func (dispatcher *Dispatcher) fence(cell *cell, server *server) {
	server.fenced = false
	cell.free.remove(server)
	dispatcher.outputs.toServer(cell.number, server.id).Lead = &Lead{
		Cell: cell.number, Epoch: cell.epoch, ListAcknowledged: cell.needsAcknowledged(),
	}
}

// handleLeadLost forgets a cell that another host leads now. The hosts that wait for answers
// forward their jobs to the new lead, which learns from the backend servers what has started.
func (dispatcher *Dispatcher) handleLeadLost(input *LeadLost) {
	if dispatcher.cells.Get(input.Cell) == nil {
		return
	}
	dispatcher.cells.Remove(input.Cell)
	dispatcher.timers.Clear(timerKey{kind: timerTakeover, cell: input.Cell})
	dispatcher.timers.Clear(timerKey{kind: timerLostState, cell: input.Cell})
	dispatcher.jobs.Each(func(_ identifier.SubmissionID, job *job) bool {
		if job.cell == input.Cell {
			dispatcher.forget(job)
		}
		return true
	})
	dispatcher.servers.Each(func(_ serverKey, server *server) bool {
		if server.cell == input.Cell {
			server.fenced = false
			clear(server.running)
		}
		return true
	})
}

func (dispatcher *Dispatcher) recordTakeoverReply(input *TakeoverReplied) {
	cell := dispatcher.cells.Get(input.Reply.Cell)
	if cell == nil || cell.epoch != input.Reply.Epoch {
		return
	}
	for _, record := range input.Reply.Records {
		dispatcher.mergeRecord(cell, input.From, record)
	}
	dispatcher.adoptAnswers(cell, input.Reply.Records)
	for _, handover := range input.HandedOver {
		delete(cell.missingHosts, handover.Host)
	}
	for _, host := range input.Reply.HostsWithoutState {
		dispatcher.countHostWithoutState(cell, host)
	}
	if input.Reply.MayLackState {
		cell.lackingState[input.From] = true
	}
	dispatcher.queryGuests(cell)
	dispatcher.recordSeenServers(cell, input)
	delete(cell.awaitedHosts, input.From)
	delete(cell.missingHosts, input.From)
	dispatcher.finishTakeoverIfComplete(cell)
	dispatcher.requeueUnlocated(cell)
}

// mergeRecord keeps the most informative record of a submission: one with the answer wins over one
// without, an older one over a newer one.
func (dispatcher *Dispatcher) mergeRecord(cell *cell, holder identifier.HostID, record messenger.CopyRecord) {
	dispatcher.recordRecoveredDigest(record)
	knownSince := dispatcher.now.Add(-record.Age)
	knownAfter := dispatcher.knownAfter(cell, &record)
	known, found := cell.recovered[record.Submission]
	if found && record.SpilledTo == "" {
		record.SpilledTo = known.record.SpilledTo
	}
	if found && known.record.SpilledTo == "" {
		known.record.SpilledTo = record.SpilledTo
	}
	if found && knownSince > known.knownSince {
		knownSince = known.knownSince
	}
	if found {
		knownAfter = identifier.Earlier(knownAfter, known.knownAfter)
	}
	candidate := recoveredRecord{holder: holder, record: record}
	betterHolder := candidate.keptBySelf(dispatcher.Self) || record.Answered && record.AnswerHost == "" && known.record.AnswerHost != ""
	if found && known.record.Answered && !betterHolder {
		known.knownSince = knownSince
		known.knownAfter = knownAfter
		cell.recovered[record.Submission] = known
		return
	}
	if record.AnswerHost != "" {
		holder = record.AnswerHost
	}
	cell.recovered[record.Submission] = recoveredRecord{
		holder: holder, record: record, knownSince: knownSince, knownAfter: knownAfter, keptUntil: dispatcher.retainedUntil(record),
	}
	dispatcher.scheduleSweep(cell)
}

func (dispatcher *Dispatcher) recordReport(input *ServerReported) {
	server := dispatcher.servers.Get(serverKey{cell: input.Cell, server: input.Server})
	cell := dispatcher.cells.Get(input.Cell)
	if server == nil || cell == nil {
		return
	}
	if input.Epoch > cell.epoch {
		cell.deposed = true
		dispatcher.outputs.add(&EpochSeen{Cell: input.Cell, Epoch: input.Epoch})
		return
	}
	if input.Epoch < cell.epoch {
		return
	}
	// A server that was notified twice of the lead reports twice. Only the first report precedes
	// everything that was started since. The second may have been in transit when a start was sent,
	// so a task that is missing from it may still run.
	if dispatcher.requestReportAgain(cell, server, input) {
		return
	}
	requested := !server.fenced
	server.fenced = true
	for _, digest := range input.Acknowledged {
		cell.acknowledged[digest] = true
	}
	dispatcher.reconcile(cell, server, input.Tasks, input.Unacknowledged)
	if requested {
		dispatcher.requeueAbsent(cell, server, input)
	}
	cell.free.update(server)
	dispatcher.requeueUnlocated(cell)
	dispatcher.stopAwaitingReport(cell, server)
}

// reconcile applies a report's running and ended tasks.
func (dispatcher *Dispatcher) reconcile(cell *cell, server *server, tasks []TaskKey, answers []ServerAnswer) {
	for _, key := range tasks {
		dispatcher.adoptRunning(cell, server, key)
	}
	for _, answer := range answers {
		dispatcher.recordAnswer(cell, server, answer)
	}
}

// requeueAbsent compares a complete report with the starts that this host sent before it requested
// the report. A task that is missing from the report was never started and goes back to the queue.
func (dispatcher *Dispatcher) requeueAbsent(cell *cell, server *server, report *ServerReported) {
	present := make(map[TaskKey]bool, len(report.Tasks)+len(report.Unacknowledged))
	for _, key := range report.Tasks {
		present[key] = true
	}
	for index := range report.Unacknowledged {
		present[report.Unacknowledged[index].TaskKey] = true
	}
	for _, task := range dispatcher.tasksOn(server) {
		if !present[task.key()] {
			dispatcher.requeue(cell, server, task)
		}
	}
}

// tasksOn lists the unresolved tasks of a server in a fixed order.
func (dispatcher *Dispatcher) tasksOn(server *server) []*task {
	tasks := make([]*task, 0, len(server.running))
	for _, task := range server.running {
		tasks = append(tasks, task)
	}
	sortTasks(tasks)
	return tasks
}

// adoptRunning records that the server runs a task, whether this host started it or an earlier lead
// did.
func (dispatcher *Dispatcher) adoptRunning(cell *cell, server *server, key TaskKey) {
	job := dispatcher.jobs.Get(key.Submission)
	if job == nil {
		running := cell.unmatchedOf(key.Submission).running
		running[key.Task] = unmatchedTask{server: server.id, incarnation: server.incarnation}
		return
	}
	task := job.byID[key.Task]
	if task == nil && job.state == jobFinished {
		dispatcher.stop(server.id, key)
	}
	if task == nil || task.state == taskAnswered {
		return
	}
	dispatcher.removeFromQueue(cell, job, task)
	task.state = taskStarted
	task.server = server.id
	server.running[key] = task
	dispatcher.addInFlight(cell, task)
	if job.state == jobFinished || job.failure != nil {
		dispatcher.stop(server.id, key)
	}
}

func (cell *cell) unmatchedOf(submission identifier.SubmissionID) *unmatchedTasks {
	unmatched, exists := cell.unmatched[submission]
	if !exists {
		unmatched = &unmatchedTasks{
			running: make(map[identifier.TaskID]unmatchedTask),
			answers: make(map[identifier.TaskID]unmatchedAnswer),
		}
		cell.unmatched[submission] = unmatched
	}
	return unmatched
}

func (dispatcher *Dispatcher) finishTakeoverIfComplete(cell *cell) {
	awaitsHosts := len(cell.awaitedHosts) > 0 || len(cell.awaitedDomains) > 0 || cell.awaitsDigests
	if cell.ready || awaitsHosts || len(cell.awaitedServers) > 0 {
		return
	}
	dispatcher.finishTakeover(cell)
}

// finishTakeover lets the cell start tasks and settles the jobs that waited.
func (dispatcher *Dispatcher) finishTakeover(cell *cell) {
	cell.ready = true
	dispatcher.timers.Clear(timerKey{kind: timerTakeover, cell: cell.number})
	dispatcher.jobs.Each(func(_ identifier.SubmissionID, job *job) bool {
		if job.cell == cell.number && job.state == jobRecovering {
			dispatcher.settleRecovered(cell, job)
		}
		return true
	})
}
