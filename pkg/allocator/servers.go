package allocator

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// server is one life of a backend server.
type server struct {
	card messenger.ServerCard
	// confirmed tells that it has answered whole under this lead's epoch: what runs there is
	// known, and no earlier lead can start anything.
	confirmed bool
	// silent tells that the last call got no answer; it gets nothing new.
	silent bool
	// retired tells that the life has ended, or has announced its end: it gets nothing new.
	// What it still runs is over when a call proves it.
	retired bool
	// fence is that of this lead's calls to the life; zero while another host leads. It is above
	// those of the lives before under the same id, so that a start that was sent to one of them is
	// refused by the next.
	fence identifier.Epoch
	// calledUnder is the fence of the last call.
	calledUnder identifier.Epoch
	// contested tells that another life at the same address, or of the same id, may not be over.
	contested bool
	// doubled tells that one of these has the same id: calls to one of the two reach the other.
	doubled bool
	// shared is the least capacity that the other hosts were told of.
	shared identifier.Resources
	// cardAt is when its last card came.
	cardAt identifier.Moment
	// closedUntil is when it may get a start again after it refused one.
	closedUntil identifier.Moment
	// allowed is how many runs it may have at once, by its outcomes.
	allowed int
	// used is the room of all runs that are not surely over.
	used identifier.Resources
	runs map[messenger.RunKey]*run
	// moved counts the runs that were granted on an earlier life.
	moved int
	// suspects counts the runs under whose tasks servers may crash.
	suspects int
	// clock was the server's clock at clockAt or a little later.
	clock   identifier.ServerTime
	clockAt identifier.Moment
	// leaseEnd is the latest lease that any order may have given.
	leaseEnd identifier.ServerTime
	// oldLeasesEnd is when every lease has surely lapsed that an earlier lead gave.
	oldLeasesEnd identifier.Moment
	// holding tells that a call is under way; holds is the sequence of the last one.
	holding bool
	holds   uint64
	// losesUntil is until when its answers count as often lost.
	losesUntil identifier.Moment
	// heardAt is when its last answer came.
	heardAt identifier.Moment
	// partlyRead tells that rows of the last answer could not be read.
	partlyRead bool
	// cursor is the highest end of this life that was taken note of.
	cursor int64
}

// clockDriftPerMille is how slow a backend server's clock may be.
const clockDriftPerMille = 20

// reset forgets what holds only under one lead.
func (server *server) reset() {
	server.confirmed = false
	server.used = identifier.Resources{}
	server.runs = make(map[messenger.RunKey]*run)
	server.suspects, server.moved = 0, 0
	server.holding = false
	server.closedUntil = 0
}

// estimatedClock is about what the server's clock says now, rather too early.
func (server *server) estimatedClock(now identifier.Moment) identifier.ServerTime {
	return server.clock + identifier.ServerTime(now.Sub(server.clockAt)/time.Millisecond)
}

// earliestClock is what the server's clock says now at least, slow as it may be.
func (server *server) earliestClock(now identifier.Moment) identifier.ServerTime {
	passed := now.Sub(server.clockAt) * (1000 - clockDriftPerMille) / 1000
	return server.clock + identifier.ServerTime(passed/time.Millisecond)
}

// readClock takes a reading, unless what is known is ahead of it: the reading may
// have been under way for long.
func (server *server) readClock(now identifier.Moment, reading identifier.ServerTime) {
	if reading > server.earliestClock(now) || server.clockAt == 0 {
		server.clock = reading
		server.clockAt = now
	}
}

// lapsesAt is when all that runs there is surely over without a renewal.
func (server *server) lapsesAt(now identifier.Moment) identifier.Moment {
	left := time.Duration(server.leaseEnd-server.earliestClock(now)) * time.Millisecond
	return max(now.Add(max(left, 0)*1000/(1000-clockDriftPerMille)+lapseMargin), server.oldLeasesEnd)
}

// lapseMargin covers the rounding of clocks to milliseconds and the time that a
// server takes to end what has lapsed.
const lapseMargin = 60 * time.Millisecond

// usable tells whether the server may get a start now. A start renews the leases of all that runs
// there, as a hold does.
func (server *server) usable(now identifier.Moment) bool {
	return server.confirmed && !server.silent && !server.retired && !server.card.Draining && !server.doubled &&
		server.closedUntil.Due(now) && len(server.runs) < server.allowed && !server.hasUnwantedRun()
}

// standing names what is known of what runs on the server, for the log.
func (server *server) standing() string {
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

// announced tells whether the server has told of itself; else it is known from a job's host, or from
// an answer in place of an earlier life, and nothing of its room is known.
func (server *server) announced() bool { return server.card.Capacity != identifier.Resources{} }

func (server *server) free() identifier.Resources { return server.card.Capacity.Sub(server.used) }

// toCall tells whether something is to be learned from the server.
func (server *server) toCall() bool { return !server.retired || len(server.runs) > 0 }

// hasWantedRun tells whether some job here wants a run of the server to go on. For others the
// lease is not renewed: a run whose host is gone would go on under it for as long as stops of
// it get no answer, and its caller comes back a little more than a lease later.
func (server *server) hasWantedRun() bool {
	for _, run := range server.runs {
		if run.job != nil && !run.stopping {
			return true
		}
	}
	return false
}

func (server *server) hasLabel(label string) bool {
	return label == "" || slices.Contains(server.card.Labels, label)
}

// hasUnwantedRun tells whether the server lists a run that no job wants and that has not been
// stopped for certain. A lease holds for all that runs on a server: renewed for other jobs it
// would keep that run at work from one lead to the next, until a lead which has not heard the
// server is sent the job again. The log would show a run that lapses seconds after its stop.
func (server *server) hasUnwantedRun() bool {
	for _, run := range server.runs {
		if run.confirmed && (run.job == nil || run.stopping && !run.stopAnswered) {
			return true
		}
	}
	return false
}

// oldLeasesEnd is when every lease has lapsed that another lead may have given at a server up
// to now, by clocks as slow as they may be.
//
// A former lead that nobody has told of its end renews for as long as it is answered, at a
// server that has not seen this lead's epoch. So there the leases have no end before every
// host that might lead has said that it doesn't; counted from the taking of the lead, the log
// would show "lease lapsed" for a run that goes on.
func (allocator *Allocator) oldLeasesEnd(server *server) identifier.Moment {
	if !server.confirmed && !allocator.othersFollow {
		return identifier.Never
	}
	return allocator.now.Add(allocator.Settings.Lease*1000/(1000-clockDriftPerMille) + lapseMargin)
}

func holdTimer(server identifier.ServerIncarnation) timerKey {
	return timerKey{kind: timerHold, server: server}
}

func lapseTimer(server identifier.ServerIncarnation) timerKey {
	return timerKey{kind: timerServerLapse, server: server}
}

// stopCalling makes no more calls to a server and waits for no lease of it.
func (allocator *Allocator) stopCalling(server identifier.ServerIncarnation) {
	allocator.timers.Clear(holdTimer(server))
	allocator.timers.Clear(lapseTimer(server))
}
