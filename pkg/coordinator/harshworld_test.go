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

// heartbeatInterval is how often a backend server sends a report.
const heartbeatInterval = 1500 * time.Millisecond

// maxReportDelay is how late a report may arrive: it waits for a paused host.
const maxReportDelay = 6 * time.Second

// harshFaults adds partial faults to a world: one host can't reach one backend server, hosts are
// paused, reports arrive late, callers resubmit jobs.
type harshFaults struct {
	world *calledWorld
	cuts  map[pathKey]cut
	kinds harshKinds
	// submissions holds the last submission of each unfinished job.
	submissions map[identifier.JobID]submission
	// oldReports are the last reports of incarnations that ended less than maxReportDelay ago.
	oldReports []messenger.ServerReport
}

// harshKinds selects the kinds of faults that not every test has.
type harshKinds struct {
	// resends has callers leave and resubmit their jobs.
	resends bool
	// lateReports lets reports arrive after the end of their incarnation.
	lateReports bool
	// sameIDs gives the incarnations at one address the same server id, with their start times.
	sameIDs bool
	// evacuations has failure domains evacuated and readmitted.
	evacuations bool
	// mixedFleet draws sizes of hosts, and sizes and speeds of servers, at each of their starts.
	mixedFleet bool
	// overloads lets hosts fall behind.
	overloads bool
	// longLeases lets servers accept longer leases than callers wait before they resubmit.
	longLeases bool
}

// pathKey identifies the path between a host and the server at an address.
type pathKey struct {
	host    identifier.HostID
	address int
}

// cut is until when calls, or their answers, are lost on a path.
type cut struct {
	callsLostUntil, answersLostUntil identifier.Moment
	// refused makes a call fail at once instead of after its timeout.
	refused bool
}

// submission is one submission of a job.
type submission struct {
	host   *fakeHost
	waiter supervisor.WaiterID
	tasks  int
	// resubmitting is set while the caller waits to resubmit the job.
	resubmitting bool
}

func newHarshFaults(world *calledWorld, kinds harshKinds) *harshFaults {
	created := &harshFaults{world: world, kinds: kinds, cuts: make(map[pathKey]cut), submissions: make(map[identifier.JobID]submission)}
	world.harsh = created
	return created
}

func (harsh *harshFaults) record(format string, arguments ...any) {
	entry := fmt.Sprintf("%v ", time.Duration(harsh.world.network.now)) + fmt.Sprintf(format, arguments...)
	harsh.world.history = append(harsh.world.history, entry)
}

// liveServers returns the servers that have not crashed, in the order of their ids.
func (harsh *harshFaults) liveServers() []*calledServer {
	var servers []*calledServer
	for _, server := range harsh.world.servers {
		if !server.dead {
			servers = append(servers, server)
		}
	}
	slices.SortFunc(servers, func(first, second *calledServer) int {
		return strings.Compare(string(first.report.Server), string(second.report.Server))
	})
	return servers
}

func (harsh *harshFaults) serverAt(address int) *calledServer {
	for _, server := range harsh.liveServers() {
		if server.address == address {
			return server
		}
	}
	return nil
}

// announceLater delivers a report to a drawn host, sometimes seconds later, as to a paused host or
// over a connection that loses packets.
func (harsh *harshFaults) announceLater(server *calledServer, report messenger.ServerReport) {
	world := harsh.world
	delay := hop
	if world.chance("late card", 9) == 0 {
		delay = time.Duration(world.chance("card delay", 6000)) * time.Millisecond
	}
	first := world.chance("card host", len(world.network.hosts)-1)
	world.network.at(delay, func() {
		if !server.dead || report.Gone || harsh.kinds.lateReports {
			harsh.deliver(server.address, report, first)
		}
	})
}

// deliver passes a report to the first host, counted from a given one, that runs and can be
// reached.
func (harsh *harshFaults) deliver(address int, report messenger.ServerReport, first int) {
	network := harsh.world.network
	for offset := range network.hosts {
		host := network.hosts[(first+offset)%len(network.hosts)]
		if host.coordinator != nil && !network.now.Before(harsh.cuts[pathKey{host.id, address}].answersLostUntil) {
			network.tick(host, &coordinator.ServerReportAnnounced{Report: report})
			return
		}
	}
}

// call carries out a call as calledWorld.call does, under harsh faults.
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
	path := pathKey{host.id, target.address}
	delay, answerLost := hop, false
	switch {
	case network.now.Before(harsh.cuts[path].callsLostUntil):
		if harsh.cuts[path].refused {
			network.at(hop, unanswered)
		}
		return
	case world.chance("call", 99) >= world.failurePercent:
	default:
		switch world.chance("how", 4) {
		case 0:
			return
		case 1:
			answerLost = true
		case 2:
			delay, answerLost = time.Duration(2+world.chance("late", 10))*time.Second, true
		case 3:
			delay = time.Duration(world.chance("slow call", 400)) * time.Millisecond
		case 4:
			network.at(hop, unanswered)
			return
		}
	}
	// A call that a server carries out seconds later is lost when its process ends.
	queued := delay > time.Second
	network.at(delay, func() {
		if present := harsh.serverAt(target.address); target.dead && present != nil && !queued && present.sharesIDWith(target) {
			target = present
		}
		if target.dead {
			if harsh.serverAt(target.address) != nil {
				network.at(hop, func() { finish(func() { answer(allocator.CallGone) }) })
				return
			}
			network.at(hop, unanswered)
			return
		}
		carryOut(target, func(run func()) {
			if !answerLost && !network.now.Before(harsh.cuts[path].answersLostUntil) {
				network.at(hop, func() { finish(run) })
			}
		})
	})
}

func (server *calledServer) sharesIDWith(other *calledServer) bool {
	return server.report.Server.Server() == other.report.Server.Server()
}

// cutOff cuts the paths between hosts and one server's address for a while.
func (harsh *harshFaults) cutOff(hosts []*fakeHost, address int, duration time.Duration, cutCalls, cutAnswers, refused bool) {
	until := harsh.world.network.now.Add(duration)
	for _, host := range hosts {
		key := pathKey{host.id, address}
		changed := harsh.cuts[key]
		if cutCalls {
			changed.callsLostUntil = until
		}
		if cutAnswers {
			changed.answersLostUntil = until
		}
		changed.refused = refused
		harsh.cuts[key] = changed
		harsh.record("%s is cut off place %d for %v there %v back %v", host.id, address, duration, cutCalls, cutAnswers)
	}
}

// freeze pauses a host for a while. Messages wait for it; its steady clock stops if the machine is
// suspended, and continues if only the process is paused.
func (harsh *harshFaults) freeze(host *fakeHost, duration time.Duration, clockStops bool) {
	if host.coordinator == nil || host.frozen {
		return
	}
	network := harsh.world.network
	harsh.record("%s is frozen for %v, clock stands %v", host.id, duration, clockStops)
	host.frozen = true
	generation := host.generation
	network.at(duration, func() {
		if host.generation != generation {
			return
		}
		harsh.record("%s wakes", host.id)
		host.frozen = false
		if clockStops {
			host.startedAt = host.startedAt.Add(duration)
		}
		backlog := host.backlog
		host.backlog = nil
		for _, input := range backlog {
			network.tick(host, input)
		}
		network.tick(host)
	})
}

// leave shuts a host down gracefully; its process ends by the deadline at the latest, and answers
// its callers before.
func (harsh *harshFaults) leave(host *fakeHost, deadline time.Duration) {
	if host.coordinator == nil || host.frozen {
		return
	}
	network := harsh.world.network
	harsh.record("%s leaves", host.id)
	generation := host.generation
	network.tick(host, &coordinator.ShutdownRequested{})
	network.at(deadline, func() {
		if host.generation != generation {
			return
		}
		network.tick(host, &coordinator.SupervisorEvent{Event: &supervisor.ShutdownStarted{}})
		network.at(time.Millisecond, func() {
			if host.generation == generation {
				harsh.crash(host)
			}
		})
	})
}

func (harsh *harshFaults) crash(host *fakeHost) {
	if host.coordinator != nil {
		harsh.record("%s crashes", host.id)
		harsh.world.network.crashHost(host)
	}
}

func (harsh *harshFaults) start(host *fakeHost) {
	if host.coordinator == nil {
		if harsh.kinds.mixedFleet && harsh.world.chance("another size", 3) == 0 {
			host.capacity = drawHostCapacity(harsh.world.draw)
		}
		harsh.record("%s starts", host.id)
		harsh.world.network.startHost(host)
	}
}

// endIncarnation ends a backend server's process; the next incarnation starts at its address after
// the downtime.
func (harsh *harshFaults) endIncarnation(server *calledServer, announced bool, downtime time.Duration, incarnation int) {
	harsh.record("%s ends, announced %v", server.report.Server, announced)
	server.crash()
	harsh.oldReports = append(harsh.oldReports, server.report)
	harsh.world.network.at(maxReportDelay, func() { harsh.oldReports = harsh.oldReports[1:] })
	if announced {
		departure := messenger.ServerReport{Server: server.report.Server, FailureDomain: server.report.FailureDomain, Gone: true}
		if harsh.kinds.sameIDs && harsh.world.chance("undated", 1) == 0 {
			departure.Server = identifier.IncarnationWithoutStartTime(server.report.Server.Server())
		}
		harsh.announceLater(server, departure)
	}
	harsh.world.network.at(downtime, func() {
		if harsh.serverAt(server.address) == nil {
			harsh.world.startServer(server.address, incarnation)
			harsh.record("place %d has life %d", server.address, incarnation)
		}
	})
}

// submit submits a job and records its host, waiter and number of tasks.
func (harsh *harshFaults) submit(host *fakeHost, id identifier.JobID, tasks int) {
	if host.coordinator == nil {
		return
	}
	harsh.submissions[id] = submission{host: host, waiter: harsh.world.lastWaiter + 1, tasks: tasks}
	harsh.record("%s is sent to %s, %d tasks", id, host.id, tasks)
	harsh.world.submit(host, id, tasks)
}

// resubmitAfter is how long a caller whose connection broke waits before it resubmits.
const resubmitAfter = 1300 * time.Millisecond

// resubmit breaks the connection of a job's caller, which submits the job again. A paused host is
// notified of the break when it resumes.
func (harsh *harshFaults) resubmit(id identifier.JobID, to *fakeHost, delay time.Duration) {
	last, pending := harsh.submissions[id]
	if !pending || last.resubmitting {
		return
	}
	last.resubmitting = true
	harsh.submissions[id] = last
	harsh.record("the caller of %s leaves %s", id, last.host.id)
	harsh.world.network.tick(last.host, &coordinator.SupervisorEvent{Event: &supervisor.CallerLeft{Waiter: last.waiter, Job: id}})
	harsh.world.network.at(resubmitAfter+delay, func() {
		if _, pending := harsh.submissions[id]; pending && to.coordinator != nil {
			harsh.world.resent[id] = true
			harsh.submit(to, id, last.tasks)
		}
	})
}

// handleJobEnded forgets a completed job, which is not resubmitted.
func (harsh *harshFaults) handleJobEnded(ended *supervisor.JobEnded) {
	if ended.Outcome == supervisor.OutcomeComplete {
		delete(harsh.submissions, ended.Job)
	}
}

// unfinishedJobs returns the jobs that are not complete, sorted.
func (harsh *harshFaults) unfinishedJobs() []identifier.JobID {
	var jobs []identifier.JobID
	for id := range harsh.submissions {
		jobs = append(jobs, id)
	}
	slices.Sort(jobs)
	return jobs
}
