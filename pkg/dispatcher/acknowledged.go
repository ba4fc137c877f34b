package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// A task's answer is acknowledged once two hosts hold the answer of its job, and the backend
// server forgets it. If both hosts are lost, a lead that took a resend for new would run the job
// again; it would show as a task that starts a second time after two entry hosts of its failure
// domain died. Backend servers remember which submissions were acknowledged, for as long as an
// answer is kept, and tell a lead that may miss records.

// askAcknowledged asks the backend servers of a cell for what was acknowledged, once this lead
// may miss records. A takeover waits for their reports.
func (dispatcher *Dispatcher) askAcknowledged(cell *cell) {
	if cell.wantsAcknowledged || !cell.mayMissRecords() {
		return
	}
	dispatcher.wantAcknowledged(cell)
}

// needsAcknowledged tells whether a report must say what was acknowledged.
func (cell *cell) needsAcknowledged() bool {
	return cell.wantsAcknowledged || cell.mayMissRecords() || len(cell.unplaced) > 0
}

// askAgain asks a backend server for another report where tasks wait for it, and this one leaves
// out what was acknowledged; once, as a server that doesn't know the field never tells.
//
// Meanwhile a deposed lead may have come back, finished the job and had the server forget it. The
// task would be absent from the report and be taken for one that never started. It would show as a
// second start on the moment that a silent backend server returns.
func (dispatcher *Dispatcher) askAgain(cell *cell, server *server, report *ServerReported) bool {
	if len(cell.unplaced) == 0 || report.TellsAcknowledged || server.askedAgain {
		return false
	}
	server.askedAgain = true
	dispatcher.reconcile(cell, server, report.Tasks, report.Unacknowledged)
	dispatcher.fence(cell, server)
	return true
}

// wantAcknowledged has every backend server of a cell report once more, with what was
// acknowledged there.
func (dispatcher *Dispatcher) wantAcknowledged(cell *cell) {
	cell.wantsAcknowledged = true
	dispatcher.doubtUntilForgotten(cell)
	dispatcher.servers.Each(func(_ serverKey, server *server) bool {
		if server.cell == cell.number && server.connected {
			dispatcher.fence(cell, server)
			cell.awaitedServers[server.id] = true
		}
		return true
	})
}

// endWait waits no longer for the report of a backend server.
func (dispatcher *Dispatcher) endWait(cell *cell, server *server) {
	delete(cell.awaitedServers, server.id)
	dispatcher.finishTakeoverIfComplete(cell)
	if len(cell.awaitedServers) > 0 {
		return
	}
	for _, query := range cell.guestQueries {
		dispatcher.tellGuests(cell, query)
	}
	cell.guestQueries = nil
}

// endAcknowledged ends a job of which backend servers know that it has run, and of which no
// living host knows the answer. The refusal claims nothing about the job: its first answer, which
// its caller may have, still holds.
func (dispatcher *Dispatcher) endAcknowledged(cell *cell, job *job) bool {
	if !cell.acknowledged[messenger.DigestOf(job.spec.Submission)] {
		return false
	}
	dispatcher.finish(job, messenger.RefuseUnknown(job.spec.Submission, messenger.ReasonAnswerLost,
		"the job has run, but no living host has its answer"))
	return true
}
