package assessor

import (
	"math"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// probeFailureBlame is the blame at which a server that is being probed is ejected
// again: a single failure that other servers don't show exceeds it.
const probeFailureBlame = 0.5

// evaluate ejects a server that is unhealthy, or else updates its allowance.
func (assessor *Assessor) evaluate(server *server) {
	if server == nil || server.state == stateEjected {
		return
	}
	limit := assessor.Settings.EjectThreshold
	if server.state == stateProbing {
		limit = probeFailureBlame
	}
	unhealthy := server.blame() >= limit || assessor.slownessOf(server) >= assessor.Settings.SlowEjectThreshold
	if unhealthy && assessor.mayEject(server) {
		assessor.eject(server)
		return
	}
	if server.state == stateProbing && server.rampLimit >= server.slots {
		server.state = stateUsed
		server.ejectWait = assessor.Settings.EjectionTime
	}
	assessor.announceAllowance(server)
}

// mayEject reports whether ejecting the server keeps the ejected slots within their
// bound. When many servers look unhealthy at once, either the cause lies elsewhere
// or no healthy servers are left to use instead. A first server may always be ejected
// as long as another one remains.
func (assessor *Assessor) mayEject(server *server) bool {
	if assessor.ejected == 0 && server.slots < assessor.slots {
		return true
	}
	return float64(assessor.ejected+server.slots) <= assessor.Settings.MaxEjectedFraction*float64(assessor.slots)
}

func (assessor *Assessor) eject(server *server) {
	server.state = stateEjected
	assessor.ejected += server.slots
	assessor.timers.Set(server.id, assessor.now.Add(server.ejectWait))
	server.ejectWait = min(2*server.ejectWait, assessor.Settings.MaxEjectionTime)
	assessor.announceAllowance(server)
}

// startProbing ends an ejection: the server gets one task at first.
func (assessor *Assessor) startProbing(server *server) {
	assessor.ejected -= server.slots
	assessor.resetOutcomes(server)
	server.state = stateProbing
	server.rampLimit = 1
	assessor.announceAllowance(server)
}

// announceAllowance adds an output when the server's allowance has changed.
func (assessor *Assessor) announceAllowance(server *server) {
	slots, cause := assessor.allowance(server)
	if slots == server.announcedSlots {
		return
	}
	server.announcedSlots = slots
	assessor.outputs = append(assessor.outputs, &AllowanceChanged{
		Server: server.id, Slots: slots, Cause: cause, Blame: server.blame(), Slowness: assessor.slownessOf(server),
	})
}

// allowance returns how many tasks the server may run concurrently, and why. A server
// that is not ejected keeps at least one slot: without outcomes it could not recover.
func (assessor *Assessor) allowance(server *server) (identifier.Slots, Cause) {
	if server.state == stateEjected {
		return 0, CauseEjected
	}
	allowed, cause := server.slots, CauseHealthy
	if server.rampLimit < allowed {
		allowed, cause = server.rampLimit, CauseRampUp
	}
	if server.state == stateProbing {
		cause = CauseProbing
	}
	if failing := server.slotFraction(1 - server.blame()/assessor.Settings.EjectThreshold); failing < allowed {
		allowed, cause = failing, CauseFailing
	}
	if slowness := assessor.slownessOf(server); slowness > assessor.Settings.SlowThreshold {
		if slow := server.slotFraction(math.Exp2(assessor.Settings.SlowThreshold - slowness)); slow < allowed {
			allowed, cause = slow, CauseSlow
		}
	}
	return allowed, cause
}

// slotFraction returns a fraction of the server's slots, rounded to the nearest, at least one.
func (server *server) slotFraction(fraction float64) identifier.Slots {
	return max(1, identifier.Slots(math.Round(fraction*float64(server.slots))))
}
