package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// A task's answer is acknowledged once two hosts hold the answer of its job; the backend server
// then forgets it. If both hosts are lost, a lead that mistakes a resubmission for a new job would
// run it again: the task would start a second time after two entry hosts of its failure domain
// have died. To prevent this, backend servers remember which submissions were acknowledged, for as
// long as an answer is kept, and list them to a lead that may miss records.

// requestAcknowledgedIfNeeded requests the acknowledged submissions from the backend servers of a
// cell once this lead may miss records. A takeover waits for their reports.
func (dispatcher *Dispatcher) requestAcknowledgedIfNeeded(cell *cell) {
	if cell.acknowledgedRequested || !cell.mayMissRecords() {
		return
	}
	dispatcher.requestAcknowledged(cell)
}

// needsAcknowledged reports whether reports must list the acknowledged submissions.
func (cell *cell) needsAcknowledged() bool {
	return cell.acknowledgedRequested || cell.mayMissRecords() || len(cell.unlocated) > 0
}

// requestReportAgain requests another report from a backend server if tasks wait for its report
// and this one leaves out the acknowledged submissions. It does so only once, as a server that
// doesn't know the field never fills it in.
//
// Otherwise a deposed lead that was reachable in the meantime may have finished the job and had
// the server forget it. The task would be missing from the report and be mistaken for one that
// never started: it would start a second time when an unresponsive backend server returns.
func (dispatcher *Dispatcher) requestReportAgain(cell *cell, server *server, report *ServerReported) bool {
	if len(cell.unlocated) == 0 || report.ListsAcknowledged || server.reportRequestedAgain {
		return false
	}
	server.reportRequestedAgain = true
	dispatcher.reconcile(cell, server, report.Tasks, report.Unacknowledged)
	dispatcher.fence(cell, server)
	return true
}

// requestAcknowledged requests another report, with the acknowledged submissions, from every
// connected backend server of a cell.
func (dispatcher *Dispatcher) requestAcknowledged(cell *cell) {
	cell.acknowledgedRequested = true
	dispatcher.scheduleLostStateExpiry(cell)
	dispatcher.servers.Each(func(_ serverKey, server *server) bool {
		if server.cell == cell.number && server.connected {
			dispatcher.fence(cell, server)
			cell.awaitedServers[server.id] = true
		}
		return true
	})
}

// stopAwaitingReport ends the wait for the report of a backend server. After the last one it
// answers the waiting guest queries.
func (dispatcher *Dispatcher) stopAwaitingReport(cell *cell, server *server) {
	delete(cell.awaitedServers, server.id)
	dispatcher.finishTakeoverIfComplete(cell)
	if len(cell.awaitedServers) > 0 {
		return
	}
	for _, query := range cell.guestQueries {
		dispatcher.sendGuests(cell, query)
	}
	cell.guestQueries = nil
}

// endAcknowledged ends a job that has run according to backend servers, but whose answer no live
// host has. The refusal claims nothing about the job, since its first answer, which the caller may
// have, still holds.
func (dispatcher *Dispatcher) endAcknowledged(cell *cell, job *job) bool {
	if !cell.acknowledged[messenger.DigestOf(job.spec.Submission)] {
		return false
	}
	dispatcher.finish(job, messenger.RefuseUnknown(job.spec.Submission, messenger.ReasonAnswerLost,
		"the job has run, but no living host has its answer"))
	return true
}
