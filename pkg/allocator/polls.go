package allocator

import (
	"fmt"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/renewer"
)

// poll calls a backend server, unless a call is under way. One call at a time keeps the answers in
// order: what a later answer doesn't list has ended.
//
// The call may reach another incarnation under the same id, which numbers its ends from the start
// again. So it acknowledges no ends, except where it follows the answer that listed them.
func (allocator *Allocator) poll(server *server) { allocator.pollFrom(server, 0) }

// pollFrom calls a backend server, and acknowledges its ends up to the number cursor.
func (allocator *Allocator) pollFrom(server *server, cursor int64) {
	if server.polling || !server.needsPolling() || !allocator.Leads() {
		return
	}
	server.polling = true
	server.pollSequence++
	server.lastCallFence = server.fence
	call := &PollServer{
		Server: server.report.Server, Sequence: server.pollSequence, Address: server.report.Address, Epoch: server.fence, Cursor: cursor,
	}
	// A server that does not answer may carry the call out much later. A renewal would then keep
	// its runs going although they are counted as lapsed.
	slack := pollSlack
	if !server.silent && server.confirmed && len(server.runs) > 0 {
		call.Wait = allocator.Settings.pollWait()
		if server.hasWantedRun() && !server.hasUnwantedRun() && !allocator.superseded {
			call.LeaseEnd = allocator.extendLease(server)
		} else {
			// A run that its host reports now gets a lease with the next call only.
			call.Wait = min(call.Wait, unwantedWait)
		}
		if server.hasOpenReplacement() {
			call.Wait = 0
		}
		call.Wait = server.waitForAwaited(allocator.now, call.Wait)
		if !server.lossyUntil.Due(allocator.now) {
			call.Wait = min(call.Wait, lossyWait)
			slack = lossySlack
		}
	}
	call.Timeout = call.Wait + slack
	allocator.timers.Clear(pollTimer(server.report.Server))
	allocator.emit(call)
}

const (
	// pollSlack is how much longer than the call's wait this host waits for the answer. Wait and
	// slack together leave time for another call within the shortest lease, and more than half of the
	// default one.
	pollSlack = 150 * time.Millisecond
	// lossyTime is how long a server counts as one whose answers get lost: a few dozen calls.
	lossyTime = 5 * time.Second
	// lossyWait and lossySlack are the wait and the slack at such a server. While a call whose
	// answer was lost is under way, no end is learned, and users wait for it; a server that answers
	// takes about 1 ms.
	lossyWait = 60 * time.Millisecond
	// unwantedWait is the wait of a call that renews nothing: hosts report their runs within tens
	// of milliseconds after a change of the lead.
	unwantedWait = 60 * time.Millisecond
	lossySlack   = 40 * time.Millisecond
)

// extendLease returns the latest end that a lease may have now, and records it. It counts from the
// earliest time that the server's clock may show: from a later one the run would outlast the lease.
func (allocator *Allocator) extendLease(server *server) identifier.ServerTime {
	end := server.earliestClock(allocator.now) + identifier.ServerTime(allocator.Settings.Lease.Milliseconds())
	server.leaseEnd = max(server.leaseEnd, end)
	return end
}

func (allocator *Allocator) pollDue(id identifier.ServerIncarnation) {
	server := allocator.servers.Get(id)
	switch {
	case server == nil:
	case server.lastPollPartial:
		// Once acknowledged, a row that cannot be read is no longer listed.
		allocator.pollFrom(server, server.cursor)
	default:
		allocator.poll(server)
	}
}

// handlePoll handles the answer to the call that is under way. The answer to an earlier call, from
// before this host took the lead again, is ignored: it says nothing under the new epoch, and if it
// counted, two calls would overlap from then on and the older one could return last.
func (allocator *Allocator) handlePoll(input *PollReturned) {
	server := allocator.servers.Get(input.Server)
	if server == nil || !server.polling || input.Sequence != server.pollSequence {
		return
	}
	server.polling = false
	if !server.needsPolling() {
		return
	}
	switch input.Outcome {
	case CallAnswered:
		if server.isOtherIncarnation(input.Answering) {
			allocator.handleOtherIncarnation(server, input.Answering)
			return
		}
		allocator.handleRunList(server, input)
	case CallFenced:
		if allocator.refusedForOtherIncarnation(server) {
			allocator.poll(server)
			return
		}
		allocator.handleFenced(server)
		allocator.retryPoll(server)
		return
	case CallGone:
		allocator.endIncarnation(server, "another incarnation answers")
		return
	case CallUnanswered:
		if !server.silent {
			// Mostly a single answer was lost: a server that works answers at once.
			allocator.markSilent(server)
			allocator.poll(server)
			return
		}
		allocator.retryPoll(server)
		return
	}
	server.lastPollPartial = input.Partial
	if input.Partial {
		// A call is answered at once, each time, as long as an end is listed that cannot be read.
		allocator.retryPoll(server)
		return
	}
	switch {
	case server.hasOpenReplacement():
		allocator.retryPoll(server)
	case len(server.runs) > 0:
		allocator.pollFrom(server, server.cursor)
	}
}

// hasOpenReplacement reports whether something about an earlier incarnation is unresolved. An
// immediate answer resolves it.
func (server *server) hasOpenReplacement() bool { return server.idContested || server.moved > 0 }

func (allocator *Allocator) retryPoll(server *server) {
	due := allocator.now.Add(allocator.Settings.PollRetry)
	allocator.timers.Set(pollTimer(server.report.Server), due)
}

// markSilent records that a backend server doesn't answer. It gets no new starts, and its runs
// count as over once their lease has provably lapsed.
func (allocator *Allocator) markSilent(server *server) {
	if server.silent {
		return
	}
	server.silent = true
	allocator.logDecision(messenger.Decision{Kind: messenger.DecisionServerLost, Server: server.report.Server, Tasks: len(server.runs)})
	allocator.timers.Set(lapseTimer(server.report.Server), server.lapsesAt(allocator.now))
}

// handleFenced records that a backend server has seen a lead with a higher epoch. What this host
// knows of the server's runs is from before that lead's time and proves nothing any more: until the
// server has answered under a new epoch it gets no start, and no run there counts as over.
func (allocator *Allocator) handleFenced(refusing *server) {
	allocator.emit(&LeadFenced{Epoch: allocator.epoch})
	refusing.confirmed = false
	allocator.superseded = true
	// The other lead may also renew leases at servers that this one does not reach.
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		allocator.assumeOtherLeases(server)
		return true
	})
}

// assumeOtherLeases records that another lead may have granted leases at a server up to now.
//
// If leases were assumed up to the taking of the lead only, those that a lead granted later to a
// server that still accepted its calls would go on although their runs count as over. The log would
// show "lease lapsed" for a run that began less than a lease before.
func (allocator *Allocator) assumeOtherLeases(server *server) {
	server.oldLeasesEnd = allocator.oldLeasesEnd(server)
	if server.silent {
		allocator.timers.Set(lapseTimer(server.report.Server), server.lapsesAt(allocator.now))
	}
}

// handleOthersFollow records whether another host may still grant leases under an earlier epoch, at
// servers that this one does not reach.
func (allocator *Allocator) handleOthersFollow(following bool) {
	if !allocator.Leads() || allocator.othersFollow == following {
		return
	}
	allocator.othersFollow = following
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		if !server.confirmed {
			allocator.assumeOtherLeases(server)
		}
		return true
	})
}

// endLapsedRuns ends the runs of a silent server whose leases have lapsed.
func (allocator *Allocator) endLapsedRuns(id identifier.ServerIncarnation) {
	server := allocator.servers.Get(id)
	if server == nil || !server.silent {
		return
	}
	lapsed := server.lapsedRuns(allocator.now, allocator.Settings.Lease)
	allocator.recordLossOfRuns(server, lapsed)
	for _, run := range lapsed {
		run.settleStart()
		allocator.endRun(server, run, "lease lapsed")
	}
	if len(server.runs) > 0 {
		allocator.timers.Set(lapseTimer(id), allocator.now.Add(renewer.LapseMargin))
	}
}

// handleRunList reconciles the runs that a server lists as running and as ended with those known
// here.
func (allocator *Allocator) handleRunList(server *server, input *PollReturned) {
	server.readClock(allocator.now, input.Clock)
	server.lastResponseAt = allocator.now
	if server.matchesAnswering(input.Answering) {
		server.answeredCallAt = input.SentAt
	}
	allocator.scheduleForget(server)
	if server.silent {
		server.silent = false
		server.lossyUntil = allocator.now.Add(lossyTime)
		allocator.timers.Clear(lapseTimer(server.report.Server))
		allocator.logDecision(messenger.Decision{Kind: messenger.DecisionServerBack, Server: server.report.Server})
	}
	if !server.confirmed && !input.Partial {
		server.confirmed = true
		allocator.retryPlacement = true
		// Until this answer the server accepted calls of other leads.
		allocator.assumeOtherLeases(server)
	}
	if server.contested && server.matchesAnswering(input.Answering) {
		allocator.resolveAddress(server, input.SentAt)
	}
	for index := range input.Ended {
		allocator.handleEnd(server, &input.Ended[index])
	}
	listed := make(map[messenger.RunKey]bool, len(input.Running))
	for _, key := range input.Running {
		listed[key] = true
		allocator.confirmRun(server, key)
	}
	if !input.Partial {
		allocator.endUnlisted(server, listed, input.SentAt)
	}
}

// endUnlisted ends the runs that a complete list, the answer to a call sent at sentAt, leaves out.
// A list with rows that could not be read proves nothing about a missing run: one that goes on
// would be taken for over, and its task would be started again beside it.
func (allocator *Allocator) endUnlisted(server *server, listed map[messenger.RunKey]bool, sentAt identifier.Moment) {
	for key, run := range server.runs {
		if !listed[key] && run.absenceProvesEnd(sentAt) {
			if run.isAwaited() {
				run.settleStart()
			}
			allocator.endRun(server, run, "not listed")
		}
	}
}

// handleEnd handles a listed end, each one once.
func (allocator *Allocator) handleEnd(server *server, end *RunEnd) {
	if end.Number <= server.cursor && server.runs[end.Run] == nil {
		return
	}
	if end.Number <= server.cursor {
		allocator.logDecision(messenger.Decision{
			Kind: messenger.DecisionEndPassedOver, Job: end.Run.Job, Task: end.Run.Task, Run: end.Run.Run, Server: server.report.Server,
			Reason: fmt.Sprintf("number %d, taken up to %d", end.Number, server.cursor),
		})
		return
	}
	server.cursor = end.Number
	run := server.runs[end.Run]
	if run == nil {
		allocator.keepUnmatchedEnd(server, end.Run, end.Kind)
		return
	}
	if end.Kind == EndDone {
		allocator.completeRun(server, run)
		return
	}
	allocator.handleUnsuccessfulEnd(server, run, end.Kind)
}

// unmatchedEnd identifies a run that ended and that no job here has requested. The number alone
// does not identify it: it may have been given to a run on another server in the first submission
// of the job.
type unmatchedEnd struct {
	server identifier.ServerIncarnation
	run    messenger.RunKey
}

// keepUnmatchedEnd keeps an end for a job that is requested again after a change of the lead.
// Without it a task that has done its work would run once more.
func (allocator *Allocator) keepUnmatchedEnd(server *server, run messenger.RunKey, kind EndKind) {
	unmatched := unmatchedEnd{server: server.report.Server, run: run}
	allocator.unmatchedEnds.Put(unmatched, &kind)
	due := allocator.now.Add(allocator.Settings.ForgetJob)
	allocator.timers.Set(timerKey{kind: timerUnmatchedEndForget, server: unmatched.server, run: run}, due)
}
