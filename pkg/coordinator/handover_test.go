package coordinator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// fillSlots fills the slots of leuven and its queue, so that the next job is spilled.
func (network *network) fillSlots(callerHost *fakeHost) {
	job := newJob("occupant", "team", 16, time.Second)
	job.MayRun = bothDomains[:1]
	network.submit(callerHost, job, time.Minute)
	network.advance(10 * time.Millisecond)
}

// Symptom: tasks of a submission run in two failure domains, or the job is answered as unknown
// although the other failure domain has it.
// Sequence: a lead that sees no other host of its failure domain hands a job off. The others return
// and hold its records, and one of them takes over the cell.
// Cause: only a second host recorded where a job was spilled to, and a lead that is alone has
// none. The next lead found a record without the other failure domain, and no backend server at
// home that has the job.
func TestLeadRemembersWhereItHandsJobsTo(t *testing.T) {
	network := newTwoDomains(t)
	lead := network.leadOf("leuven")
	second := network.hosts[0]
	if second == lead {
		second = network.hosts[1]
	}
	network.crashHost(second)
	network.advance(3 * time.Second)
	network.fillSlots(lead)
	job := newJob("job", "team", 2, 10*time.Second)
	job.MayRun = bothDomains
	network.submit(lead, job, time.Minute)
	network.advance(100 * time.Millisecond)
	if spread := network.startsByDomain(); spread["roeselare"] != 2 {
		t.Fatalf("the job was not handed off: %v", spread)
	}
	network.startHost(second)
	network.advance(3 * time.Second)
	network.crashHost(lead)
	network.advance(3 * time.Second)
	network.submit(second, job, time.Minute)
	network.advance(20 * time.Second)
	if answer := network.finalAnswer(job); answer == nil || answer.Outcome != messenger.OutcomeComplete {
		t.Fatalf("answered %+v", answer)
	}
}
