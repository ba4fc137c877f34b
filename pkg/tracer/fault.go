package tracer

import "github.com/stoathitch/stoathitch/pkg/identifier"

// BackendServerFault holds the fields that all faults of one backend server share.
type BackendServerFault struct {
	Head
	BackendServer identifier.BackendServerID
}

// EntryHostFault holds the fields that all faults of one entry host share.
type EntryHostFault struct {
	Head
	EntryHost identifier.HostID
}

// FailureDomainFault holds the fields that all faults of one failure domain share.
type FailureDomainFault struct {
	Head
	FailureDomain identifier.FailureDomain
}

// BackendServerDies terminates a backend server and every task that runs on it.
type BackendServerDies struct{ BackendServerFault }

// BackendServerReturns brings a backend server back to normal, whichever fault it
// had.
type BackendServerReturns struct{ BackendServerFault }

// BackendServerLeaves makes a backend server announce that it is leaving.
type BackendServerLeaves struct{ BackendServerFault }

// BackendServerFailsEveryTask makes a backend server fail each task immediately.
type BackendServerFailsEveryTask struct{ BackendServerFault }

// BackendServerSlows multiplies the run times of tasks on a backend server by
// Factor, which is above zero.
type BackendServerSlows struct {
	BackendServerFault
	Factor float64
}

// BackendServerSilent makes a backend server stop responding while its
// connections stay open.
type BackendServerSilent struct{ BackendServerFault }

// EntryHostDies terminates an entry host without a graceful shutdown.
type EntryHostDies struct{ EntryHostFault }

// EntryHostReturns restarts an entry host without its former state in memory.
type EntryHostReturns struct{ EntryHostFault }

// EntryHostShutsDown requests a graceful shutdown of an entry host.
type EntryHostShutsDown struct{ EntryHostFault }

// EntryHostIsolated drops all messages between an entry host and all other
// hosts, without an error on either side.
type EntryHostIsolated struct{ EntryHostFault }

// EntryHostRejoins ends the fault EntryHostIsolated.
type EntryHostRejoins struct{ EntryHostFault }

// FailureDomainCutOff drops all messages between a failure domain and the other
// failure domains, without an error on either side.
type FailureDomainCutOff struct{ FailureDomainFault }

// FailureDomainRejoins ends the fault FailureDomainCutOff.
type FailureDomainRejoins struct{ FailureDomainFault }

// Kind returns KindBackendServerDies.
func (fault *BackendServerDies) Kind() Kind { return KindBackendServerDies }

// Kind returns KindBackendServerReturns.
func (fault *BackendServerReturns) Kind() Kind { return KindBackendServerReturns }

// Kind returns KindBackendServerLeaves.
func (fault *BackendServerLeaves) Kind() Kind { return KindBackendServerLeaves }

// Kind returns KindBackendServerFailsEveryTask.
func (fault *BackendServerFailsEveryTask) Kind() Kind { return KindBackendServerFailsEveryTask }

// Kind returns KindBackendServerSlows.
func (fault *BackendServerSlows) Kind() Kind { return KindBackendServerSlows }

// Kind returns KindBackendServerSilent.
func (fault *BackendServerSilent) Kind() Kind { return KindBackendServerSilent }

// Kind returns KindEntryHostDies.
func (fault *EntryHostDies) Kind() Kind { return KindEntryHostDies }

// Kind returns KindEntryHostReturns.
func (fault *EntryHostReturns) Kind() Kind { return KindEntryHostReturns }

// Kind returns KindEntryHostShutsDown.
func (fault *EntryHostShutsDown) Kind() Kind { return KindEntryHostShutsDown }

// Kind returns KindEntryHostIsolated.
func (fault *EntryHostIsolated) Kind() Kind { return KindEntryHostIsolated }

// Kind returns KindEntryHostRejoins.
func (fault *EntryHostRejoins) Kind() Kind { return KindEntryHostRejoins }

// Kind returns KindFailureDomainCutOff.
func (fault *FailureDomainCutOff) Kind() Kind { return KindFailureDomainCutOff }

// Kind returns KindFailureDomainRejoins.
func (fault *FailureDomainRejoins) Kind() Kind { return KindFailureDomainRejoins }

func newFault(kind Kind) Event {
	switch kind {
	case KindBackendServerDies:
		return &BackendServerDies{}
	case KindBackendServerReturns:
		return &BackendServerReturns{}
	case KindBackendServerLeaves:
		return &BackendServerLeaves{}
	case KindBackendServerFailsEveryTask:
		return &BackendServerFailsEveryTask{}
	case KindBackendServerSlows:
		return &BackendServerSlows{}
	case KindBackendServerSilent:
		return &BackendServerSilent{}
	case KindEntryHostDies:
		return &EntryHostDies{}
	case KindEntryHostReturns:
		return &EntryHostReturns{}
	case KindEntryHostShutsDown:
		return &EntryHostShutsDown{}
	case KindEntryHostIsolated:
		return &EntryHostIsolated{}
	case KindEntryHostRejoins:
		return &EntryHostRejoins{}
	case KindFailureDomainCutOff:
		return &FailureDomainCutOff{}
	case KindFailureDomainRejoins:
		return &FailureDomainRejoins{}
	}
	return nil
}
