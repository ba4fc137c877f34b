package generator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// The numbers of the executors that the scenarios strike, in the first failure
// domain.
const (
	blackHoleExecutor = 3
	silentExecutor    = 5
	leavingExecutors  = 3
)

// seconds returns the moment that many seconds after the start of the trace.
func seconds(count float64) identifier.Moment {
	return identifier.Moment(count * float64(time.Second))
}

func (parameters *Parameters) domain(number int) identifier.FailureDomain {
	return parameters.Deployment.FailureDomains[number]
}

func (parameters *Parameters) strikesExecutor(at identifier.Moment, number int) tracer.BackendServerFault {
	return tracer.BackendServerFault{Head: tracer.Head{At: at}, BackendServer: tracer.Executor(parameters.domain(0), number)}
}

func (parameters *Parameters) addFault(fault tracer.Event) {
	parameters.Faults = append(parameters.Faults, fault)
}

// everyJobHasDeadline bounds the wait for tasks whose fate is unknown.
func (parameters *Parameters) everyJobHasDeadline(slack time.Duration) {
	parameters.DeadlineShare = 1
	parameters.DeadlineSlack = slack
}

// burst is ten times the calm rate for a second and a half, which is two and a
// half times what all slots can do.
func burst(parameters *Parameters) {
	parameters.Load = 0.25
	parameters.Bursts = []Burst{{From: seconds(2), To: seconds(3.5), Factor: 10}}
}

func blackHole(parameters *Parameters) {
	parameters.addFault(&tracer.BackendServerFailsEveryTask{
		BackendServerFault: parameters.strikesExecutor(seconds(1), blackHoleExecutor)})
	parameters.addFault(&tracer.BackendServerReturns{
		BackendServerFault: parameters.strikesExecutor(seconds(4), blackHoleExecutor)})
}

func silent(parameters *Parameters) {
	parameters.everyJobHasDeadline(5 * time.Second)
	parameters.addFault(&tracer.BackendServerSilent{
		BackendServerFault: parameters.strikesExecutor(seconds(1.5), silentExecutor)})
	parameters.addFault(&tracer.BackendServerReturns{
		BackendServerFault: parameters.strikesExecutor(seconds(4.5), silentExecutor)})
}

func twoFaults(parameters *Parameters) {
	blackHole(parameters)
	silent(parameters)
}

func leaving(parameters *Parameters) {
	for number := range leavingExecutors {
		at := seconds(1 + 0.5*float64(number))
		parameters.addFault(&tracer.BackendServerLeaves{BackendServerFault: parameters.strikesExecutor(at, number)})
	}
}

func cancellationWave(parameters *Parameters) {
	parameters.CancellationWaves = []CancellationWave{
		{At: seconds(2), Window: time.Second, Share: 0.6},
		{At: seconds(4), Window: 2 * time.Second, Share: 0.9},
	}
}

func cutOff(parameters *Parameters) {
	parameters.everyJobHasDeadline(4 * time.Second)
	last := len(parameters.Deployment.FailureDomains) - 1
	struck := func(at identifier.Moment) tracer.FailureDomainFault {
		return tracer.FailureDomainFault{Head: tracer.Head{At: at}, FailureDomain: parameters.domain(last)}
	}
	parameters.addFault(&tracer.FailureDomainCutOff{FailureDomainFault: struck(seconds(2))})
	parameters.addFault(&tracer.FailureDomainRejoins{FailureDomainFault: struck(seconds(4))})
}

// rollingRestart restarts each entry host in its turn. Its slow tasks are shorter
// than a host's turn, so that a host has drained before it returns.
func rollingRestart(parameters *Parameters) {
	const turn, away = 3.0, 2.5
	parameters.Load = 0.1
	parameters.Length = 28 * time.Second
	parameters.RunTimes.SlowFrom = 1200 * time.Millisecond
	parameters.RunTimes.SlowTo = 1800 * time.Millisecond
	from := 0.5
	for number := range parameters.Deployment.EntryHostsPerFailureDomain {
		for _, domain := range parameters.Deployment.FailureDomains {
			host := tracer.EntryHost(domain, number)
			parameters.addFault(&tracer.EntryHostShutsDown{EntryHostFault: strikesEntryHost(seconds(from), host)})
			parameters.addFault(&tracer.EntryHostReturns{EntryHostFault: strikesEntryHost(seconds(from+away), host)})
			from += turn
		}
	}
}

func strikesEntryHost(at identifier.Moment, host identifier.HostID) tracer.EntryHostFault {
	return tracer.EntryHostFault{Head: tracer.Head{At: at}, EntryHost: host}
}

func resends(parameters *Parameters) {
	parameters.NotRepeatableShare = 0.3
	parameters.Resends = Repeats{Share: 0.3, After: 300 * time.Millisecond}
}

func resubmissionsWhileCutOff(parameters *Parameters) {
	cutOff(parameters)
	parameters.Load = 0.4
	parameters.NotRepeatableShare = 0.5
	parameters.Resubmissions = Repeats{Share: 0.3, After: 400 * time.Millisecond}
}

// entryHostDies lets each caller send again, as the callers of a host that died
// would do; some of them reach the dead host again and stay without an answer.
func entryHostDies(parameters *Parameters) {
	parameters.Load = 0.25
	parameters.everyJobHasDeadline(4 * time.Second)
	parameters.Resends = Repeats{Share: 1, After: time.Second}
	host := tracer.EntryHost(parameters.domain(0), 0)
	parameters.addFault(&tracer.EntryHostDies{EntryHostFault: strikesEntryHost(seconds(2), host)})
	parameters.addFault(&tracer.EntryHostReturns{EntryHostFault: strikesEntryHost(seconds(4), host)})
}
