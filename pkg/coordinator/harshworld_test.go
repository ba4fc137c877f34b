package coordinator_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// heartbeat is how often a backend server announces itself.
const heartbeat = 1500 * time.Millisecond

// latestCard is how late an announcement may come: it waits for a host that stands still.
const latestCard = 6 * time.Second

// harshFaults are faults of a part of the world only: one host can't reach one backend
// server, hosts stand still, announcements come late, callers come back.
type harshFaults struct {
	world *calledWorld
	cuts  map[cutKey]cut
	kinds harshKinds
	// sent are the jobs under way, by their last sending.
	sent map[identifier.JobID]sending
	// cards are the last announcements of lives that ended a short while ago.
	cards []messenger.ServerCard
}

// harshKinds are kinds of faults that a test may leave out, so that each has its own.
type harshKinds struct {
	// resends tells that callers leave and send their jobs again.
	resends bool
	// lateCards tells that announcements may come after the end of their life.
	lateCards bool
	// sameIDs tells that the lives at one address have one id, and tell when they began.
	sameIDs bool
	// evacuations tells that failure domains are evacuated and readmitted.
	evacuations bool
}

// cutKey names the way between a host and what stands at a backend server's address.
type cutKey struct {
	host  identifier.HostID
	place int
}

// cut tells until when calls, or their answers, don't get through.
type cut struct {
	there, back identifier.Moment
	// refused tells that a call fails at once and not by its timeout.
	refused bool
}

// sending is one sending of a job.
type sending struct {
	host   *fakeHost
	waiter supervisor.WaiterID
	tasks  int
	// again tells that the caller waits to send the job once more.
	again bool
}

func newHarshFaults(world *calledWorld, kinds harshKinds) *harshFaults {
	created := &harshFaults{world: world, kinds: kinds, cuts: make(map[cutKey]cut), sent: make(map[identifier.JobID]sending)}
	world.harsh = created
	return created
}

func (harsh *harshFaults) note(format string, arguments ...any) {
	line := fmt.Sprintf("%v ", time.Duration(harsh.world.network.now)) + fmt.Sprintf(format, arguments...)
	harsh.world.history = append(harsh.world.history, line)
}

// living lists the servers that live, or have died, in the order of their ids.
func (harsh *harshFaults) living() []*calledServer {
	var servers []*calledServer
	for _, server := range harsh.world.servers {
		if !server.dead {
			servers = append(servers, server)
		}
	}
	slices.SortFunc(servers, func(first, second *calledServer) int {
		return strings.Compare(string(first.card.Server), string(second.card.Server))
	})
	return servers
}

func (harsh *harshFaults) at(place int) *calledServer {
	for _, server := range harsh.living() {
		if server.place == place {
			return server
		}
	}
	return nil
}

// announce sends a card to some host, sometimes seconds later: to a host that stands
// still, or over a connection that loses packets.
func (harsh *harshFaults) announce(server *calledServer, card messenger.ServerCard) {
	world := harsh.world
	delay := hop
	if world.chance("late card", 9) == 0 {
		delay = time.Duration(world.chance("card delay", 6000)) * time.Millisecond
	}
	first := world.chance("card host", len(world.network.hosts)-1)
	world.network.at(delay, func() {
		if !server.dead || card.Gone || harsh.kinds.lateCards {
			harsh.deliver(server.place, card, first)
		}
	})
}

// deliver hands a card to the first host from a given one on that runs and is reached.
func (harsh *harshFaults) deliver(place int, card messenger.ServerCard, first int) {
	network := harsh.world.network
	for offset := range network.hosts {
		host := network.hosts[(first+offset)%len(network.hosts)]
		if host.coordinator != nil && !network.now.Before(harsh.cuts[cutKey{host.id, place}].back) {
			network.tick(host, &coordinator.CardAnnounced{Card: card})
			return
		}
	}
}

// call carries a call out as calledWorld.call does, under harsh faults.
func (harsh *harshFaults) call(host *fakeHost, id identifier.ServerIncarnation, timeout time.Duration, carryOut func(server *calledServer, reply func(answer func())), answer func(outcome allocator.CallOutcome)) {
	world, network := harsh.world, harsh.world.network
	generation, answered := host.generation, false
	finish := func(run func()) {
		if !answered && host.generation == generation {
			answered = true
			run()
		}
	}
	unanswered := func() { finish(func() { answer(allocator.CallUnanswered) }) }
	var expire func()
	expire = func() {
		if host.frozen {
			network.at(10*time.Millisecond, expire)
			return
		}
		unanswered()
	}
	network.at(timeout, expire)
	target := world.servers[id]
	if target == nil {
		return
	}
	way := cutKey{host.id, target.place}
	delay, silent := hop, false
	switch {
	case network.now.Before(harsh.cuts[way].there):
		if harsh.cuts[way].refused {
			network.at(hop, unanswered)
		}
		return
	case world.chance("call", 99) >= world.trouble:
	default:
		switch world.chance("how", 4) {
		case 0:
			return
		case 1:
			silent = true
		case 2:
			delay, silent = time.Duration(2+world.chance("late", 10))*time.Second, true
		case 3:
			delay = time.Duration(world.chance("slow call", 400)) * time.Millisecond
		case 4:
			network.at(hop, unanswered)
			return
		}
	}
	// What a server carries out seconds later ends with its life.
	queued := delay > time.Second
	network.at(delay, func() {
		if present := harsh.at(target.place); target.dead && present != nil && !queued && present.sharesIDWith(target) {
			target = present
		}
		if target.dead {
			if harsh.at(target.place) != nil {
				network.at(hop, func() { finish(func() { answer(allocator.CallGone) }) })
				return
			}
			network.at(hop, unanswered)
			return
		}
		carryOut(target, func(run func()) {
			if !silent && !network.now.Before(harsh.cuts[way].back) {
				network.at(hop, func() { finish(run) })
			}
		})
	})
}

func (server *calledServer) sharesIDWith(other *calledServer) bool {
	return server.card.Server.Server() == other.card.Server.Server()
}

// cutOff cuts the ways between hosts and one server's address for a while.
func (harsh *harshFaults) cutOff(hosts []*fakeHost, place int, lasts time.Duration, there, back, refused bool) {
	until := harsh.world.network.now.Add(lasts)
	for _, host := range hosts {
		key := cutKey{host.id, place}
		changed := harsh.cuts[key]
		if there {
			changed.there = until
		}
		if back {
			changed.back = until
		}
		changed.refused = refused
		harsh.cuts[key] = changed
		harsh.note("%s is cut off place %d for %v there %v back %v", host.id, place, lasts, there, back)
	}
}

// freeze lets a host stand still for a while. Messages wait for it; its steady clock
// stands still where the machine is suspended, and goes on where only its process is.
func (harsh *harshFaults) freeze(host *fakeHost, lasts time.Duration, clockStands bool) {
	if host.coordinator == nil || host.frozen {
		return
	}
	network := harsh.world.network
	harsh.note("%s is frozen for %v, clock stands %v", host.id, lasts, clockStands)
	host.frozen = true
	generation := host.generation
	network.at(lasts, func() {
		if host.generation != generation {
			return
		}
		harsh.note("%s wakes", host.id)
		host.frozen = false
		if clockStands {
			host.startedAt = host.startedAt.Add(lasts)
		}
		backlog := host.backlog
		host.backlog = nil
		for _, input := range backlog {
			network.tick(host, input)
		}
		network.tick(host)
	})
}

// leave shuts a host down gracefully; its process ends by a deadline at the latest, and
// answers its callers before.
func (harsh *harshFaults) leave(host *fakeHost, deadline time.Duration) {
	if host.coordinator == nil || host.frozen {
		return
	}
	network := harsh.world.network
	harsh.note("%s leaves", host.id)
	generation := host.generation
	network.tick(host, &coordinator.ShutdownRequested{})
	network.at(deadline, func() {
		if host.generation != generation {
			return
		}
		network.tick(host, &coordinator.SupervisorEvent{Event: &supervisor.HostEnds{}})
		network.at(time.Millisecond, func() {
			if host.generation == generation {
				harsh.crash(host)
			}
		})
	})
}

func (harsh *harshFaults) crash(host *fakeHost) {
	if host.coordinator != nil {
		harsh.note("%s crashes", host.id)
		harsh.world.network.crashHost(host)
	}
}

func (harsh *harshFaults) start(host *fakeHost) {
	if host.coordinator == nil {
		harsh.note("%s starts", host.id)
		harsh.world.network.startHost(host)
	}
}

// end ends the life of a backend server; the next stands at its address after a while.
func (harsh *harshFaults) end(server *calledServer, announced bool, next time.Duration, life int) {
	harsh.note("%s ends, announced %v", server.card.Server, announced)
	server.crash()
	harsh.cards = append(harsh.cards, server.card)
	harsh.world.network.at(latestCard, func() { harsh.cards = harsh.cards[1:] })
	if announced {
		gone := messenger.ServerCard{Server: server.card.Server, FailureDomain: server.card.FailureDomain, Gone: true}
		if harsh.kinds.sameIDs && harsh.world.chance("undated", 1) == 0 {
			gone.Server = identifier.UndatedIncarnation(server.card.Server.Server())
		}
		harsh.announce(server, gone)
	}
	harsh.world.network.at(next, func() {
		if harsh.at(server.place) == nil {
			harsh.world.startServer(server.place, life)
			harsh.note("place %d has life %d", server.place, life)
		}
	})
}

// send sends a job and remembers whom to.
func (harsh *harshFaults) send(host *fakeHost, id identifier.JobID, tasks int) {
	if host.coordinator == nil {
		return
	}
	harsh.sent[id] = sending{host: host, waiter: harsh.world.next + 1, tasks: tasks}
	harsh.note("%s is sent to %s, %d tasks", id, host.id, tasks)
	harsh.world.submit(host, id, tasks)
}

// resendAfter is how long a caller whose connection broke waits before it sends again.
const resendAfter = 1300 * time.Millisecond

// resend breaks the connection of some job's caller, who sends the job again. A host that
// stands still hears of the break when it wakes.
func (harsh *harshFaults) resend(id identifier.JobID, to *fakeHost, later time.Duration) {
	last, under := harsh.sent[id]
	if !under || last.again {
		return
	}
	last.again = true
	harsh.sent[id] = last
	harsh.note("the caller of %s leaves %s", id, last.host.id)
	harsh.world.network.tick(last.host, &coordinator.SupervisorEvent{Event: &supervisor.CallerLeft{Waiter: last.waiter, Job: id}})
	harsh.world.network.at(resendAfter+later, func() {
		if _, under := harsh.sent[id]; under && to.coordinator != nil {
			harsh.world.resent[id] = true
			harsh.send(to, id, last.tasks)
		}
	})
}

// answered takes the end of a job. A job that is done is not sent again.
func (harsh *harshFaults) answered(ended *supervisor.JobEnded) {
	if ended.Outcome == supervisor.OutcomeComplete {
		delete(harsh.sent, ended.Job)
	}
}

// jobs lists the jobs that are not done.
func (harsh *harshFaults) jobs() []identifier.JobID {
	var jobs []identifier.JobID
	for id := range harsh.sent {
		jobs = append(jobs, id)
	}
	slices.Sort(jobs)
	return jobs
}
