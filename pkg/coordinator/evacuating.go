package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/starter"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// enforceEvacuations sends the evacuated failure domains to every component that starts work, in
// the tick in which a configuration comes into force. Nothing is started in those domains.
func (coordinator *Coordinator) enforceEvacuations() {
	evacuated := coordinator.evacuated()
	if slices.Equal(evacuated, coordinator.enforcedEvacuations) {
		return
	}
	coordinator.enforcedEvacuations = evacuated
	coordinator.notifyDispatcher(&dispatcher.EvacuationsChanged{Evacuated: evacuated})
	coordinator.notifyAllocators(&allocator.EvacuationsChanged{Evacuated: evacuated})
	coordinator.notifySupervisor(&supervisor.EvacuationsChanged{Evacuated: evacuated})
	coordinator.notifyStarter(&starter.EvacuationsChanged{Evacuated: evacuated})
	coordinator.intentDriver.updateEvacuations(evacuated)
}

// evacuated lists the failure domains where nothing is started, by the configuration last known to
// this host.
func (coordinator *Coordinator) evacuated() messenger.EvacuatedDomains {
	inForce := coordinator.follower.InForce()
	return inForce.Evacuated()
}

// updateEvacuations notifies the driver whether its failure domain is evacuated.
func (intentDriver *intentDriver) updateEvacuations(evacuated messenger.EvacuatedDomains) {
	if intentDriver.driver != nil {
		intentDriver.inputs = append(intentDriver.inputs, planner.EvacuationChanged{
			Evacuated: evacuated.Has(intentDriver.coordinator.Self.FailureDomain),
		})
	}
}
