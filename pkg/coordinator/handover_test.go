package coordinator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// occupy has work wait for leuven's slots, so that what comes next is handed over.
func (network *network) occupy(front *fakeHost) {
	job := jobOf("occupant", "team", 16, time.Second)
	job.MayRun = bothDomains[:1]
	network.submit(front, job, time.Minute)
	network.advance(10 * time.Millisecond)
}

// Symptom: tasks of a submission run in two failure domains, or the job is called
// unknown although the other failure domain has it.
// Sequence: a lead that sees no other host of its failure domain hands a job over. The
// others are back and hold its records, and one of them takes the cell.
// Cause: only a second host remembered where a job goes, and a lead that is alone has
// none. The next lead found a record that says nothing of the other failure domain, and
// no backend server at home that has the job.
func TestLeadRemembersWhereItHandsJobsTo(t *testing.T) {
	network := twoDomains(t)
	lead := network.leadOf("leuven")
	second := network.hosts[0]
	if second == lead {
		second = network.hosts[1]
	}
	network.crashHost(second)
	network.advance(3 * time.Second)
	network.occupy(lead)
	job := jobOf("job", "team", 2, 10*time.Second)
	job.MayRun = bothDomains
	network.submit(lead, job, time.Minute)
	network.advance(100 * time.Millisecond)
	if spread := network.spread(); spread["roeselare"] != 2 {
		t.Fatalf("the job was not handed over: %v", spread)
	}
	network.startHost(second)
	network.advance(3 * time.Second)
	network.crashHost(lead)
	network.advance(3 * time.Second)
	network.submit(second, job, time.Minute)
	network.advance(20 * time.Second)
	if answer := network.outcome(job); answer == nil || answer.Outcome != messenger.OutcomeComplete {
		t.Fatalf("answered %+v", answer)
	}
}
