package allocator

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/renewer"
)

// assessedID is the id under which the outcomes of an incarnation are assessed: each incarnation is
// assessed anew.
func assessedID(server identifier.ServerIncarnation) identifier.BackendServerID {
	return identifier.BackendServerID(server)
}

// isOtherIncarnation reports whether an answer came from another incarnation than the called one.
// An undated incarnation cannot be told apart from others.
func (server *server) isOtherIncarnation(answering identifier.ServerIncarnation) bool {
	return server.report.Server.Dated() && answering.Dated() && answering != server.report.Server
}

// matchesAnswering reports whether an answer names this incarnation as the one that gave it.
func (server *server) matchesAnswering(answering identifier.ServerIncarnation) bool {
	return answering == server.report.Server || !server.report.Server.Dated() && !answering.Dated()
}

// sharesID reports whether an incarnation has the same server id.
func (server *server) sharesID(other identifier.ServerIncarnation) bool {
	return server.report.Server.Server() == other.Server()
}

// markContested records that one of two incarnations is over, and that it is not known yet which.
func (server *server) markContested(other *server) {
	server.contested, other.contested = true, true
	if server.sharesID(other.report.Server) {
		server.idContested, other.idContested = true, true
	}
}

// answeringIncarnation returns the incarnation that answered in place of another one. If it has not
// reported yet, its capacity is unknown, and it gets no start before it has.
func (allocator *Allocator) answeringIncarnation(called *server, answering identifier.ServerIncarnation) *server {
	if known := allocator.servers.Get(answering); known != nil {
		return known
	}
	allocator.join(&messenger.ServerReport{
		Server: answering, Service: called.report.Service, Address: called.report.Address, FailureDomain: called.report.FailureDomain,
	})
	return allocator.servers.Get(answering)
}

// raiseFence gives the calls to an incarnation a fence above all that were used under this epoch.
// An undated incarnation has an id of its own and needs no such fence.
func (allocator *Allocator) raiseFence(server *server) {
	if !allocator.Leads() {
		return
	}
	server.fence = allocator.epoch
	if server.report.Server.Dated() {
		allocator.fencesIssued++
		server.fence += allocator.fencesIssued
	}
}

// handleOtherIncarnation handles an answer that came from another incarnation than the called one.
func (allocator *Allocator) handleOtherIncarnation(server *server, answering identifier.ServerIncarnation) {
	allocator.replaceIncarnation(server, answering, allocator.now)
	if successor := allocator.servers.Get(answering); successor.hasOpenReplacement() {
		allocator.poll(successor)
	}
}

// refusedForOtherIncarnation reports whether a call to an incarnation was refused because one to
// another incarnation under its id had a higher fence, and in this case raises the fence above
// that.
func (allocator *Allocator) refusedForOtherIncarnation(server *server) bool {
	if allocator.fencedBySameID(server) {
		allocator.raiseFence(server)
	}
	return server.lastCallFence < server.fence
}

// fencedBySameID reports whether a call to another incarnation under the same id has raised the
// fence there.
func (allocator *Allocator) fencedBySameID(refused *server) bool {
	return slices.ContainsFunc(allocator.serverIndex.byID[refused.report.Server.Server()], func(other *server) bool {
		return other.fence > refused.fence
	})
}

// replaceIncarnation ends an incarnation in whose place another one answers. Its runs are over if
// the other one's answer to a call that was sent after the given moment doesn't list them.
func (allocator *Allocator) replaceIncarnation(server *server, answering identifier.ServerIncarnation, after identifier.Moment) {
	allocator.recordUnannouncedEnd(server)
	reason := "replaced by " + string(answering)
	allocator.retire(server, reason)
	successor := allocator.answeringIncarnation(server, answering)
	if server.sharesID(successor.report.Server) {
		if successor.fence < server.fence {
			allocator.raiseFence(successor)
			after = allocator.now
		}
		allocator.moveRuns(server, successor, after)
	}
	allocator.endIncarnation(server, reason)
}

// moveRuns moves the runs of an incarnation to the next one under its id. None of them goes on, but
// a start that was under way, or repeated for lack of an answer, may have begun one of them anew
// before the next incarnation was called under its higher fence.
func (allocator *Allocator) moveRuns(server, successor *server, after identifier.Moment) {
	if successor.retired {
		return
	}
	for _, moved := range server.runsInOrder() {
		listed := successor.runs[moved.key]
		if listed != nil && listed.job != nil {
			continue
		}
		allocator.detach(server, moved)
		moved.confirmed = listed != nil
		if listed != nil {
			allocator.releaseRun(successor, listed)
		}
		moved.server = successor.report.Server
		moved.absentAfter = after
		moved.moved = !moved.confirmed
		allocator.attach(successor, moved)
		allocator.resumeRun(moved)
	}
}

// resumeRun continues what was under way for a run at the previous incarnation.
func (allocator *Allocator) resumeRun(moved *run) {
	if moved.stopping {
		moved.stopAnswered = false
		allocator.sendStop(moved)
		return
	}
	if moved.job != nil {
		allocator.timers.Set(overdueTimer(moved), moved.grantedAt.Add(moved.overdueAfter(slowAfter)))
	}
}

const (
	// startTransit is how long a start call may be under way before a process has received it.
	startTransit = 400 * time.Millisecond
	// startRepeatWindow is how long after the grant a start call may be repeated for lack of an answer.
	startRepeatWindow = 300 * time.Millisecond
)

// lapsedRuns lists the runs of a silent server that are over once its leases have lapsed. Leases
// lapse by the clock of the server's incarnation. A start that reaches another incarnation of the
// id, whose clock began anew, grants a whole lease from then on: a run that was not listed may have
// begun this way.
func (server *server) lapsedRuns(now identifier.Moment, lease time.Duration) []*run {
	runs := server.runsInOrder()
	if !server.report.Server.Dated() {
		return runs
	}
	longest := renewer.LapseTime(lease)
	return slices.DeleteFunc(runs, func(run *run) bool {
		return !run.confirmed && !run.lastStartAt().Add(longest).Due(now)
	})
}

// lastStartAt is the latest moment at which a start of the run may arrive.
func (run *run) lastStartAt() identifier.Moment {
	if run.isAwaited() {
		return run.unsettled.arrivesUntil
	}
	return run.grantedAt.Add(startRepeatWindow + startTransit)
}

// confirmMoved records that a run which was granted on an earlier incarnation is at work on this
// one.
func (server *server) confirmMoved(known *run) {
	if known.moved {
		known.moved = false
		server.moved--
	}
}

// attach adds a run to a server and its capacity to the server's used capacity.
func (allocator *Allocator) attach(server *server, moved *run) {
	server.runs[moved.key] = moved
	server.used = server.used.Add(moved.needs)
	if moved.suspect {
		server.suspects++
	}
	if moved.moved {
		server.moved++
	}
}

// detach removes a run from a server, with its timers and its used capacity.
func (allocator *Allocator) detach(server *server, moved *run) {
	delete(server.runs, moved.key)
	server.used = server.used.Sub(moved.needs)
	if moved.suspect {
		server.suspects--
	}
	if moved.moved {
		server.moved--
	}
	allocator.timers.Clear(stopTimer(moved))
	allocator.timers.Clear(overdueTimer(moved))
}

// handleUndatedLeave handles a leave that does not say which incarnation has ended. A server
// reports that it drains before it ends, so an incarnation that has not drained is not the one; it
// is called, and its answer shows whether it is there.
func (allocator *Allocator) handleUndatedLeave(id identifier.BackendServerID) {
	allocator.servers.Each(func(incarnation identifier.ServerIncarnation, server *server) bool {
		switch {
		case server.retired || incarnation.Server() != id:
		case server.report.Draining:
			allocator.handleLeave(server)
		default:
			allocator.poll(server)
		}
		return true
	})
}
