package allocator

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/renewer"
)

// server is one incarnation of a backend server.
type server struct {
	report messenger.ServerReport
	// order is its position in the order in which the incarnations became known.
	order uint64
	// confirmed is set once it has given a complete answer under this lead's epoch: its runs are
	// known, and no earlier lead can start anything.
	confirmed bool
	// silent is set if the last call got no answer; it gets no new starts.
	silent bool
	// retired is set once the incarnation has ended, or has announced its end: it gets no new
	// starts. What it still runs is over when a call proves it.
	retired bool
	// fence is the fence of this lead's calls to the incarnation; zero while another host leads. It
	// is above those of the previous incarnations under the same id, so that a start that was sent
	// to one of them is refused by the next.
	fence identifier.Epoch
	// lastCallFence is the fence of the last call.
	lastCallFence identifier.Epoch
	// contested is set while another incarnation at the same address, or of the same id, may not be
	// over.
	contested bool
	// idContested is set if one of these has the same id: calls to one of the two reach the other.
	idContested bool
	// broadcastCapacity is the smallest capacity that was broadcast to the other hosts.
	broadcastCapacity identifier.Resources
	// reportedAt is when its last report came.
	reportedAt identifier.Moment
	// refusesUntil is until when it gets no start after it refused one.
	refusesUntil identifier.Moment
	// runLimit is how many runs it may have at once, as assessed by its outcomes.
	runLimit int
	// factor is how much longer than on a usual server tasks take, healthFactor the same for the
	// assessment of its health.
	factor, healthFactor float64
	// used is the capacity of all runs that are not provably over.
	used identifier.Resources
	runs map[messenger.RunKey]*run
	// moved counts the runs that were granted on an earlier incarnation.
	moved int
	// suspects counts the runs under whose tasks servers may crash.
	suspects int
	// clock is the reading of the server's clock at clockAt or a little later.
	clock   identifier.ServerTime
	clockAt identifier.Moment
	// leaseEnd is the latest end of a lease that any call of this lead may have granted.
	leaseEnd identifier.ServerTime
	// oldLeasesEnd is when every lease that an earlier lead granted has provably lapsed.
	oldLeasesEnd identifier.Moment
	// polling is set while a call is under way; pollSequence is the number of the last one.
	polling      bool
	pollSequence uint64
	// lossyUntil is until when its answers are assumed to get lost often.
	lossyUntil identifier.Moment
	// lastResponseAt is when its last answer came.
	lastResponseAt identifier.Moment
	// answeredCallAt is when the last call was made that provably this incarnation has answered.
	answeredCallAt identifier.Moment
	// lastPollPartial is set if rows of the last answer could not be read.
	lastPollPartial bool
	// cursor is the highest number of an end of this incarnation that was handled.
	cursor int64
}

// reset drops the state that is valid under one epoch only.
func (server *server) reset() {
	server.confirmed = false
	server.used = identifier.Resources{}
	server.runs = make(map[messenger.RunKey]*run)
	server.suspects, server.moved = 0, 0
	server.polling = false
	server.refusesUntil = 0
}

// earliestClock is the least that the server's clock may show now, allowing for its drift.
func (server *server) earliestClock(now identifier.Moment) identifier.ServerTime {
	passed := now.Sub(server.clockAt) * (1000 - renewer.ClockDriftPerMille) / 1000
	return server.clock + identifier.ServerTime(passed/time.Millisecond)
}

// readClock adopts a clock reading, unless the known one is ahead of it: the reading may have been
// under way for long.
func (server *server) readClock(now identifier.Moment, reading identifier.ServerTime) {
	if reading > server.earliestClock(now) || server.clockAt == 0 {
		server.clock = reading
		server.clockAt = now
	}
}

// lapsesAt is when all runs there are provably over if no lease is renewed.
func (server *server) lapsesAt(now identifier.Moment) identifier.Moment {
	left := time.Duration(server.leaseEnd-server.earliestClock(now)) * time.Millisecond
	return max(now.Add(renewer.LapseTime(max(left, 0))), server.oldLeasesEnd)
}

// usable reports whether the server may get a start now. A start renews the leases of all that runs
// there, as a poll does.
func (server *server) usable(now identifier.Moment) bool {
	return server.confirmed && !server.silent && !server.retired && !server.report.Draining && !server.idContested &&
		server.refusesUntil.Due(now) && len(server.runs) < server.runLimit && !server.hasUnwantedRun()
}

// knownState describes what is known of the server's runs, for the log.
func (server *server) knownState() string {
	switch {
	case server.retired:
		return "its server has ended, or says that it leaves"
	case server.silent:
		return "its server is silent"
	case !server.confirmed:
		return "its server was not heard under this epoch"
	default:
		return "its server was heard under this epoch"
	}
}

// hasReported reports whether the server has sent a report. Otherwise it is known from a job's
// host, or from an answer in place of an earlier incarnation, and its capacity is unknown.
func (server *server) hasReported() bool { return server.report.Capacity != identifier.Resources{} }

func (server *server) free() identifier.Resources { return server.report.Capacity.Sub(server.used) }

// needsPolling reports whether calls to the server can still bring news.
func (server *server) needsPolling() bool { return !server.retired || len(server.runs) > 0 }

// hasWantedRun reports whether some job here wants a run of the server to go on. For other runs the
// lease is not renewed: a run whose host is gone would go on under it for as long as stops of it
// get no answer, and its caller comes back a little more than a lease later.
func (server *server) hasWantedRun() bool {
	for _, run := range server.runs {
		if run.job != nil && !run.stopping {
			return true
		}
	}
	return false
}

func (server *server) hasLabel(label string) bool {
	return label == "" || slices.Contains(server.report.Labels, label)
}

// hasUnwantedRun reports whether the server lists a run that no job wants and whose stop is not
// confirmed. A lease covers all that runs on a server: renewed for other jobs it would keep that
// run going from one lead to the next, until the job is resubmitted to a lead that has no answer of
// the server. The log would show a run that lapses seconds after its stop.
func (server *server) hasUnwantedRun() bool {
	for _, run := range server.runs {
		if run.confirmed && (run.job == nil || run.stopping && !run.stopAnswered) {
			return true
		}
	}
	return false
}

// oldLeasesEnd is when every lease has lapsed that another lead may have granted at a server up to
// now, by clocks as slow as they may be.
//
// A former lead that has not learned of its end renews for as long as the server answers it, if the
// server has not seen this lead's epoch. So leases there have no known end before every host that
// might lead has confirmed that it doesn't. If it were counted from the taking of the lead, the log
// would show "lease lapsed" for a run that goes on.
func (allocator *Allocator) oldLeasesEnd(server *server) identifier.Moment {
	if !server.confirmed && !allocator.othersFollow {
		return identifier.Never
	}
	return allocator.now.Add(renewer.LapseTime(allocator.Settings.Lease))
}

func pollTimer(server identifier.ServerIncarnation) timerKey {
	return timerKey{kind: timerPoll, server: server}
}

func lapseTimer(server identifier.ServerIncarnation) timerKey {
	return timerKey{kind: timerServerLapse, server: server}
}

// stopCalling makes no more calls to a server and waits for no lease of it.
func (allocator *Allocator) stopCalling(server identifier.ServerIncarnation) {
	allocator.timers.Clear(pollTimer(server))
	allocator.timers.Clear(lapseTimer(server))
}
