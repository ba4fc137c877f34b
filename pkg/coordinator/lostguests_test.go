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

// Symptom: a job runs at home although it ran in another failure domain.
// Sequence: as above, while the other failure domain is cut off; the third host knows
// the job from a resend, but not where it went. The other one comes back in time, or not.
// Cause: a lead that may miss records took what no backend server at home has for not
// started, without a word from where the job may run as well.
func TestLostHomeWaitsForWhereItsJobsMayHaveRun(t *testing.T) {
	for name, test := range map[string]struct {
		cutOff  time.Duration
		outcome messenger.Outcome
	}{
		"back in time": {3 * time.Second, messenger.OutcomeComplete},
		"too late":     {time.Minute, messenger.OutcomeRefused},
	} {
		t.Run(name, func(t *testing.T) {
			network := newNetwork(bothDomains, 3, 2, 4)
			lead := network.leadOf("leuven")
			homes := network.others(lead)
			second, third := homes[0], homes[1]
			network.warmUp(network.leadOf("roeselare"))
			network.occupy(lead)
			job := jobOf("job", "team", 2, time.Second)
			job.MayRun = bothDomains
			network.submit(second, job, time.Hour)
			network.submit(third, job, time.Hour)
			network.advance(200 * time.Millisecond)
			if spread := network.spread(); spread["roeselare"] != 3 {
				t.Fatalf("the job was not handed over: %v", spread)
			}
			network.cutDomainsOff()
			network.crashHost(lead)
			network.crashHost(second)
			network.advance(test.cutOff)
			network.joinDomains()
			network.advance(10 * time.Second)
			network.submit(third, job, time.Hour)
			network.advance(10 * time.Second)
			if answer := network.last(job); answer == nil || answer.Outcome != test.outcome || answer.NotRun {
				t.Errorf("answered %+v, want %v", answer, test.outcome)
			}
			if len(network.oracle.breaches) > 0 {
				t.Errorf("broken promises: %v", network.oracle.breaches)
			}
		})
	}
}

// eachPair calls visit for the hosts of two failure domains, pair by pair.
func (network *network) eachPair(visit func(first, second *fakeHost)) {
	for _, first := range network.hosts {
		for _, second := range network.hosts {
			if first.domain < second.domain {
				visit(first, second)
			}
		}
	}
}

func (network *network) cutDomainsOff() { network.eachPair(network.breakHosts) }

func (network *network) joinDomains() { network.eachPair(network.connectHosts) }
