package generator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

const (
	// longestFault is the upper bound of the time from a random fault to its end.
	longestFault = 8 * time.Second
	// randomSlowdown is the factor by which a random fault slows a backend server.
	randomSlowdown = 8
	// faultStream is the random stream for faults. It is separate from the stream for
	// jobs, so that the same seed gives the same jobs with and without faults.
	faultStream = 0x6661756c74
)

// AddRandomFaults adds count faults of random kinds at random moments. Each of them
// ends less than longestFault later. Faults may overlap.
func (parameters *Parameters) AddRandomFaults(count int) {
	faultGenerator := &faultGenerator{parameters: parameters, random: rand.New(rand.NewPCG(parameters.Seed, faultStream))}
	for range count {
		begin, end := faultGenerator.fault()
		parameters.Faults = append(parameters.Faults, begin, end)
	}
	slices.SortStableFunc(parameters.Faults, byMoment)
}

type faultGenerator struct {
	parameters *Parameters
	random     *rand.Rand
}

// faultConstructors has a function for each kind of fault, which returns the fault
// and the event that ends it.
var faultConstructors = []func(target target) (tracer.Event, tracer.Event){
	func(target target) (tracer.Event, tracer.Event) {
		return &tracer.EntryHostDies{EntryHostFault: target.entryHostFault(target.from)}, &tracer.EntryHostReturns{EntryHostFault: target.entryHostFault(target.to)}
	},
	func(target target) (tracer.Event, tracer.Event) {
		return &tracer.EntryHostIsolated{EntryHostFault: target.entryHostFault(target.from)}, &tracer.EntryHostRejoins{EntryHostFault: target.entryHostFault(target.to)}
	},
	func(target target) (tracer.Event, tracer.Event) {
		return &tracer.EntryHostShutsDown{EntryHostFault: target.entryHostFault(target.from)}, &tracer.EntryHostReturns{EntryHostFault: target.entryHostFault(target.to)}
	},
	func(target target) (tracer.Event, tracer.Event) {
		return &tracer.BackendServerDies{BackendServerFault: target.backendServerFault(target.from)}, target.backendServerReturns()
	},
	func(target target) (tracer.Event, tracer.Event) {
		return &tracer.BackendServerSilent{BackendServerFault: target.backendServerFault(target.from)}, target.backendServerReturns()
	},
	func(target target) (tracer.Event, tracer.Event) {
		return &tracer.BackendServerSlows{BackendServerFault: target.backendServerFault(target.from), Factor: randomSlowdown}, target.backendServerReturns()
	},
	func(target target) (tracer.Event, tracer.Event) {
		return &tracer.BackendServerLeaves{BackendServerFault: target.backendServerFault(target.from)}, target.backendServerReturns()
	},
	func(target target) (tracer.Event, tracer.Event) {
		return &tracer.BackendServerFailsEveryTask{BackendServerFault: target.backendServerFault(target.from)}, target.backendServerReturns()
	},
	func(target target) (tracer.Event, tracer.Event) {
		return &tracer.FailureDomainCutOff{FailureDomainFault: target.failureDomainFault(target.from)},
			&tracer.FailureDomainRejoins{FailureDomainFault: target.failureDomainFault(target.to)}
	},
}

func (faultGenerator *faultGenerator) fault() (tracer.Event, tracer.Event) {
	deployment := &faultGenerator.parameters.Deployment
	from := identifier.Moment(faultGenerator.random.Int64N(int64(faultGenerator.parameters.Length)))
	target := target{
		from:   roundMoment(from),
		to:     roundMoment(from.Add(time.Duration(faultGenerator.random.Int64N(int64(longestFault))))),
		domain: deployment.FailureDomains[faultGenerator.random.IntN(len(deployment.FailureDomains))],
	}
	target.entryHost = tracer.EntryHost(target.domain, faultGenerator.random.IntN(deployment.EntryHostsPerFailureDomain))
	target.backendServer = tracer.Executor(target.domain, faultGenerator.random.IntN(deployment.ExecutorsPerFailureDomain))
	return faultConstructors[faultGenerator.random.IntN(len(faultConstructors))](target)
}

// target holds the moments at which one random fault starts and ends, and the hosts
// and the failure domain that it may hit.
type target struct {
	from, to      identifier.Moment
	domain        identifier.FailureDomain
	entryHost     identifier.HostID
	backendServer identifier.BackendServerID
}

func (target target) entryHostFault(at identifier.Moment) tracer.EntryHostFault {
	return tracer.EntryHostFault{Head: tracer.Head{At: at}, EntryHost: target.entryHost}
}

func (target target) backendServerFault(at identifier.Moment) tracer.BackendServerFault {
	return tracer.BackendServerFault{Head: tracer.Head{At: at}, BackendServer: target.backendServer}
}

func (target target) backendServerReturns() tracer.Event {
	return &tracer.BackendServerReturns{BackendServerFault: target.backendServerFault(target.to)}
}

func (target target) failureDomainFault(at identifier.Moment) tracer.FailureDomainFault {
	return tracer.FailureDomainFault{Head: tracer.Head{At: at}, FailureDomain: target.domain}
}
