package allocator_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// threeSpeeds are the factors of time of a fleet with three speeds, thirds of its servers each.
var threeSpeeds = []float64{0.6, 1, 1.67}

func (load *load) factorOf(index int) float64 {
	if count := len(load.runTimeFactors); count > 0 {
		return load.runTimeFactors[(index+index/3)%count]
	}
	return 1
}

// startDelay is when a start arrives at its server, unless it is lost. Where one is troubled, its host
// reports to the lead what it reports of calls without an answer.
func (load *load) startDelay(lead int, key messenger.RunKey, run messenger.GrantedRun, epoch identifier.Epoch) (time.Duration, bool) {
	server := load.servers[run.Server]
	if !load.lateStarts || load.factorOf(server.index) < slices.Max(load.runTimeFactors) {
		return serverDelay, false
	}
	switch drawn := load.random.Float64(); {
	case drawn < 0.1:
		report := messenger.StartReport{RunKey: key, Server: run.Server, Epoch: epoch, Outcome: messenger.StartUnanswered}
		load.deliver(lead, 300*time.Millisecond, &allocator.StartReported{From: "host-b", Report: report})
		return 0, true
	case drawn < 0.35:
		call := messenger.UnsettledStart{RunKey: key, Server: run.Server, Epoch: epoch}
		load.deliver(lead, 100*time.Millisecond, &allocator.StartRepeated{From: "host-b", Repeat: messenger.StartRepeat{Start: call}})
		return 250 * time.Millisecond, false
	}
	return serverDelay, false
}

// newLoadWithSpeeds simulates 30 servers of three speeds for a while.
func newLoadWithSpeeds(prepare func(load *load)) *load {
	created := newLoad(30)
	created.runTimeFactors = threeSpeeds
	if prepare != nil {
		prepare(created)
	}
	created.simulate(60, time.Minute)
	return created
}

func serverNamed(index int) identifier.ServerIncarnation {
	return identifier.ServerIncarnation(fmt.Sprintf("s%d", index))
}

func reportsOf(lead *allocator.Allocator) map[identifier.ServerIncarnation]messenger.ServerReport {
	reports := make(map[identifier.ServerIncarnation]messenger.ServerReport)
	for _, report := range lead.Reports() {
		reports[report.Server] = report
	}
	return reports
}

// wantSpeeds checks the reported speeds of the servers, of which some single ones may be off.
func (load *load) wantSpeeds(t *testing.T, reports map[identifier.ServerIncarnation]messenger.ServerReport) {
	t.Helper()
	wrong := 0
	for index := range len(reports) {
		speed := reports[serverNamed(index)].Speed
		if speed == 0 {
			speed = identifier.UsualSpeed
		}
		if math.Abs(math.Log(float64(speed)/1000*load.factorOf(index))) > 0.35 {
			wrong++
			t.Logf("server %d: speed %d, factor of time %.2f", index, speed, load.factorOf(index))
		}
	}
	if wrong > 2 {
		t.Errorf("%d of %d speeds are wrong", wrong, len(reports))
	}
}

// TestNextLeadKnowsSpeeds guards against a lead that takes over after the loss of the previous one and
// places long tasks on slow servers until it has learned the speeds itself. It knows them from the
// broadcast reports, or, after a start of all hosts, from the keepers, in either order with the reports
// of the servers themselves.
func TestNextLeadKnowsSpeeds(t *testing.T) {
	load := newLoadWithSpeeds(nil)
	load.wantSpeeds(t, load.broadcasts)
	for _, source := range []string{"lead", "keepers", "keepers after heartbeats"} {
		next := &allocator.Allocator{FailureDomain: domainOf(0), Settings: allocator.DefaultSettings()}
		var inputs []allocator.Input
		for index := range len(load.servers) {
			own := load.servers[serverNamed(index)].report
			report := load.broadcasts[own.Server]
			switch source {
			case "lead":
				inputs = append(inputs, &allocator.ReportArrived{Report: own}, &allocator.ReportArrived{Report: report})
			case "keepers":
				inputs = append(inputs, &allocator.ReportRecalled{Report: report}, &allocator.ReportArrived{Report: own})
			default:
				inputs = append(inputs, &allocator.ReportArrived{Report: own}, &allocator.ReportRecalled{Report: report})
			}
		}
		next.Tick(load.now, inputs)
		load.leads[0] = next
		load.tick(0, &allocator.LeadTaken{Epoch: identifier.Epoch(load.now)})
		load.simulate(1, 0)
		load.wantSpeeds(t, reportsOf(next))
		request := messenger.CapacityRequest{Job: identifier.JobID(source), Service: "desk", Queue: "large", Attempts: 3, Stretch: 1.6, Remaining: 5 * time.Second}
		for task := range messenger.TaskIndex(8) {
			needs := identifier.Resources{MilliCPU: 8000, Memory: 64 << 20}
			request.Tasks = append(request.Tasks, messenger.TaskRequest{Task: task, Needs: needs, Declared: 900 * time.Millisecond})
		}
		granted := 0
		for _, output := range next.Tick(load.now, []allocator.Input{&allocator.CapacityRequested{From: "host-b", Request: request}}) {
			if grant, isGrant := output.(*allocator.GrantCapacity); isGrant {
				for _, run := range grant.Grant.Runs {
					granted++
					if load.factorOf(load.servers[run.Server].index) > 1.6 {
						t.Errorf("speeds from the %s: a long task is placed on the slow server %s", source, run.Server)
					}
				}
			}
		}
		if granted != 8 {
			t.Errorf("speeds from the %s: %d of 8 tasks are granted", source, granted)
		}
	}
}

// TestTroubledStartsAreNoSpeed guards against starts that are late, repeated or lost and count as the
// speed of the server, or leave jobs without an answer.
func TestTroubledStartsAreNoSpeed(t *testing.T) {
	load := newLoadWithSpeeds(func(load *load) { load.lateStarts = true })
	load.wantSpeeds(t, load.broadcasts)
	if len(load.open) > 0 {
		t.Errorf("%d jobs have no answer", len(load.open))
	}
}

// TestWrongSpeedIsCorrected guards against a wrong speed that a lead takes over and keeps: here all are
// told as their inverse. One out of bounds changes nothing.
func TestWrongSpeedIsCorrected(t *testing.T) {
	load := newLoadWithSpeeds(func(load *load) {
		load.tick(0, &allocator.LeadLost{})
		for index := range len(load.servers) {
			report := load.servers[serverNamed(index)].report
			for _, told := range []identifier.Speed{identifier.Speed(1000 * load.factorOf(index)), 100_000} {
				report.Speed = told
				load.tick(0, &allocator.ReportArrived{Report: report})
			}
		}
		load.tick(0, &allocator.LeadTaken{Epoch: 2})
	})
	load.wantSpeeds(t, reportsOf(load.leads[0]))
}

// TestKindsThatChangePlaces guards against health that excludes servers for good, or speeds that stay,
// when the fast servers become the slow ones.
func TestKindsThatChangePlaces(t *testing.T) {
	load := newLoadWithSpeeds(nil)
	load.runTimeFactors = []float64{threeSpeeds[2], threeSpeeds[1], threeSpeeds[0]}
	load.simulate(60, time.Minute)
	load.wantSpeeds(t, load.broadcasts)
}

// TestFastServerThatTurnsSlow guards against a learned speed that follows a sick server, so that it is
// ejected later than in a fleet whose servers are alike.
func TestFastServerThatTurnsSlow(t *testing.T) {
	ejectedAfter := func(factors []float64) time.Duration {
		load := newLoad(30)
		load.runTimeFactors = factors
		load.simulate(60, 20*time.Second)
		turned := load.now
		load.slow, load.slowFactor = 1, 4
		load.simulate(60, 10*time.Second)
		if load.ejectedAt["s0"] < turned {
			return time.Hour
		}
		return load.ejectedAt["s0"].Sub(turned)
	}
	alike, fast := ejectedAfter([]float64{1}), ejectedAfter(threeSpeeds)
	t.Logf("ejected last after %v in an alike fleet, %v where it was fast", alike, fast)
	if fast > alike+time.Second {
		t.Errorf("ejected after %v, in an alike fleet after %v", fast, alike)
	}
}

// TestTaskGetsSlowServerInTheEnd guards against a task that waits for a fast server for good while slow
// ones are free: the fast ones have left after the first tasks of the job had started.
func TestTaskGetsSlowServerInTheEnd(t *testing.T) {
	load := newLoadWithSpeeds(nil)
	next := load.leads[0]
	for index := range len(load.servers) {
		report := load.servers[serverNamed(index)].report
		report.Draining = load.factorOf(index) < 1.6
		load.tick(0, &allocator.ReportArrived{Report: report})
	}
	request := messenger.CapacityRequest{Job: "last", Service: "desk", Queue: "large", Attempts: 3, Stretch: 1.6, Remaining: 5 * time.Second, Partial: true}
	needs := identifier.Resources{MilliCPU: 8000, Memory: 64 << 20}
	request.Tasks = append(request.Tasks, messenger.TaskRequest{Needs: needs, Declared: 900 * time.Millisecond})
	arrived := load.now
	isGranted := func(outputs []allocator.Output) bool {
		return slices.ContainsFunc(outputs, func(output allocator.Output) bool { _, is := output.(*allocator.GrantCapacity); return is })
	}
	if isGranted(next.Tick(load.now, []allocator.Input{&allocator.CapacityRequested{From: "host-b", Request: request}})) {
		t.Error("the task does not wait for a faster server")
	}
	for !isGranted(next.Tick(load.now, nil)) {
		load.now = next.NextDeadline()
		if load.now.Sub(arrived) > time.Second {
			t.Fatal("the task gets no server within a second")
		}
	}
}
