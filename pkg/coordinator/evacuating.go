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

// enforceEvacuations tells all that start work, in the tick in which a version comes into
// force, where nothing is started.
func (coordinator *Coordinator) enforceEvacuations() {
	evacuated := coordinator.evacuated()
	if slices.Equal(evacuated, coordinator.enforced) {
		return
	}
	coordinator.enforced = evacuated
	coordinator.tellDispatcher(&dispatcher.EvacuationsKnown{Evacuated: evacuated})
	coordinator.tellAllocators(&allocator.EvacuationsKnown{Evacuated: evacuated})
	coordinator.tellSupervisor(&supervisor.EvacuationsKnown{Evacuated: evacuated})
	coordinator.tellStarter(&starter.EvacuationsKnown{Evacuated: evacuated})
	coordinator.driving.followEvacuations(evacuated)
}

// evacuated lists the failure domains where nothing is started, as far as known here.
func (coordinator *Coordinator) evacuated() messenger.Evacuated {
	inForce := coordinator.follower.InForce()
	return inForce.Evacuated()
}

// followEvacuations tells the driver whether it may start something.
func (driving *driving) followEvacuations(evacuated messenger.Evacuated) {
	if driving.driver != nil {
		driving.inputs = append(driving.inputs, planner.EvacuationChanged{
			Evacuated: evacuated.Has(driving.coordinator.Self.FailureDomain),
		})
	}
}
