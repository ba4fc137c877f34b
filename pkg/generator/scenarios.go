package generator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// The executors of the first failure domain that have faults: two numbers, and for
// leavingExecutors a count from number 0.
const (
	blackHoleExecutor = 3
	silentExecutor    = 5
	leavingExecutors  = 3
)

// seconds returns the moment count seconds after the start of the trace.
func seconds(count float64) identifier.Moment {
	return identifier.Moment(count * float64(time.Second))
}

func (parameters *Parameters) domain(number int) identifier.FailureDomain {
	return parameters.Deployment.FailureDomains[number]
}

func (parameters *Parameters) executorFault(at identifier.Moment, number int) tracer.BackendServerFault {
	return tracer.BackendServerFault{Head: tracer.Head{At: at}, BackendServer: tracer.Executor(parameters.domain(0), number)}
}

func (parameters *Parameters) addFault(fault tracer.Event) {
	parameters.Faults = append(parameters.Faults, fault)
}

// setDeadlines gives every job a deadline, which bounds the wait for tasks whose
// outcome is unknown.
func (parameters *Parameters) setDeadlines(slack time.Duration) {
	parameters.DeadlineShare = 1
	parameters.DeadlineSlack = slack
}

// burst has ten times the normal arrival rate for 1.5 seconds, which is 2.5 times the
// capacity of all slots.
func burst(parameters *Parameters) {
	parameters.Load = 0.25
	parameters.Bursts = []Burst{{From: seconds(2), To: seconds(3.5), Factor: 10}}
}

func blackHole(parameters *Parameters) {
	parameters.addFault(&tracer.BackendServerFailsEveryTask{
		BackendServerFault: parameters.executorFault(seconds(1), blackHoleExecutor)})
	parameters.addFault(&tracer.BackendServerReturns{
		BackendServerFault: parameters.executorFault(seconds(4), blackHoleExecutor)})
}

func silent(parameters *Parameters) {
	parameters.setDeadlines(5 * time.Second)
	parameters.addFault(&tracer.BackendServerSilent{
		BackendServerFault: parameters.executorFault(seconds(1.5), silentExecutor)})
	parameters.addFault(&tracer.BackendServerReturns{
		BackendServerFault: parameters.executorFault(seconds(4.5), silentExecutor)})
}

func twoFaults(parameters *Parameters) {
	blackHole(parameters)
	silent(parameters)
}

func leaving(parameters *Parameters) {
	for number := range leavingExecutors {
		at := seconds(1 + 0.5*float64(number))
		parameters.addFault(&tracer.BackendServerLeaves{BackendServerFault: parameters.executorFault(at, number)})
	}
}

func cancellationWave(parameters *Parameters) {
	parameters.CancellationWaves = []CancellationWave{
		{At: seconds(2), Window: time.Second, Share: 0.6},
		{At: seconds(4), Window: 2 * time.Second, Share: 0.9},
	}
}

func cutOff(parameters *Parameters) {
	parameters.setDeadlines(4 * time.Second)
	last := len(parameters.Deployment.FailureDomains) - 1
	fault := func(at identifier.Moment) tracer.FailureDomainFault {
		return tracer.FailureDomainFault{Head: tracer.Head{At: at}, FailureDomain: parameters.domain(last)}
	}
	parameters.addFault(&tracer.FailureDomainCutOff{FailureDomainFault: fault(seconds(2))})
	parameters.addFault(&tracer.FailureDomainRejoins{FailureDomainFault: fault(seconds(4))})
}

// rollingRestart restarts the entry hosts one after the other. Its slow tasks are
// shorter than each host's turn, so that a host has drained before it returns.
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
			parameters.addFault(&tracer.EntryHostShutsDown{EntryHostFault: entryHostFault(seconds(from), host)})
			parameters.addFault(&tracer.EntryHostReturns{EntryHostFault: entryHostFault(seconds(from+away), host)})
			from += turn
		}
	}
}

func entryHostFault(at identifier.Moment, host identifier.HostID) tracer.EntryHostFault {
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

// entryHostDies makes each caller resend its job, as the callers of a host that died
// would. Some of the resends reach the dead host and get no response.
func entryHostDies(parameters *Parameters) {
	parameters.Load = 0.25
	parameters.setDeadlines(4 * time.Second)
	parameters.Resends = Repeats{Share: 1, After: time.Second}
	host := tracer.EntryHost(parameters.domain(0), 0)
	parameters.addFault(&tracer.EntryHostDies{EntryHostFault: entryHostFault(seconds(2), host)})
	parameters.addFault(&tracer.EntryHostReturns{EntryHostFault: entryHostFault(seconds(4), host)})
}
