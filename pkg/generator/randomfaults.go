package generator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

const (
	// longestFault is the longest time from a random fault to its end.
	longestFault = 8 * time.Second
	// randomSlowdown is the factor of backend servers that are slowed at random.
	randomSlowdown = 8
	// faultStream keeps the choice of faults apart from that of the work, so that
	// the same seed without faults makes the same jobs.
	faultStream = 0x6661756c74
)

// AddRandomFaults adds faults of every kind at random moments, each with its end
// some seconds later. They may overlap as they like.
func (parameters *Parameters) AddRandomFaults(count int) {
	drawing := &faultDrawing{parameters: parameters, random: rand.New(rand.NewPCG(parameters.Seed, faultStream))}
	for range count {
		begin, end := drawing.fault()
		parameters.Faults = append(parameters.Faults, begin, end)
	}
	slices.SortStableFunc(parameters.Faults, byMoment)
}

type faultDrawing struct {
	parameters *Parameters
	random     *rand.Rand
}

// faultMakers make a fault and its end, one for each kind.
var faultMakers = []func(struck struckPlaces) (tracer.Event, tracer.Event){
	func(struck struckPlaces) (tracer.Event, tracer.Event) {
		return &tracer.EntryHostDies{EntryHostFault: struck.host(struck.from)}, &tracer.EntryHostReturns{EntryHostFault: struck.host(struck.to)}
	},
	func(struck struckPlaces) (tracer.Event, tracer.Event) {
		return &tracer.EntryHostIsolated{EntryHostFault: struck.host(struck.from)}, &tracer.EntryHostRejoins{EntryHostFault: struck.host(struck.to)}
	},
	func(struck struckPlaces) (tracer.Event, tracer.Event) {
		return &tracer.EntryHostShutsDown{EntryHostFault: struck.host(struck.from)}, &tracer.EntryHostReturns{EntryHostFault: struck.host(struck.to)}
	},
	func(struck struckPlaces) (tracer.Event, tracer.Event) {
		return &tracer.BackendServerDies{BackendServerFault: struck.server(struck.from)}, struck.serverReturns()
	},
	func(struck struckPlaces) (tracer.Event, tracer.Event) {
		return &tracer.BackendServerSilent{BackendServerFault: struck.server(struck.from)}, struck.serverReturns()
	},
	func(struck struckPlaces) (tracer.Event, tracer.Event) {
		return &tracer.BackendServerSlows{BackendServerFault: struck.server(struck.from), Factor: randomSlowdown}, struck.serverReturns()
	},
	func(struck struckPlaces) (tracer.Event, tracer.Event) {
		return &tracer.BackendServerLeaves{BackendServerFault: struck.server(struck.from)}, struck.serverReturns()
	},
	func(struck struckPlaces) (tracer.Event, tracer.Event) {
		return &tracer.BackendServerFailsEveryTask{BackendServerFault: struck.server(struck.from)}, struck.serverReturns()
	},
	func(struck struckPlaces) (tracer.Event, tracer.Event) {
		return &tracer.FailureDomainCutOff{FailureDomainFault: struck.domainFault(struck.from)},
			&tracer.FailureDomainRejoins{FailureDomainFault: struck.domainFault(struck.to)}
	},
}

func (drawing *faultDrawing) fault() (tracer.Event, tracer.Event) {
	deployment := &drawing.parameters.Deployment
	from := identifier.Moment(drawing.random.Int64N(int64(drawing.parameters.Length)))
	struck := struckPlaces{
		from:   grained(from),
		to:     grained(from.Add(time.Duration(drawing.random.Int64N(int64(longestFault))))),
		domain: deployment.FailureDomains[drawing.random.IntN(len(deployment.FailureDomains))],
	}
	struck.entryHost = tracer.EntryHost(struck.domain, drawing.random.IntN(deployment.EntryHostsPerFailureDomain))
	struck.backendServer = tracer.Executor(struck.domain, drawing.random.IntN(deployment.ExecutorsPerFailureDomain))
	return faultMakers[drawing.random.IntN(len(faultMakers))](struck)
}

// struckPlaces are the places and the two moments of one fault.
type struckPlaces struct {
	from, to      identifier.Moment
	domain        identifier.FailureDomain
	entryHost     identifier.HostID
	backendServer identifier.BackendServerID
}

func (struck struckPlaces) host(at identifier.Moment) tracer.EntryHostFault {
	return tracer.EntryHostFault{Head: tracer.Head{At: at}, EntryHost: struck.entryHost}
}

func (struck struckPlaces) server(at identifier.Moment) tracer.BackendServerFault {
	return tracer.BackendServerFault{Head: tracer.Head{At: at}, BackendServer: struck.backendServer}
}

func (struck struckPlaces) serverReturns() tracer.Event {
	return &tracer.BackendServerReturns{BackendServerFault: struck.server(struck.to)}
}

func (struck struckPlaces) domainFault(at identifier.Moment) tracer.FailureDomainFault {
	return tracer.FailureDomainFault{Head: tracer.Head{At: at}, FailureDomain: struck.domain}
}
