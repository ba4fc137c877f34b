package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// pairsMachine also draws the loss of two hosts of a failure domain at the same moment. Each other
// failure domain keeps its hosts meanwhile.
type pairsMachine struct{ recordsMachine }

// digestTime is the longest time from a start or an answer until other hosts have the digest: a
// batch interval and a message.
const digestTime = 12 * time.Millisecond

// TestDigestsOutliveTwoHosts guards against second runs, and runs of refused submissions, after the
// loss of both hosts that hold their records.
func TestDigestsOutliveTwoHosts(t *testing.T) {
	limitChecks(t, "100")
	rapid.Check(t, func(t *rapid.T) {
		domains := []identifier.FailureDomain{"leuven", "roeselare", "geel"}[:rapid.IntRange(2, 3).Draw(t, "failure domains")]
		fuzzed := &pairsMachine{recordsMachine{machine{network: newNetwork(domains, 3, 2, 2), domains: domains}}}
		fuzzed.network.trace = *trace
		t.Repeat(rapid.StateMachineActions(fuzzed))
		for _, host := range fuzzed.network.hosts {
			fuzzed.restartHost(host)
		}
		fuzzed.heal(t)
	})
}

// CrashPair ends two hosts of a failure domain and restarts them later, without state. Nothing
// starts or is answered for as long as a digest takes before.
func (machine *pairsMachine) CrashPair(t *rapid.T) {
	machine.skipUnlessRecovered(t)
	machine.awaitDigests(t)
	first := machine.drawHost(t)
	neighbours := machine.network.neighbours(first)
	second := neighbours[rapid.IntRange(0, len(neighbours)-1).Draw(t, "second host")]
	machine.network.crashHost(first)
	machine.network.crashHost(second)
	for _, host := range []*fakeHost{first, second} {
		delay := rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 3 * time.Second}).Draw(t, "restart")
		machine.scheduleFaultEnd(delay, func() { machine.restartHost(host) })
	}
}

// awaitDigests lets time pass until nothing was started or answered within digestTime.
func (machine *pairsMachine) awaitDigests(t *rapid.T) {
	const maxAttempts = 20
	oracle := machine.network.oracle
	for range maxAttempts {
		starts, answers := len(oracle.starts), len(oracle.answers)
		machine.network.advance(digestTime)
		if len(oracle.starts) == starts && len(oracle.answers) == answers {
			return
		}
	}
	t.Skip("submissions go on being started or answered")
}

// neighbours returns the other hosts of a host's failure domain.
func (network *network) neighbours(host *fakeHost) []*fakeHost {
	return slices.DeleteFunc(network.others(host), func(other *fakeHost) bool {
		return other.domain != host.domain
	})
}
