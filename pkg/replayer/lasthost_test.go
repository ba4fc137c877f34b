package replayer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/generator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// lastHostStream separates the random faults of lastHostFaults from those of the generator.
const lastHostStream = 7

// TestIsolatedLastHosts guards against answers that differ, when two hosts of a failure domain die or
// shut down and then the last one is isolated, while one or both of the others return without state.
func TestIsolatedLastHosts(t *testing.T) {
	for seed := *randomFrom; seed < *randomFrom+*randomCount; seed++ {
		parameters := randomParameters(seed)
		parameters.Faults = lastHostFaults(parameters)
		for _, violation := range replayParameters(t, parameters) {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

func lastHostFaults(parameters *generator.Parameters) []tracer.Event {
	random := rand.New(rand.NewPCG(parameters.Seed, lastHostStream))
	between := func(from, to float64) time.Duration {
		return time.Duration((from + random.Float64()*(to-from)) * float64(time.Second))
	}
	domains := parameters.Deployment.FailureDomains
	domain := domains[random.IntN(len(domains))]
	fault := func(at time.Duration, host int) tracer.EntryHostFault {
		return tracer.EntryHostFault{Head: tracer.Head{At: identifier.Moment(at)}, EntryHost: tracer.EntryHost(domain, host)}
	}
	hosts := random.Perm(parameters.Deployment.EntryHostsPerFailureDomain)
	lost, last := hosts[:len(hosts)-1], hosts[len(hosts)-1]
	var faults []tracer.Event
	var allLost time.Duration
	for _, host := range lost {
		at := between(1, 4)
		allLost = max(allLost, at)
		if random.IntN(2) == 0 {
			faults = append(faults, &tracer.EntryHostDies{EntryHostFault: fault(at, host)})
			continue
		}
		faults = append(faults, &tracer.EntryHostShutsDown{EntryHostFault: fault(at, host)})
	}
	isolated := allLost + between(1.5, 4)
	rejoins := isolated + between(0.3, 8)
	faults = append(faults,
		&tracer.EntryHostIsolated{EntryHostFault: fault(isolated, last)},
		&tracer.EntryHostRejoins{EntryHostFault: fault(rejoins, last)})
	for _, host := range lost[:1+random.IntN(len(lost))] {
		faults = append(faults, &tracer.EntryHostReturns{EntryHostFault: fault(isolated+between(-0.2, 4), host)})
	}
	slices.SortStableFunc(faults, func(first, second tracer.Event) int { return cmp.Compare(first.Moment(), second.Moment()) })
	return faults
}
