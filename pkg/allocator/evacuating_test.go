package allocator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/budgeter"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestEvacuation guards against starts in an evacuated failure domain, and against jobs that are
// lost when they move to another one.
func TestEvacuation(t *testing.T) { runScenarios(t, "testdata/evacuations") }

func domainsNamed(names []string) messenger.EvacuatedDomains {
	var domains messenger.EvacuatedDomains
	for _, name := range names {
		domains = append(domains, identifier.FailureDomain(name))
	}
	return domains
}

// evacuation is an evacuation of the first of three failure domains, and its end.
type evacuation struct {
	at, until time.Duration
	// propagationDelay is how much later the other leads learn of it.
	propagationDelay time.Duration
}

func (load *load) scheduleEvacuation(planned evacuation) {
	for _, change := range []struct {
		at        time.Duration
		evacuated messenger.EvacuatedDomains
	}{
		{planned.at, messenger.EvacuatedDomains{domainOf(0)}},
		{planned.until, nil},
	} {
		for lead := range load.leads {
			delay := change.at
			if lead > 0 {
				delay += planned.propagationDelay
			}
			load.deliver(lead, delay, &allocator.EvacuationsChanged{Evacuated: change.evacuated})
		}
	}
}

// TestEvacuationUnderLoad simulates the users' job mix while one of three failure domains is
// evacuated for ten seconds: its callers are served by the others, and nothing starts in it.
func TestEvacuationUnderLoad(t *testing.T) {
	const perJob = 0.244*8*0.06 + 0.044*4*0.9 + 0.712*2*0.2
	for _, want := range []struct {
		servers int
		share   float64
		worth   float64
	}{
		{48, 0.6, 0.97}, {48, 0.8, 0.93}, {48, 0.95, 0.82}, {180, 0.8, 0.95},
	} {
		load := newLoadOf(3, want.servers/3)
		load.scheduleEvacuation(evacuation{at: 5 * time.Second, until: 15 * time.Second, propagationDelay: 10 * time.Millisecond})
		lastStart := identifier.Never
		load.at(0, 14900*time.Millisecond, func() []allocator.Input {
			lastStart = load.lastStarts[0]
			return nil
		})
		inUse := -1.0
		load.at(0, 16*time.Second, func() []allocator.Input {
			inUse = load.capacityInUseAt(0) / max(load.capacityInUseAt(1), load.capacityInUseAt(2))
			return nil
		})
		load.simulate(want.share*float64(want.servers)*2/3*2.25/perJob, 18*time.Second)
		late := time.Duration(lastStart) - 5*time.Second
		t.Logf("%d servers at %.2f: value %.3f, %d of %d rejected, last start %v after the evacuation began, capacity in use relative to the others 1 s after its end %.2f",
			want.servers, want.share, load.value(), load.rejected, load.jobs, late, inUse)
		if late > 2*serverDelay {
			t.Errorf("%d servers at %.2f: a run starts %v after the evacuation began", want.servers, want.share, late)
		}
		if load.value() < want.worth {
			t.Errorf("%d servers at %.2f: users get %.3f, want at least %.3f", want.servers, want.share, load.value(), want.worth)
		}
		if open := len(load.open); open > 0 {
			t.Errorf("%d servers at %.2f: %d jobs have no end", want.servers, want.share, open)
		}
	}
}

// capacityInUseAt is the number of runs per server of one failure domain.
func (load *load) capacityInUseAt(lead int) float64 {
	runs, servers := 0, 0
	for _, server := range load.servers {
		if server.lead == lead {
			servers++
			runs += len(server.running)
		}
	}
	return float64(runs) / float64(servers)
}

// TestEvacuationOfATaskThatIsHeldBack guards against a task that is blocked, as servers crash under
// it, and that is nevertheless handed to other failure domains, since nothing of its job waits for
// capacity.
func TestEvacuationOfATaskThatIsHeldBack(t *testing.T) {
	lead := &allocator.Allocator{FailureDomain: "leuven", Settings: allocator.DefaultSettings()}
	lead.Tick(0, []allocator.Input{&allocator.LeadTaken{Epoch: 7}, &allocator.EvacuationsChanged{Evacuated: messenger.EvacuatedDomains{"leuven"}}})
	task := messenger.TaskRequest{Needs: identifier.Resources{MilliCPU: 1000}, Declared: time.Second, Account: budgeter.Account{Crashes: 3}}
	outputs := lead.Tick(1, []allocator.Input{&allocator.CapacityRequested{From: "host-b", Request: messenger.CapacityRequest{
		Job: "j", Service: "desk", Queue: "quick", Attempts: 3, Stretch: 1.6, Remaining: time.Hour, HandedOff: true, Tasks: []messenger.TaskRequest{task},
	}}})
	if len(outputs) != 1 {
		t.Fatalf("got %d outputs, want one answer", len(outputs))
	}
	if answer, isAnswer := outputs[0].(*allocator.AnswerRequest); !isAnswer || answer.Answer.Kind != messenger.CapacityAnswerWaiting {
		t.Errorf("got %+v, want that the job waits", outputs[0])
	}
}

// TestEvacuationAnnouncesNoCapacity guards against other leads that hand jobs to an evacuated
// failure domain.
func TestEvacuationAnnouncesNoCapacity(t *testing.T) {
	load := newLoadOf(2, 4)
	load.simulate(20, time.Second)
	for _, want := range []struct {
		evacuated messenger.EvacuatedDomains
		room      bool
	}{{nil, true}, {messenger.EvacuatedDomains{domainOf(0)}, false}, {nil, true}} {
		load.now = load.now.Add(2 * time.Second)
		load.leads[0].Tick(load.now, []allocator.Input{&allocator.EvacuationsChanged{Evacuated: want.evacuated}})
		var lastNotice *messenger.CapacityNotice
		for _, output := range load.leads[0].Tick(load.now.Add(time.Second), nil) {
			if notice, isNotice := output.(*allocator.SendNotice); isNotice {
				lastNotice = &notice.Notice
			}
		}
		if lastNotice == nil || (lastNotice.FreeSlots > 0) != want.room || len(lastNotice.ExpectedReleases) > 0 && !want.room {
			t.Errorf("evacuated %v: the last notice is %+v", want.evacuated, lastNotice)
		}
	}
}
