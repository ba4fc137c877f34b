package assessor

import (
	"math"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	// negligible is the share of one task below which a share is dropped; it bounds
	// the shares of a server.
	negligible = 0.05
	// priorSuccesses stands for other servers' successes where nothing is known yet:
	// the first failures are the server's own.
	priorSuccesses = 1.0
	// runTimeDecay weighs a new run time against the mean of its origin.
	runTimeDecay = 0.02
)

func (assessor *Assessor) join(input *ServerJoined) {
	known := assessor.servers.Get(input.Server)
	if known != nil && known.incarnation == input.Incarnation {
		assessor.resize(known, input.Slots)
		return
	}
	if known != nil {
		// A new process may be a repaired one; it starts with a clean record.
		assessor.leave(input.Server)
	}
	created := &server{id: input.Server, incarnation: input.Incarnation, slots: input.Slots, ramp: input.Slots, told: -1}
	created.seasonedAt = assessor.now.Add(assessor.Settings.RampUp - input.Uptime)
	if !assessor.seasoned(created) && assessor.anySeasoned() {
		created.ramp = max(1, input.Slots/4)
	}
	created.ejectWait = assessor.Settings.EjectWait
	assessor.servers.Put(input.Server, created)
	assessor.slots += input.Slots
	assessor.tell(created)
}

func (assessor *Assessor) seasoned(server *server) bool { return server.seasonedAt.Due(assessor.now) }

// anySeasoned tells whether a server has run for a while. Where all are new, as
// when a failure domain starts, none is emptier than the others and holding all
// back would only cost capacity.
func (assessor *Assessor) anySeasoned() bool {
	found := false
	assessor.servers.Each(func(_ identifier.BackendServerID, server *server) bool {
		found = assessor.seasoned(server)
		return !found
	})
	return found
}

func (assessor *Assessor) resize(server *server, slots identifier.Slots) {
	assessor.slots += slots - server.slots
	if server.state == stateEjected {
		assessor.ejected += slots - server.slots
	}
	if server.ramp >= server.slots {
		server.ramp = slots
	}
	server.slots = slots
	assessor.tell(server)
}

func (assessor *Assessor) leave(id identifier.BackendServerID) {
	server := assessor.servers.Get(id)
	if server == nil {
		return
	}
	assessor.forgetOutcomes(server)
	assessor.slots -= server.slots
	if server.state == stateEjected {
		assessor.ejected -= server.slots
	}
	assessor.timers.Clear(id)
	assessor.servers.Remove(id)
}

// record adds the outcome of a task to its server and its origin.
func (assessor *Assessor) record(input *TaskEnded) {
	server := assessor.servers.Get(input.Server)
	if server == nil {
		return
	}
	origin := assessor.origin(input.Origin)
	assessor.fade(server)
	own := server.shareOf(origin)
	own.ended++
	origin.ended++
	if input.Failed {
		own.failed++
		origin.failed++
		return
	}
	assessor.recordRunTime(server, origin, math.Log2(max(input.RunTime.Seconds(), 1e-6)))
	server.ramp = min(server.ramp+1, server.slots)
}

func (assessor *Assessor) origin(key Origin) *origin {
	if known := assessor.origins.Get(key); known != nil {
		return known
	}
	created := &origin{key: key}
	assessor.origins.Put(key, created)
	return created
}

// fade lets a server's older outcomes count less with each new one.
func (assessor *Assessor) fade(server *server) {
	keep := 1 - 1/float64(assessor.Settings.Window)
	for index := range server.shares {
		share := &server.shares[index]
		share.origin.ended -= share.ended * (1 - keep)
		share.origin.failed -= share.failed * (1 - keep)
		share.ended *= keep
		share.failed *= keep
	}
	server.shares = slices.DeleteFunc(server.shares, func(share share) bool {
		if share.ended >= negligible {
			return false
		}
		assessor.dropShare(share)
		return true
	})
}

func (assessor *Assessor) dropShare(share share) {
	share.origin.ended -= share.ended
	share.origin.failed -= share.failed
	share.origin.holders--
	if share.origin.holders == 0 {
		assessor.origins.Remove(share.origin.key)
	}
}

func (assessor *Assessor) forgetOutcomes(server *server) {
	for _, share := range server.shares {
		assessor.dropShare(share)
	}
	server.shares = nil
	assessor.forgetSlowness(server)
}

func (server *server) shareOf(origin *origin) *share {
	for index := range server.shares {
		if server.shares[index].origin == origin {
			return &server.shares[index]
		}
	}
	origin.holders++
	server.shares = append(server.shares, share{origin: origin})
	return &server.shares[len(server.shares)-1]
}

// recordRunTime compares a run time with the mean of its origin. Tasks differ, so
// only the mean of many ratios says something about the server.
func (assessor *Assessor) recordRunTime(server *server, origin *origin, runTime float64) {
	if !origin.known {
		origin.known = true
		origin.runTime = runTime
	}
	limit := assessor.Settings.RatioLimit
	ratio := min(max(runTime-origin.runTime, -limit), limit)
	change := assessor.Settings.SlownessDecay * (ratio - server.slowness)
	server.slowness += change
	assessor.slowness.sum += change
	if !server.timed {
		server.timed = true
		assessor.slowness.servers++
	}
	origin.runTime += runTimeDecay * ratio
}

func (assessor *Assessor) forgetSlowness(server *server) {
	if !server.timed {
		return
	}
	assessor.slowness.sum -= server.slowness
	assessor.slowness.servers--
	server.slowness = 0
	server.timed = false
}

// slownessOf returns how much slower a server is than the others, as a base 2
// logarithm.
//
// The mean of an origin may be wrong for every server alike: the short tasks of a
// wide job end first, so the first run times of a caller are too short, and those
// that follow look slow wherever they ran. Without the comparison most servers lost
// most of their slots while no server was slow; it showed as tasks that waited
// beside free slots. It never counts against a server that others look fast.
func (assessor *Assessor) slownessOf(server *server) float64 {
	others := assessor.slowness.servers
	sum := assessor.slowness.sum
	if server.timed {
		others--
		sum -= server.slowness
	}
	if others <= 0 {
		return server.slowness
	}
	return server.slowness - max(sum/float64(others), 0)
}

// blame returns how many of the server's latest tasks failed beyond what the same
// origins' tasks show on other servers. It is worked out anew each time: when a
// job turns out to fail everywhere, the blame for it goes.
func (server *server) blame() float64 {
	blame := 0.0
	for _, share := range server.shares {
		endedElsewhere := max(share.origin.ended-share.ended, 0)
		failedElsewhere := max(share.origin.failed-share.failed, 0)
		expected := failedElsewhere / (endedElsewhere + priorSuccesses)
		blame += share.failed - share.ended*expected
	}
	return max(blame, 0)
}
