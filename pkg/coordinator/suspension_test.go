package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestWokenLeadGrantsNothing guards against a task that runs twice at the same time. A lead was
// paused for seconds while a caller's job waited for it. The caller left and submitted the job to
// another host, which by then leads and runs it. The former lead resumed, handled the job that had
// waited as if it were its first submission, and granted it capacity at a backend server that the
// new lead had not reached; a moment later it was notified that it no longer leads:
//
//	8.80075s called-0-1 RUNS job-12/1 run 2 epoch 8341296327
//	8.85s leuven-host-1 wakes
//	8.85s leuven-host-1 starts job-12/1 run 2 on called-1-1 epoch 6197262787
//	8.8505s leuven-host-1 lead changed
func TestWokenLeadGrantsNothing(t *testing.T) {
	network := newNetwork([]identifier.FailureDomain{"leuven"}, 3, 0, 0)
	world := newCalledWorld(network, nil, 2)
	harsh := newHarshFaults(world, harshKinds{resends: true})
	network.advance(2200 * time.Millisecond)
	lead := network.leadOf("leuven")
	other := network.hosts[0]
	if other == lead {
		other = network.hosts[1]
	}
	harsh.cutOff(network.hosts[:2], 1, 4*time.Second, true, true, true)
	harsh.freeze(lead, 1500*time.Millisecond, false)
	harsh.submit(lead, "job", 2)
	harsh.resubmit("job", other, 0)
	network.advance(3 * time.Second)
	for _, problem := range world.problems {
		t.Error(problem)
	}
	if !world.started["job"] {
		t.Error("the job did not start")
	}
	if t.Failed() {
		t.Log(strings.Join(world.history, "\n"))
	}
}

// TestWokenLeadSkipsJobsOfCallersThatLeft guards against a task that runs twice at the same time. A
// lead was suspended together with its clock while a caller submitted a job to it, left, and
// submitted the job in another failure domain. On resuming, the lead granted itself capacity for the
// job at a server that had restarted meanwhile, before it was notified that the caller had left:
//
//	11.253s leuven-host-0 starts job-16/3 run 4 on called-6
//	11.253s leuven-host-0 caller-left job-16
//	11.2535s called-6 RUNS job-16/3 run 4
//	11.268s called-9 RUNS job-16/3 run 4
func TestWokenLeadSkipsJobsOfCallersThatLeft(t *testing.T) {
	network := newNetwork(bothDomains, 1, 0, 0)
	world, harsh := newHarshWorld(network, nil, 2, harshKinds{resends: true, sameIDs: true})
	network.advance(2200 * time.Millisecond)
	lead, other := network.hosts[0], network.hosts[1]
	suspended := 2 * time.Second
	harsh.freeze(lead, suspended, true)
	harsh.endIncarnation(harsh.serverAt(0), false, 300*time.Millisecond, 2)
	network.advance(100 * time.Millisecond)
	harsh.submit(lead, "job", 2)
	network.advance(100 * time.Millisecond)
	harsh.resubmit("job", other, suspended-resubmitAfter-300*time.Millisecond)
	network.advance(5 * time.Second)
	for _, problem := range world.problems {
		t.Error(problem)
	}
	if !world.started["job"] {
		t.Error("the job did not start")
	}
	if t.Failed() {
		t.Log(strings.Join(world.history, "\n"))
	}
}

// TestResumedHostStartsNoOldGrants guards against a task that runs twice at the same time. A host was
// paused while the backend server of its caller's job started again twice under its id, and the lead
// granted the task again each time. On resuming, the host started each granted run in turn, at the
// one server, which the lead had not reached:
//
//	9.12s    geel-host-0 starts job-20/0 run 1 on called-3 1048577
//	9.12s    geel-host-0 starts job-20/0 run 2 on called-3 1048540
//	9.12025s called-3 1048623 RUNS job-20/0 run 1
//	9.27025s called-3 1048623 RUNS job-20/0 run 2
func TestResumedHostStartsNoOldGrants(t *testing.T) {
	network := newNetwork([]identifier.FailureDomain{"leuven"}, 2, 0, 0)
	world, harsh := newHarshWorld(network, nil, 1, harshKinds{resends: true, sameIDs: true})
	network.advance(2200 * time.Millisecond)
	lead := network.leadOf("leuven")
	caller := network.others(lead)[0]
	harsh.submit(caller, "job", 1)
	harsh.freeze(caller, time.Second, false)
	network.advance(300 * time.Millisecond)
	harsh.endIncarnation(harsh.serverAt(0), true, 10*time.Millisecond, 2)
	network.advance(600 * time.Millisecond)
	harsh.cutOff([]*fakeHost{lead}, 0, 300*time.Millisecond, true, true, true)
	harsh.endIncarnation(harsh.serverAt(0), false, 10*time.Millisecond, 3)
	network.advance(5 * time.Second)
	for _, problem := range world.problems {
		t.Error(problem)
	}
	if !world.started["job"] {
		t.Error("the job did not start")
	}
	if t.Failed() {
		t.Log(strings.Join(world.history, "\n"))
	}
}
