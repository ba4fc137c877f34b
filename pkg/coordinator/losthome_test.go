package coordinator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// warmUp runs a job of roeselare, so that its lead sends the others the number of its free slots.
func (network *network) warmUp(callerHost *fakeHost) {
	job := newJob("warm-up", "team", 1, time.Millisecond)
	job.MayRun = bothDomains[1:]
	network.submit(callerHost, job, time.Minute)
	network.advance(100 * time.Millisecond)
}

// Symptom: a resubmitted job runs at home although it ran in another failure domain.
// Sequence: a home hands a job off, and it has ended there or still runs. Both hosts of the home
// that know it crash: at once, one shortly after the other, or the lead after the second has
// restarted. Hosts that restart have no state. The job is resubmitted through the third host.
// Cause: a new lead queried only its own failure domain, where no host was left that knew the job.
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
				network.fillSlots(lead)
				job := newJob("job", "team", 2, runTime)
				job.MayRun = bothDomains
				network.submit(second, job, time.Minute)
				network.advance(200 * time.Millisecond)
				if spread := network.startsByDomain(); spread["roeselare"] != 3 {
					t.Fatalf("the job was not handed off: %v", spread)
				}
				lose(network, lead, second)
				network.advance(4 * time.Second)
				network.submit(third, job, time.Minute)
				network.advance(10 * time.Second)
				if answer := network.finalAnswer(job); answer == nil || answer.Outcome != messenger.OutcomeComplete {
					t.Errorf("answered %+v", answer)
				}
				if len(network.oracle.violations) > 0 {
					t.Errorf("broken promises: %v", network.oracle.violations)
				}
			})
		}
	}
}

// Symptom: a job runs at home although it ran in another failure domain.
// Sequence: as above, while the other failure domain is disconnected; the third host knows the job
// from a resubmission, but not where it was spilled to. The other failure domain is reconnected
// in time, or not.
// Cause: a lead that may miss records considered a job that no backend server at home has as not
// started, without an answer from where the job may run as well.
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
			network.fillSlots(lead)
			job := newJob("job", "team", 2, time.Second)
			job.MayRun = bothDomains
			network.submit(second, job, time.Hour)
			network.submit(third, job, time.Hour)
			network.advance(200 * time.Millisecond)
			if spread := network.startsByDomain(); spread["roeselare"] != 3 {
				t.Fatalf("the job was not handed off: %v", spread)
			}
			network.disconnectDomains()
			network.crashHost(lead)
			network.crashHost(second)
			network.advance(test.cutOff)
			network.connectDomains()
			network.advance(10 * time.Second)
			network.submit(third, job, time.Hour)
			network.advance(10 * time.Second)
			if answer := network.lastAnswer(job); answer == nil || answer.Outcome != test.outcome || answer.NotRun {
				t.Errorf("answered %+v, want %v", answer, test.outcome)
			}
			if len(network.oracle.violations) > 0 {
				t.Errorf("broken promises: %v", network.oracle.violations)
			}
		})
	}
}

// eachPair calls visit for each pair of hosts in two different failure domains.
func (network *network) eachPair(visit func(first, second *fakeHost)) {
	for _, first := range network.hosts {
		for _, second := range network.hosts {
			if first.domain < second.domain {
				visit(first, second)
			}
		}
	}
}

func (network *network) disconnectDomains() { network.eachPair(network.disconnectHosts) }

func (network *network) connectDomains() { network.eachPair(network.connectHosts) }
