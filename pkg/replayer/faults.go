package replayer

import "github.com/stoathitch/stoathitch/pkg/tracer"

// strike brings a fault of the trace about, or ends one.
func (replay *replay) strike(event tracer.Event) {
	switch fault := event.(type) {
	case *tracer.BackendServerDies:
		replay.serverByID[fault.BackendServer].die()
	case *tracer.BackendServerReturns:
		replay.serverByID[fault.BackendServer].comeBack()
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
		replay.network.Isolate(replay.serverByID[fault.BackendServer].place, true)
	case *tracer.FailureDomainCutOff:
		replay.network.CutOff(fault.FailureDomain, true)
	case *tracer.FailureDomainRejoins:
		replay.network.CutOff(fault.FailureDomain, false)
	default:
		replay.strikeEntryHost(event)
	}
}

func (replay *replay) strikeEntryHost(event tracer.Event) {
	switch fault := event.(type) {
	case *tracer.EntryHostDies:
		replay.hostByID[fault.EntryHost].stop()
	case *tracer.EntryHostReturns:
		replay.hostByID[fault.EntryHost].comeBack()
	case *tracer.EntryHostShutsDown:
		if process := replay.hostByID[fault.EntryHost].process; process != nil {
			process.shutDown()
		}
	case *tracer.EntryHostIsolated:
		replay.network.Isolate(replay.hostByID[fault.EntryHost].place, true)
	case *tracer.EntryHostRejoins:
		replay.network.Isolate(replay.hostByID[fault.EntryHost].place, false)
	}
}

// comeBack starts the host again. A host that is still shutting down starts
// again as soon as it has ended, as a supervisor would do it; one that works is
// left alone.
func (host *entryHost) comeBack() {
	switch {
	case host.process == nil:
		host.start()
	case host.process.notReady:
		host.startAgain = true
	}
}
