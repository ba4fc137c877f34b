package coordinator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// warmUp runs a job of roeselare, so that its lead tells the others of its free slots.
func (network *network) warmUp(front *fakeHost) {
	job := jobOf("warm-up", "team", 1, time.Millisecond)
	job.MayRun = bothDomains[1:]
	network.submit(front, job, time.Minute)
	network.advance(100 * time.Millisecond)
}

// Symptom: a resend runs at home although the job ran in another failure domain.
// Sequence: a home hands a job over, and it ends there, or runs still. Both hosts of the
// home that know it die, at once, one shortly after the other, or one a while before the
// other is cut off for good; where they start again they remember nothing. The job is
// sent again by way of the third host.
// Cause: a new lead asked its own failure domain only, where nobody was left who knew.
func TestLostHomeAsksWhereItsJobsRan(t *testing.T) {
	losses := map[string]func(network *network, lead, second *fakeHost){
		"both die": func(network *network, lead, second *fakeHost) {
			network.crashHost(lead)
			network.crashHost(second)
		},
		"the second dies during the takeover": func(network *network, lead, second *fakeHost) {
			network.crashHost(lead)
			for network.leadOf("leuven") == lead {
				network.advance(hop / 2)
			}
			network.crashHost(second)
		},
		"both die and start again": func(network *network, lead, second *fakeHost) {
			network.crashHost(lead)
			network.crashHost(second)
			network.advance(100 * time.Millisecond)
			network.startHost(lead)
			network.startHost(second)
		},
		"the second starts again before the lead dies": func(network *network, lead, second *fakeHost) {
			network.crashHost(second)
			network.startHost(second)
			network.crashHost(lead)
		},
	}
	for name, lose := range losses {
		for _, runTime := range []time.Duration{50 * time.Millisecond, 8 * time.Second} {
			t.Run(name+" "+runTime.String(), func(t *testing.T) {
				network := newNetwork(bothDomains, 3, 2, 4)
				lead := network.leadOf("leuven")
				homes := network.others(lead)
				second, third := homes[0], homes[1]
				network.warmUp(network.leadOf("roeselare"))
				network.occupy(lead)
				job := jobOf("job", "team", 2, runTime)
				job.MayRun = bothDomains
				network.submit(second, job, time.Minute)
				network.advance(200 * time.Millisecond)
				if spread := network.spread(); spread["roeselare"] != 3 {
					t.Fatalf("the job was not handed over: %v", spread)
				}
				lose(network, lead, second)
				network.advance(4 * time.Second)
				network.submit(third, job, time.Minute)
				network.advance(10 * time.Second)
				if answer := network.outcome(job); answer == nil || answer.Outcome != messenger.OutcomeComplete {
					t.Errorf("answered %+v", answer)
				}
				if len(network.oracle.breaches) > 0 {
					t.Errorf("broken promises: %v", network.oracle.breaches)
				}
			})
		}
	}
}
