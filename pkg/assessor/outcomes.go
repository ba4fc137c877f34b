package assessor

import (
	"math"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	// minTally is the decayed number of ended tasks below which a tally is dropped. It
	// bounds the number of tallies of a server.
	minTally = 0.05
	// priorSuccesses is added to the tasks that ended on other servers, so that the
	// first failures of an origin count against the server that they happened on.
	priorSuccesses = 1.0
	// runTimeDecay is the weight of a new run time in the moving average of its origin.
	runTimeDecay = 0.02
)

func (assessor *Assessor) addServer(input *ServerJoined) {
	known := assessor.servers.Get(input.Server)
	if known != nil && known.incarnation == input.Incarnation {
		assessor.resize(known, input.Slots)
		return
	}
	if known != nil {
		// A new process may be a fixed one, so it starts with an empty health record.
		assessor.removeServer(input.Server)
	}
	created := &server{id: input.Server, incarnation: input.Incarnation, slots: input.Slots, rampLimit: input.Slots, announcedSlots: -1}
	created.rampUpEndsAt = assessor.now.Add(assessor.Settings.RampUp - input.Uptime)
	if !assessor.pastRampUp(created) && assessor.anyPastRampUp() {
		created.rampLimit = max(1, input.Slots/4)
	}
	created.ejectWait = assessor.Settings.EjectionTime
	assessor.servers.Put(input.Server, created)
	assessor.slots += input.Slots
	assessor.announceAllowance(created)
}

func (assessor *Assessor) pastRampUp(server *server) bool {
	return server.rampUpEndsAt.Due(assessor.now)
}

// anyPastRampUp reports whether some server is past its ramp-up time. When all servers
// are new, as after the start of a failure domain, none has more free slots than the
// others and restricting all of them would only cost capacity.
func (assessor *Assessor) anyPastRampUp() bool {
	found := false
	assessor.servers.Each(func(_ identifier.BackendServerID, server *server) bool {
		found = assessor.pastRampUp(server)
		return !found
	})
	return found
}

func (assessor *Assessor) resize(server *server, slots identifier.Slots) {
	assessor.slots += slots - server.slots
	if server.state == stateEjected {
		assessor.ejected += slots - server.slots
	}
	if server.rampLimit >= server.slots {
		server.rampLimit = slots
	}
	server.slots = slots
	assessor.announceAllowance(server)
}

func (assessor *Assessor) removeServer(id identifier.BackendServerID) {
	server := assessor.servers.Get(id)
	if server == nil {
		return
	}
	assessor.resetOutcomes(server)
	assessor.slots -= server.slots
	if server.state == stateEjected {
		assessor.ejected -= server.slots
	}
	assessor.timers.Clear(id)
	assessor.servers.Remove(id)
}

// recordOutcome adds the outcome of a task to the counts of its server and its origin.
func (assessor *Assessor) recordOutcome(input *TaskEnded) {
	server := assessor.servers.Get(input.Server)
	if server == nil {
		return
	}
	origin := assessor.origin(input.Origin)
	assessor.decayOutcomes(server)
	own := server.tallyOf(origin)
	own.ended++
	origin.ended++
	if input.Failed {
		own.failed++
		origin.failed++
		return
	}
	assessor.recordRunTime(server, origin, math.Log2(max(input.RunTime.Seconds(), 1e-6)))
	server.rampLimit = min(server.rampLimit+1, server.slots)
}

func (assessor *Assessor) origin(key Origin) *origin {
	if known := assessor.origins.Get(key); known != nil {
		return known
	}
	created := &origin{key: key}
	assessor.origins.Put(key, created)
	return created
}

// decayOutcomes reduces the weight of a server's earlier outcomes before a new one is added.
func (assessor *Assessor) decayOutcomes(server *server) {
	keep := 1 - 1/float64(assessor.Settings.Window)
	for index := range server.tallies {
		tally := &server.tallies[index]
		tally.origin.ended -= tally.ended * (1 - keep)
		tally.origin.failed -= tally.failed * (1 - keep)
		tally.ended *= keep
		tally.failed *= keep
	}
	server.tallies = slices.DeleteFunc(server.tallies, func(tally tally) bool {
		if tally.ended >= minTally {
			return false
		}
		assessor.dropTally(tally)
		return true
	})
}

func (assessor *Assessor) dropTally(tally tally) {
	tally.origin.ended -= tally.ended
	tally.origin.failed -= tally.failed
	tally.origin.references--
	if tally.origin.references == 0 {
		assessor.origins.Remove(tally.origin.key)
	}
}

func (assessor *Assessor) resetOutcomes(server *server) {
	for _, tally := range server.tallies {
		assessor.dropTally(tally)
	}
	server.tallies = nil
	assessor.resetSlowness(server)
}

func (server *server) tallyOf(origin *origin) *tally {
	for index := range server.tallies {
		if server.tallies[index].origin == origin {
			return &server.tallies[index]
		}
	}
	origin.references++
	server.tallies = append(server.tallies, tally{origin: origin})
	return &server.tallies[len(server.tallies)-1]
}

// recordRunTime compares a run time, as a base 2 logarithm of seconds, with the mean of
// its origin. Tasks differ in length, so only the mean of many ratios says something
// about the server.
func (assessor *Assessor) recordRunTime(server *server, origin *origin, runTime float64) {
	if !origin.hasRunTime {
		origin.hasRunTime = true
		origin.runTime = runTime
	}
	limit := assessor.Settings.RatioLimit
	ratio := min(max(runTime-origin.runTime, -limit), limit)
	change := assessor.Settings.SlownessDecay * (ratio - server.slowness)
	server.slowness += change
	assessor.slowness.sum += change
	if !server.hasRunTimes {
		server.hasRunTimes = true
		assessor.slowness.servers++
	}
	origin.runTime += runTimeDecay * ratio
}

func (assessor *Assessor) resetSlowness(server *server) {
	if !server.hasRunTimes {
		return
	}
	assessor.slowness.sum -= server.slowness
	assessor.slowness.servers--
	server.slowness = 0
	server.hasRunTimes = false
}

// slownessOf returns how much slower a server is than the others, as a base 2
// logarithm.
//
// The mean run time of an origin may be wrong for all servers alike: the short tasks
// of a wide job end first, so the first run times of a caller are too short and the
// following ones look slow on whichever server they ran. Without the comparison with
// the other servers, most servers would lose most of their slots although none is
// slow, and tasks would wait while slots are free. Other servers that look faster than
// expected never make a server count as slow.
func (assessor *Assessor) slownessOf(server *server) float64 {
	others := assessor.slowness.servers
	sum := assessor.slowness.sum
	if server.hasRunTimes {
		others--
		sum -= server.slowness
	}
	if others <= 0 {
		return server.slowness
	}
	return server.slowness - max(sum/float64(others), 0)
}

// blame returns how many of the server's latest tasks failed in excess of the failure
// rate of the same origins' tasks on other servers. It is computed anew on each call,
// so that the blame for a job's failures vanishes once the job fails on all servers.
func (server *server) blame() float64 {
	blame := 0.0
	for _, tally := range server.tallies {
		endedElsewhere := max(tally.origin.ended-tally.ended, 0)
		failedElsewhere := max(tally.origin.failed-tally.failed, 0)
		expected := failedElsewhere / (endedElsewhere + priorSuccesses)
		blame += tally.failed - tally.ended*expected
	}
	return max(blame, 0)
}
