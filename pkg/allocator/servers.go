package allocator

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/assessor"
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
	// contested tells that another life at the same address may not be over.
	contested bool
	// cardAt is when its last card came.
	cardAt identifier.Moment
	// closedUntil is when it may get a start again after it refused one.
	closedUntil identifier.Moment
	// allowed is how many runs it may have at once, by its outcomes.
	allowed int
	// used is the room of all runs that are not surely over.
	used identifier.Resources
	runs map[messenger.RunKey]*run
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
	// cursor is the highest end that was taken note of.
	cursor int64
}

// clockDriftPerMille is how slow a backend server's clock may be.
const clockDriftPerMille = 20

// reset forgets what holds only under one lead.
func (server *server) reset() {
	server.confirmed = false
	server.used = identifier.Resources{}
	server.runs = make(map[messenger.RunKey]*run)
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

// usable tells whether the server may get a start now.
func (server *server) usable(now identifier.Moment) bool {
	return server.confirmed && !server.silent && !server.retired && !server.card.Draining &&
		server.closedUntil.Due(now) && len(server.runs) < server.allowed
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

// takeCard takes what a backend server says about itself, unless a later card was
// taken. A card of a life that has ended brings nothing back.
func (allocator *Allocator) takeCard(card *messenger.ServerCard) {
	known := allocator.servers.Get(card.Server)
	if known == nil {
		if card.FailureDomain == allocator.FailureDomain {
			allocator.join(card)
		}
		return
	}
	if known.retired || card.Sequence < known.card.Sequence && !card.Gone {
		return
	}
	if card.Gone {
		allocator.leave(known)
		return
	}
	if !sameLife(card, &known.card) {
		return
	}
	known.cardAt = allocator.now
	leaves := card.Draining && !known.card.Draining
	// A server that drains never stops draining within one life.
	draining := known.card.Draining || card.Draining
	known.card = *card
	known.card.Draining = draining
	if card.Clock > 0 {
		known.readClock(allocator.now, card.Clock)
	}
	if leaves {
		allocator.decided(messenger.Decision{Kind: messenger.DecisionServerLeaves, Server: card.Server, Tasks: len(known.runs)})
	}
	if leaves && allocator.Leads() {
		allocator.emit(&ShareCard{Card: known.card})
	}
	allocator.awaitForget(known)
}

// sameLife tells whether two cards agree in what is fixed for a life of a backend server.
// A card that doesn't is not its own: calls would go where another life denies the id, by
// which this one and all its runs would count as over. Where the first card was the wrong
// one, its calls fail, and the right one is taken up once the first is forgotten.
func sameLife(card, known *messenger.ServerCard) bool {
	return card.Address == known.Address && card.Service == known.Service && card.FailureDomain == known.FailureDomain
}

// recallCard takes up a backend server that is remembered, unless it has announced itself
// or another life is known at its address: that one is newer. It gets nothing before it
// has answered a call.
func (allocator *Allocator) recallCard(card *messenger.ServerCard) {
	if allocator.servers.Get(card.Server) != nil || card.FailureDomain != allocator.FailureDomain {
		return
	}
	newer := false
	allocator.servers.Each(func(_ identifier.BackendServerID, other *server) bool {
		newer = other.card.Address == card.Address
		return !newer
	})
	if newer {
		return
	}
	recalled := *card
	// The clock's reading is old, and the life may have begun anew.
	recalled.Clock = 0
	allocator.join(&recalled)
}

// join takes up a backend server.
//
// Of two lives at one address the one that was heard of last need not be the newer: its card
// may have been held up on the way, and a job's host may name a run on an older life. Taken
// for the newer one it would end the life that is there, whose tasks would run twice; the log
// would show "replaced" for a server that goes on answering. Both are called instead.
func (allocator *Allocator) join(card *messenger.ServerCard) {
	if card.Gone {
		return
	}
	created := &server{card: *card, allowed: healthSlots, cardAt: allocator.now}
	created.reset()
	created.oldLeasesEnd = allocator.oldLeasesEnd()
	if card.Clock > 0 {
		created.readClock(allocator.now, card.Clock)
	}
	for _, other := range allocator.othersAt(created) {
		created.contested, other.contested = true, true
		allocator.hold(other)
	}
	allocator.servers.Put(card.Server, created)
	allocator.judged = append(allocator.judged, &assessor.ServerJoined{Server: card.Server, Incarnation: 1, Slots: healthSlots})
	allocator.decided(messenger.Decision{Kind: messenger.DecisionServerJoined, Server: card.Server})
	allocator.awaitForget(created)
	if allocator.Leads() {
		allocator.emit(&ShareCard{Card: *card})
		allocator.hold(created)
	}
}

// othersAt lists the other lives at a server's address that may not be over.
func (allocator *Allocator) othersAt(known *server) []*server {
	var others []*server
	allocator.servers.Each(func(_ identifier.BackendServerID, other *server) bool {
		if other != known && !other.retired && other.card.Address == known.card.Address {
			others = append(others, other)
		}
		return true
	})
	return others
}

// settleAddress ends the other lives at the address of a server that has answered a call
// which was sent after the last word of theirs came: lives at one address don't overlap.
func (allocator *Allocator) settleAddress(answering *server, sentAt identifier.Moment) {
	answering.contested = false
	for _, other := range allocator.othersAt(answering) {
		if max(other.cardAt, other.heardAt).Before(sentAt) {
			allocator.endLife(other, "replaced by "+string(answering.card.Server))
			continue
		}
		answering.contested = true
	}
}

// joinUnannounced takes up a backend server that only a job's host has told of: an
// earlier lead knew it. Nothing is known of its room, so it gets nothing until it has
// announced itself; it is called to find out what became of the run.
func (allocator *Allocator) joinUnannounced(job *job, held messenger.HeldRun) *server {
	allocator.join(&messenger.ServerCard{
		Server: held.Server, Service: job.request.Service, Address: held.Address, FailureDomain: allocator.FailureDomain,
	})
	return allocator.servers.Get(held.Server)
}

// oldLeasesEnd is when every lease has lapsed that another lead may have given up to
// now, by clocks as slow as they may be.
func (allocator *Allocator) oldLeasesEnd() identifier.Moment {
	return allocator.now.Add(allocator.Settings.Lease*1000/(1000-clockDriftPerMille) + lapseMargin)
}

func (allocator *Allocator) awaitForget(server *server) {
	due := allocator.now.Add(allocator.Settings.ForgetServer)
	allocator.timers.Set(timerKey{kind: timerServerForget, server: server.card.Server}, due)
}

// endLife notes that a life of a backend server has surely ended: nothing of it runs.
func (allocator *Allocator) endLife(server *server, reason string) {
	allocator.retire(server, reason)
	allocator.stopCalling(server.card.Server)
	allocator.endAllRuns(server, "server gone")
}

// leave notes that a backend server has announced its end. It ends once the announcement is
// answered, and until then what runs there goes on and may end well; placed elsewhere on the
// word alone a task would run twice. So the server is asked for its runs to the last.
func (allocator *Allocator) leave(server *server) {
	allocator.retire(server, "left")
	if server.toCall() {
		allocator.hold(server)
		return
	}
	allocator.stopCalling(server.card.Server)
}

// retire keeps new starts from a backend server, and tells the other hosts.
func (allocator *Allocator) retire(server *server, reason string) {
	if server.retired {
		return
	}
	server.retired = true
	allocator.decided(messenger.Decision{
		Kind: messenger.DecisionServerGone, Server: server.card.Server, Reason: reason, Tasks: len(server.runs),
	})
	if allocator.Leads() {
		gone := server.card
		gone.Gone = true
		allocator.emit(&ShareCard{Card: gone})
	}
}

func holdTimer(server identifier.BackendServerID) timerKey {
	return timerKey{kind: timerHold, server: server}
}

func lapseTimer(server identifier.BackendServerID) timerKey {
	return timerKey{kind: timerServerLapse, server: server}
}

// stopCalling makes no more calls to a server and waits for no lease of it.
func (allocator *Allocator) stopCalling(server identifier.BackendServerID) {
	allocator.timers.Clear(holdTimer(server))
	allocator.timers.Clear(lapseTimer(server))
}

// forgetServer drops a server that has not been heard for long and on which nothing can
// run any more. The id of an ended life is kept as long, so that a late card doesn't
// bring it back. Silence proves no end: what runs there counts until it has lapsed.
func (allocator *Allocator) forgetServer(id identifier.BackendServerID) {
	known := allocator.servers.Get(id)
	if known == nil {
		return
	}
	if len(known.runs) > 0 || !known.retired && !allocator.Leads() {
		// Heartbeats go to the lead, which tells the others when a life has ended.
		allocator.awaitForget(known)
		return
	}
	if !known.retired {
		allocator.decided(messenger.Decision{Kind: messenger.DecisionServerGone, Server: id, Reason: "not heard"})
		allocator.stopCalling(id)
	}
	allocator.servers.Remove(id)
	allocator.judged = append(allocator.judged, &assessor.ServerGone{Server: id})
}

// Cards returns what is known of the living backend servers, for a host that has
// just come.
func (allocator *Allocator) Cards() []messenger.ServerCard {
	var cards []messenger.ServerCard
	if allocator.servers == nil {
		return nil
	}
	allocator.servers.Each(func(_ identifier.BackendServerID, server *server) bool {
		if !server.retired {
			cards = append(cards, server.card)
		}
		return true
	})
	return cards
}
