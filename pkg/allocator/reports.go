package allocator

import (
	"fmt"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/rater"
)

// handleReport handles the report of a backend server, unless a later report of the same
// incarnation was handled: a server that starts again under its id numbers its reports from the
// start. A report of an ended incarnation does not bring it back.
func (allocator *Allocator) handleReport(report *messenger.ServerReport) {
	known := allocator.servers.Get(report.Server)
	if known == nil {
		if report.Gone && !report.Server.Dated() {
			allocator.handleUndatedLeave(report.Server.Server())
			return
		}
		if report.FailureDomain == allocator.FailureDomain {
			allocator.join(report)
		}
		return
	}
	allocator.followSpeed(known, report)
	if known.retired {
		allocator.ignoreReport(report, "its life has ended")
		return
	}
	if report.Sequence < known.report.Sequence && !report.Gone {
		allocator.ignoreReport(report, fmt.Sprintf("number %d comes after %d", report.Sequence, known.report.Sequence))
		return
	}
	if report.Gone {
		allocator.handleLeave(known)
		return
	}
	if !sameFixedFields(report, &known.report) {
		allocator.ignoreReport(report, "it contradicts the first one of its life")
		return
	}
	known.reportedAt = allocator.now
	first := !known.hasReported()
	leaves := report.Draining && !known.report.Draining
	// A server that drains never stops draining within one incarnation.
	draining := known.report.Draining || report.Draining
	resized := report.Capacity != known.report.Capacity
	allocator.reclassify(known, report)
	speed := known.report.Speed
	known.report = *report
	known.report.Draining, known.report.Speed = draining, speed
	if resized {
		allocator.resize(known)
	}
	if report.Clock > 0 {
		known.readClock(allocator.now, report.Clock)
	}
	if leaves {
		allocator.logDecision(messenger.Decision{Kind: messenger.DecisionServerLeaves, Server: report.Server, Tasks: len(known.runs)})
	}
	if first {
		known.broadcastCapacity = known.report.Capacity
	}
	if (first || leaves) && allocator.Leads() {
		allocator.emit(&BroadcastReport{Report: known.report})
	}
	allocator.scheduleForget(known)
}

// ignoreReport logs a report that changes nothing.
func (allocator *Allocator) ignoreReport(report *messenger.ServerReport, reason string) {
	allocator.logDecision(messenger.Decision{Kind: messenger.DecisionHeartbeatPassedOver, Server: report.Server, Reason: reason})
}

// sameFixedFields reports whether two reports agree in what is fixed for an incarnation of a
// backend server. A report that doesn't agree is not the server's own: calls would go where another
// incarnation denies the id, so that this one and all its runs would count as over. If the first
// report was the wrong one, its calls fail, and the right one is accepted once the first is
// forgotten.
func sameFixedFields(report, known *messenger.ServerReport) bool {
	return report.Address == known.Address && report.Service == known.Service && report.FailureDomain == known.FailureDomain
}

// recallReport adds a backend server that the keepers remember, unless it has reported itself or
// another incarnation is known at its address or under its id: that one is newer. It gets no start
// before it has answered a call.
func (allocator *Allocator) recallReport(report *messenger.ServerReport) {
	if report.FailureDomain != allocator.FailureDomain {
		return
	}
	if known := allocator.servers.Get(report.Server); known != nil {
		allocator.recallSpeed(known, report)
		return
	}
	if len(allocator.serverIndex.sharing(report)) > 0 {
		return
	}
	recalled := *report
	// The clock reading is old, and the server may have restarted since.
	recalled.Clock = 0
	allocator.join(&recalled)
}

// join adds a backend server.
//
// Of two incarnations at one address, the one that was reported last need not be the newer: its
// report may have been delayed, and a job's host may name a run on an older incarnation. Taken for
// the newer one, it would end the incarnation that is there, whose tasks would run twice; the log
// would show "replaced" for a server that goes on answering. So both are called instead.
func (allocator *Allocator) join(report *messenger.ServerReport) {
	if report.Gone {
		return
	}
	created := &server{report: *report, broadcastCapacity: report.Capacity, runLimit: healthSlots, reportedAt: allocator.now, factor: 1, healthFactor: 1}
	if !rater.IsPlausible(report.Speed) {
		created.report.Speed = 0
	}
	created.reset()
	created.oldLeasesEnd = allocator.oldLeasesEnd(created)
	allocator.raiseFence(created)
	if report.Clock > 0 {
		created.readClock(allocator.now, report.Clock)
	}
	for _, other := range allocator.otherIncarnations(created) {
		created.markContested(other)
		allocator.poll(other)
	}
	allocator.servers.Put(report.Server, created)
	allocator.serverIndex.add(created)
	allocator.rateServer(created)
	allocator.healthInputs = append(allocator.healthInputs, &assessor.ServerJoined{Server: assessedID(report.Server), Incarnation: 1, Slots: healthSlots})
	allocator.logDecision(messenger.Decision{Kind: messenger.DecisionServerJoined, Server: report.Server})
	allocator.scheduleForget(created)
	if allocator.Leads() {
		allocator.emit(&BroadcastReport{Report: created.report})
		allocator.poll(created)
	}
}

// otherIncarnations lists the other incarnations of a server, and at its address, that may not be
// over.
func (allocator *Allocator) otherIncarnations(known *server) []*server {
	return slices.DeleteFunc(allocator.serverIndex.sharing(&known.report), func(other *server) bool {
		return other == known || other.retired
	})
}

// resolveAddress ends the other incarnations at the address of a server that has answered a call
// which was sent after their last message arrived: incarnations at one address don't overlap.
func (allocator *Allocator) resolveAddress(answering *server, sentAt identifier.Moment) {
	answering.contested, answering.idContested = false, false
	for _, other := range allocator.otherIncarnations(answering) {
		if max(other.reportedAt, other.lastResponseAt).Before(sentAt) {
			// The answer was given under the later incarnation's fence, so it also counts for the
			// runs.
			allocator.replaceIncarnation(other, answering.report.Server, max(other.reportedAt, other.lastResponseAt))
			continue
		}
		answering.markContested(other)
	}
}

// joinUnannounced adds a backend server that only a job's host has named, since an earlier lead
// knew it. Its capacity is unknown, so it gets no start until it has reported itself; it is called
// to find out what became of the run.
func (allocator *Allocator) joinUnannounced(job *job, activeRun messenger.ActiveRun) *server {
	allocator.join(&messenger.ServerReport{
		Server: activeRun.Server, Service: job.request.Service, Address: activeRun.Address, FailureDomain: allocator.FailureDomain,
	})
	return allocator.servers.Get(activeRun.Server)
}

func (allocator *Allocator) scheduleForget(server *server) {
	due := allocator.now.Add(allocator.Settings.ForgetServer)
	allocator.timers.Set(timerKey{kind: timerServerForget, server: server.report.Server}, due)
}

// endIncarnation records that an incarnation of a backend server has provably ended: none of its
// runs goes on.
func (allocator *Allocator) endIncarnation(server *server, reason string) {
	allocator.recordUnannouncedEnd(server)
	allocator.retire(server, reason)
	allocator.stopCalling(server.report.Server)
	allocator.endAllRuns(server, "server gone")
}

// recordUnannouncedEnd charges the tasks of an incarnation that ends unannounced.
func (allocator *Allocator) recordUnannouncedEnd(server *server) {
	if !server.retired && !server.report.Draining {
		allocator.recordLoss(server)
	}
}

// handleLeave records that a backend server has announced its end. It ends once the announcement is
// answered, and until then its runs go on and may end well; if they were placed elsewhere on the
// announcement alone, a task would run twice. So the server is queried for its runs until the end.
func (allocator *Allocator) handleLeave(server *server) {
	allocator.retire(server, "left")
	if server.needsPolling() {
		allocator.poll(server)
		return
	}
	allocator.stopCalling(server.report.Server)
}

// retire excludes a backend server from new starts, and notifies the other hosts.
func (allocator *Allocator) retire(server *server, reason string) {
	if server.retired {
		return
	}
	server.retired = true
	allocator.logDecision(messenger.Decision{
		Kind: messenger.DecisionServerGone, Server: server.report.Server, Reason: reason, Tasks: len(server.runs),
	})
	if allocator.Leads() {
		gone := server.report
		gone.Gone = true
		allocator.emit(&BroadcastReport{Report: gone})
	}
}

// forgetServer removes a server that has given no sign for long and on which nothing can run any
// more. The id of an ended incarnation is kept as long, so that a late report doesn't bring it
// back. Missing responses prove no end: what runs there counts until it has lapsed.
func (allocator *Allocator) forgetServer(id identifier.ServerIncarnation) {
	known := allocator.servers.Get(id)
	if known == nil {
		return
	}
	if len(known.runs) > 0 || !known.retired && !allocator.Leads() {
		// Heartbeats go to the lead, which notifies the others when an incarnation has ended.
		allocator.scheduleForget(known)
		return
	}
	if !known.retired {
		allocator.logDecision(messenger.Decision{Kind: messenger.DecisionServerGone, Server: id, Reason: "not heard"})
		allocator.stopCalling(id)
	}
	allocator.servers.Remove(id)
	allocator.serverIndex.remove(known)
	allocator.rater.Remove(id)
	allocator.healthInputs = append(allocator.healthInputs, &assessor.ServerGone{Server: assessedID(id)})
}

// Reports returns the last reports of the backend servers that have not ended, for a host that has
// just joined.
func (allocator *Allocator) Reports() []messenger.ServerReport {
	var reports []messenger.ServerReport
	if allocator.servers == nil {
		return nil
	}
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		if !server.retired {
			reports = append(reports, server.report)
		}
		return true
	})
	return reports
}
