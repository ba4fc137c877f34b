package assessor

import (
	"math"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// probeFailureBlame is the blame at which a server that proves itself is ejected
// again: one failure that other servers don't show.
const probeFailureBlame = 0.5

// judge ejects a server, or tells what it may run now.
func (assessor *Assessor) judge(server *server) {
	if server == nil || server.state == stateEjected {
		return
	}
	limit := assessor.Settings.EjectAt
	if server.state == stateProbing {
		limit = probeFailureBlame
	}
	bad := server.blame() >= limit || assessor.slownessOf(server) >= assessor.Settings.SlowEjectAt
	if bad && assessor.mayEject(server) {
		assessor.eject(server)
		return
	}
	if server.state == stateProbing && server.ramp >= server.slots {
		server.state = stateUsed
		server.ejectWait = assessor.Settings.EjectWait
	}
	assessor.tell(server)
}

// mayEject bounds the ejected slots. Where many servers look bad at once the
// fault lies elsewhere, or the bad ones are all there is. One server may always go
// as long as another stays.
func (assessor *Assessor) mayEject(server *server) bool {
	if assessor.ejected == 0 && server.slots < assessor.slots {
		return true
	}
	return float64(assessor.ejected+server.slots) <= assessor.Settings.EjectedShare*float64(assessor.slots)
}

func (assessor *Assessor) eject(server *server) {
	server.state = stateEjected
	assessor.ejected += server.slots
	assessor.timers.Set(server.id, assessor.now.Add(server.ejectWait))
	server.ejectWait = min(2*server.ejectWait, assessor.Settings.EjectWaitMax)
	assessor.tell(server)
}

// probe lets an ejected server prove itself with one task.
func (assessor *Assessor) probe(server *server) {
	assessor.ejected -= server.slots
	assessor.forgetOutcomes(server)
	server.state = stateProbing
	server.ramp = 1
	assessor.tell(server)
}

// tell gives the allowance out when it has changed.
func (assessor *Assessor) tell(server *server) {
	slots, cause := assessor.allowance(server)
	if slots == server.told {
		return
	}
	server.told = slots
	assessor.outputs = append(assessor.outputs, &AllowanceChanged{
		Server: server.id, Slots: slots, Cause: cause, Blame: server.blame(), Slowing: assessor.slownessOf(server),
	})
}

// allowance returns how many tasks the server may run at once. A server that is
// not ejected keeps one slot at least: without outcomes it could not recover.
func (assessor *Assessor) allowance(server *server) (identifier.Slots, Cause) {
	if server.state == stateEjected {
		return 0, CauseEjected
	}
	allowed, cause := server.slots, CauseHealthy
	if server.ramp < allowed {
		allowed, cause = server.ramp, CauseRampUp
	}
	if server.state == stateProbing {
		cause = CauseProbing
	}
	if failing := server.part(1 - server.blame()/assessor.Settings.EjectAt); failing < allowed {
		allowed, cause = failing, CauseFailing
	}
	if slowness := assessor.slownessOf(server); slowness > assessor.Settings.SlowAt {
		if slow := server.part(math.Exp2(assessor.Settings.SlowAt - slowness)); slow < allowed {
			allowed, cause = slow, CauseSlow
		}
	}
	return allowed, cause
}

// part returns a part of the server's slots, rounded to the nearest, at least one.
func (server *server) part(share float64) identifier.Slots {
	return max(1, identifier.Slots(math.Round(share*float64(server.slots))))
}
