package replayer

import "github.com/stoathitch/stoathitch/pkg/tracer"

// applyFault starts or ends a fault of the trace.
func (replay *replay) applyFault(event tracer.Event) {
	switch fault := event.(type) {
	case *tracer.BackendServerDies:
		replay.serverByID[fault.BackendServer].die()
	case *tracer.BackendServerReturns:
		replay.serverByID[fault.BackendServer].restore()
	case *tracer.BackendServerLeaves:
		replay.serverByID[fault.BackendServer].leave(fault.At)
	case *tracer.BackendServerFailsEveryTask:
		if process := replay.serverByID[fault.BackendServer].process; process != nil {
			process.FailsEveryTask = true
		}
	case *tracer.BackendServerSlows:
		if process := replay.serverByID[fault.BackendServer].process; process != nil {
			process.Slowdown = fault.Factor
		}
	case *tracer.BackendServerSilent:
		replay.network.Isolate(replay.serverByID[fault.BackendServer].node, true)
	case *tracer.FailureDomainCutOff:
		replay.network.CutOff(fault.FailureDomain, true)
	case *tracer.FailureDomainRejoins:
		replay.network.CutOff(fault.FailureDomain, false)
	default:
		replay.applyEntryHostFault(event)
	}
}

func (replay *replay) applyEntryHostFault(event tracer.Event) {
	switch fault := event.(type) {
	case *tracer.EntryHostDies:
		replay.hostByID[fault.EntryHost].stop()
	case *tracer.EntryHostReturns:
		replay.hostByID[fault.EntryHost].restart()
	case *tracer.EntryHostShutsDown:
		if process := replay.hostByID[fault.EntryHost].process; process != nil {
			process.shutDown()
		}
	case *tracer.EntryHostIsolated:
		replay.network.Isolate(replay.hostByID[fault.EntryHost].node, true)
	case *tracer.EntryHostRejoins:
		replay.network.Isolate(replay.hostByID[fault.EntryHost].node, false)
	}
}

// restart starts a stopped host again. A host that is still shutting down restarts as
// soon as it has ended, as under a supervisor; a running host is left as it is.
func (host *entryHost) restart() {
	switch {
	case host.process == nil:
		host.start()
	case host.process.notReady:
		host.restartAfterShutdown = true
	}
}
