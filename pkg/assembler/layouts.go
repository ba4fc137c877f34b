package assembler

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

// applyLayout logs and counts a change of the layouts.
func (daemon *Daemon) applyLayout(change *coordinator.LayoutChanged) {
	last := daemon.layout
	daemon.layout = *change
	daemon.measurer.LayoutChanged(change.Cells, len(change.Differing))
	if daemon.Settings.HasRole(loader.RoleEntry) && !daemon.draining.Load() {
		daemon.receiver.SetReady(change.Serving)
	}
	if change.Cells != last.Cells {
		daemon.Log.Info("layout-in-force", "failure-domain", daemon.Settings.FailureDomain, "cells", change.Cells)
	}
	if change.Agreed > 0 && change.Cells > 0 && change.Agreed != change.Cells && change.Agreed != last.Agreed {
		daemon.Log.Error("layout-differs", "cells", change.Cells, "agreed", change.Agreed, "serving", change.Serving)
	}
	for _, other := range change.Differing {
		if !slices.Contains(last.Differing, other) {
			daemon.Log.Error("layout-differs", "cells", change.Cells,
				"other", other.Host, "other-cells", other.Cells, "serving", change.Serving)
		}
	}
	if change.Serving && !last.Serving && last.Cells > 0 {
		daemon.Log.Info("layout-agrees", "cells", change.Cells)
	}
}

// logProposal logs the outcome of a layout that this host proposed as the leader of the keepers.
func (daemon *Daemon) logProposal(proposed *coordinator.LayoutProposed) {
	if err := proposed.Result.LayoutError(); err != nil {
		daemon.Log.Warn("layout-refused", "failure-domain", proposed.Layout.FailureDomain, "cells", proposed.Layout.Cells, "err", err)
		return
	}
	daemon.Log.Info("layout-agreed", "failure-domain", proposed.Layout.FailureDomain, "cells", proposed.Layout.Cells,
		"verdict", proposed.Result.Verdict, "version", proposed.Result.Newest)
}
