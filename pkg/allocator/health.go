package allocator

import (
	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// healthSlots is the number of runs that the assessor allows a healthy server at once. The server's
// capacity sets a far lower bound.
const healthSlots = 8

// assessServers passes the outcomes of this tick to the assessor and applies the run limits that it
// returns.
func (allocator *Allocator) assessServers() {
	inputs := allocator.healthInputs
	allocator.healthInputs = nil
	if len(inputs) == 0 && !allocator.assessor.NextDeadline().Due(allocator.now) {
		return
	}
	for _, output := range allocator.assessor.Tick(allocator.now, inputs) {
		change, isChange := output.(*assessor.AllowanceChanged)
		if !isChange {
			continue
		}
		incarnation := identifier.ServerIncarnation(change.Server)
		server := allocator.servers.Get(incarnation)
		if server == nil || server.runLimit == int(change.Slots) {
			continue
		}
		server.runLimit = int(change.Slots)
		allocator.retryPlacement = true
		allocator.logDecision(messenger.Decision{
			Kind: messenger.DecisionServerJudged, Server: incarnation, Reason: change.Cause.String(), Tasks: server.runLimit,
		})
	}
}
