package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

var threeDomains = []identifier.FailureDomain{"leuven", "roeselare", "geel"}

const (
	// noticed is longer than the hosts of a failure domain take to notice a loss and elect a lead.
	noticed = 4 * time.Second
	// settled is longer than any wait of a job of which nothing can be learned.
	settled = 15 * time.Second
	// longRun is the run time of a job that still runs when the hosts are lost.
	longRun = 20 * time.Second
	// downTime is how long a host is down that restarts.
	downTime = 20 * time.Millisecond
)

// home is a network with the roles that the hosts of leuven, the home of the job, have at first:
// the lead and the second host know the job, the third one doesn't.
type home struct {
	*network
	lead, second, third *fakeHost
	// cut holds the connections that a silent partition interrupts.
	cut map[*connection]bool
	// isolated holds the hosts that reach nothing.
	isolated map[*fakeHost]bool
}

func newHome(settings coordinator.Settings) *home {
	network := startNetwork(threeDomains, 3, 2, 4, settings)
	lead := network.leadOf("leuven")
	others := network.others(lead)
	return &home{
		network: network, lead: lead, second: others[0], third: others[1],
		cut: make(map[*connection]bool), isolated: make(map[*fakeHost]bool),
	}
}

// interrupt drops all messages on a connection from now on; neither end notices.
func (home *home) interrupt(first, second string) {
	link := home.connection(first, second)
	link.open = false
	link.generation++
	home.cut[link] = true
}

// isolate starts a silent partition between a host and everything else.
func (home *home) isolate(host *fakeHost) {
	home.isolated[host] = true
	for _, other := range home.others(host) {
		home.interrupt(string(host.id), string(other.id))
	}
	for _, server := range home.servers {
		if server.domain == host.domain {
			home.interrupt(string(host.id), string(server.id))
		}
	}
}

// cutOff starts a silent partition between a failure domain and the others.
func (home *home) cutOff(domain identifier.FailureDomain) {
	home.eachPair(func(first, second *fakeHost) {
		if first.domain == domain || second.domain == domain {
			home.interrupt(string(first.id), string(second.id))
		}
	})
}

// rejoin ends the partitions of a host, except from hosts that are still isolated. Its connections
// are reset and opened again.
func (home *home) rejoin(host *fakeHost) {
	delete(home.isolated, host)
	for _, other := range home.others(host) {
		if link := home.connection(string(host.id), string(other.id)); home.cut[link] && !home.isolated[other] {
			home.reopen(link)
			home.disconnectHosts(host, other)
			home.connectHosts(host, other)
		}
	}
	for _, server := range home.servers {
		if link := home.connection(string(host.id), string(server.id)); home.cut[link] {
			home.reopen(link)
			server.detach(host)
			server.attach(host)
		}
	}
}

func (home *home) reopen(link *connection) {
	delete(home.cut, link)
	link.open = true
}

func (home *home) rejoinAll() {
	clear(home.isolated)
	for _, host := range home.hosts {
		home.rejoin(host)
	}
}

// restart starts a host without state; it connects to no host beyond a partition.
func (home *home) restart(host *fakeHost) {
	for link := range home.cut {
		link.open = true
	}
	home.startHost(host)
	for link := range home.cut {
		link.open = false
		link.generation++
	}
}

// loss is a way to lose the lead and the second host.
type loss struct {
	name string
	lose func(home *home)
}

var losses = []loss{
	{"both die", func(home *home) {
		home.crashHost(home.lead)
		home.crashHost(home.second)
	}},
	{"lead dies, second 100 ms later", func(home *home) {
		home.crashHost(home.lead)
		home.advance(100 * time.Millisecond)
		home.crashHost(home.second)
	}},
	{"second dies, lead 100 ms later", func(home *home) {
		home.crashHost(home.second)
		home.advance(100 * time.Millisecond)
		home.crashHost(home.lead)
	}},
	{"lead isolated, second dies", func(home *home) {
		home.isolate(home.lead)
		home.advance(100 * time.Millisecond)
		home.crashHost(home.second)
	}},
	{"second isolated, lead dies", func(home *home) {
		home.isolate(home.second)
		home.advance(100 * time.Millisecond)
		home.crashHost(home.lead)
	}},
	{"lead isolated, second 400 ms later", func(home *home) {
		home.isolate(home.lead)
		home.advance(400 * time.Millisecond)
		home.isolate(home.second)
	}},
	{"second restarts empty, lead dies", func(home *home) {
		home.crashHost(home.second)
		home.advance(downTime)
		home.restart(home.second)
		home.advance(100 * time.Millisecond)
		home.crashHost(home.lead)
	}},
	{"second restarts empty, lead dies before that is noticed", func(home *home) {
		home.crashHost(home.second)
		home.advance(downTime)
		home.restart(home.second)
		home.advance(50 * time.Millisecond)
		home.crashHost(home.lead)
	}},
	{"lead restarts empty, second dies", func(home *home) {
		home.crashHost(home.lead)
		home.advance(downTime)
		home.restart(home.lead)
		home.advance(100 * time.Millisecond)
		home.crashHost(home.second)
	}},
}

// spill has a job of leuven run in roeselare. Leuven and its queue are full.
func (home *home) spill(t *testing.T, runTime time.Duration) *messenger.Job {
	t.Helper()
	home.warmUp(home.leadOf("roeselare"))
	home.fillSlots(home.lead)
	job := newJob("job", "team", 2, runTime)
	job.MayRun = bothDomains
	home.submit(home.second, job, time.Minute)
	home.advance(200 * time.Millisecond)
	for _, server := range home.serversOf(job) {
		if server.domain != "roeselare" {
			t.Fatalf("a task began at %s", server.id)
		}
	}
	if len(home.serversOf(job)) != len(job.Tasks) {
		t.Fatal("the job was not handed off")
	}
	return job
}

// resend resubmits the job to a host, ends all partitions later and checks the promises.
func (home *home) resend(t *testing.T, host *fakeHost, job *messenger.Job) {
	t.Helper()
	home.submit(host, job, time.Minute)
	waiter := home.oracle.lastWaiter
	home.advance(settled)
	home.rejoinAll()
	home.advance(settled)
	if home.oracle.answers[waiter] == nil {
		t.Error("the resend has no answer")
	}
	for _, violation := range home.oracle.violations {
		t.Error(violation)
	}
}

// spilledTimes are run times of a job that has ended, or still runs, when the hosts are lost.
var spilledTimes = []struct {
	name    string
	runTime time.Duration
}{
	{"ended", 20 * time.Millisecond},
	{"runs", longRun},
}

// TestForgottenSpill guards against a second start at home of a job that another failure domain
// has run, which is cut off when all hosts of the home that know the job are lost.
func TestForgottenSpill(t *testing.T) {
	for _, spilled := range spilledTimes {
		for _, loss := range losses {
			t.Run(spilled.name+", "+loss.name, func(t *testing.T) {
				home := newHome(coordinator.DefaultSettings())
				job := home.spill(t, spilled.runTime)
				home.cutOff("roeselare")
				home.advance(100 * time.Millisecond)
				loss.lose(home)
				home.advance(noticed)
				home.resend(t, home.third, job)
			})
		}
	}
}

// TestForgottenSpillAroundAReturn guards against the same second start when the resend arrives
// before the new lead is ready, or when the failure domain that ran the job has just rejoined.
func TestForgottenSpillAroundAReturn(t *testing.T) {
	for _, test := range []struct {
		name     string
		rejoined bool
		wait     time.Duration
	}{
		{"resend 100 ms after the loss", false, 100 * time.Millisecond},
		{"resend 1 s after the loss", false, time.Second},
		{"resend as the cut ends", true, 0},
		{"resend one hop after the cut", true, hop},
	} {
		for _, spilled := range spilledTimes {
			t.Run(spilled.name+", "+test.name, func(t *testing.T) {
				home := newHome(coordinator.DefaultSettings())
				job := home.spill(t, spilled.runTime)
				home.cutOff("roeselare")
				home.advance(100 * time.Millisecond)
				home.crashHost(home.lead)
				home.crashHost(home.second)
				if test.rejoined {
					home.advance(noticed)
					home.rejoinAll()
				}
				home.advance(test.wait)
				home.resend(t, home.third, job)
			})
		}
	}
}

// rollingRestart restarts hosts in turn; the last one is killed. Each is back for a pause before the
// next one goes.
func (home *home) rollingRestart(hosts []*fakeHost, pause time.Duration, stop func(host *fakeHost)) {
	for index, host := range hosts {
		if index == len(hosts)-1 {
			stop = home.crashHost
		}
		stop(host)
		for host.coordinator != nil {
			home.advance(10 * time.Millisecond)
		}
		home.advance(downTime)
		home.restart(host)
		home.advance(pause)
	}
}

// restartOrders are orders in which the hosts of the home restart.
var restartOrders = []struct {
	name  string
	hosts func(home *home) []*fakeHost
}{
	{"third, second, lead", func(home *home) []*fakeHost { return []*fakeHost{home.third, home.second, home.lead} }},
	{"third, lead, second", func(home *home) []*fakeHost { return []*fakeHost{home.third, home.lead, home.second} }},
	{"lead, second, third", func(home *home) []*fakeHost { return []*fakeHost{home.lead, home.second, home.third} }},
}

// restartStops are the ways in which all hosts but the last stop.
var restartStops = []struct {
	name string
	stop func(home *home, host *fakeHost)
}{
	{"shut down", func(home *home, host *fakeHost) { home.leave(host) }},
	{"killed", func(home *home, host *fakeHost) { home.crashHost(host) }},
}

// TestForgottenSpillAfterARollingRestart guards against the same second start when all hosts of the
// home restart one after another and the last one that knows the job is killed.
func TestForgottenSpillAfterARollingRestart(t *testing.T) {
	for _, order := range restartOrders {
		for _, pause := range []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second} {
			for _, way := range restartStops {
				t.Run(order.name+", "+way.name+", pause "+pause.String(), func(t *testing.T) {
					home := newHome(coordinator.DefaultSettings())
					job := home.spill(t, longRun)
					home.cutOff("roeselare")
					home.advance(100 * time.Millisecond)
					home.rollingRestart(order.hosts(home), pause, func(host *fakeHost) { way.stop(home, host) })
					home.advance(noticed)
					home.resend(t, home.third, job)
				})
			}
		}
	}
}

// runAtHome has a job complete at home and its answer acknowledged, and returns the backend server
// that ran it.
func (home *home) runAtHome(t *testing.T) (*messenger.Job, *fakeServer) {
	t.Helper()
	job := newJob("job", "team", 1, 20*time.Millisecond)
	home.submit(home.second, job, time.Minute)
	home.advance(200 * time.Millisecond)
	home.expectAnswer(t, job, messenger.OutcomeComplete, messenger.ReasonNone)
	server := home.serversOf(job)[0]
	if len(server.unacknowledged()) > 0 {
		t.Fatal("the answer was not acknowledged")
	}
	return job, server
}

// TestForgottenRunAtHome guards against a second start of a job whose answer was acknowledged, after
// the backend servers that ran it and both hosts that know it are lost.
func TestForgottenRunAtHome(t *testing.T) {
	for _, returns := range []bool{false, true} {
		for _, loss := range losses {
			name := loss.name + ", servers stay away"
			if returns {
				name = loss.name + ", servers return empty"
			}
			t.Run(name, func(t *testing.T) {
				home := newHome(coordinator.DefaultSettings())
				job, server := home.runAtHome(t)
				server.crash()
				if returns {
					home.advance(100 * time.Millisecond)
					server.boot()
				}
				home.advance(100 * time.Millisecond)
				loss.lose(home)
				home.advance(noticed)
				home.resend(t, home.third, job)
			})
		}
	}
}

// refusal has a job of leuven refused as not run, and then makes room for it.
type refusal struct {
	name   string
	refuse func(t *testing.T, home *home) *messenger.Job
}

var refusals = []refusal{
	{"queue full", func(t *testing.T, home *home) *messenger.Job {
		for _, name := range []string{"occupant-0", "occupant-1"} {
			home.submit(home.lead, newJob(name, "team", 8, 300*time.Millisecond), time.Minute)
			home.advance(10 * time.Millisecond)
		}
		job := newJob("job", "team", 2, 20*time.Millisecond)
		home.submit(home.second, job, time.Minute)
		home.advance(100 * time.Millisecond)
		home.expectAnswer(t, job, messenger.OutcomeRefused, messenger.ReasonQueueFull)
		home.advance(time.Second)
		return job
	}},
	{"no backend server", func(t *testing.T, home *home) *messenger.Job {
		for _, server := range home.servers[:2] {
			server.crash()
		}
		job := newJob("job", "team", 2, 20*time.Millisecond)
		home.submit(home.second, job, time.Minute)
		home.advance(3 * time.Second)
		home.expectAnswer(t, job, messenger.OutcomeRefused, messenger.ReasonNoBackendServer)
		for _, server := range home.servers[:2] {
			server.boot()
		}
		home.advance(100 * time.Millisecond)
		return job
	}},
}

// dieWithin loses the two hosts one after the other.
func dieWithin(first, second func(home *home) *fakeHost, pause time.Duration) func(home *home) {
	return func(home *home) {
		home.crashHost(first(home))
		home.advance(pause)
		home.crashHost(second(home))
	}
}

// isolateThenDie loses the second host before the others notice that the first one is isolated.
func isolateThenDie(first, second func(home *home) *fakeHost) func(home *home) {
	return func(home *home) {
		home.isolate(first(home))
		home.advance(time.Second)
		home.crashHost(second(home))
	}
}

func leadOfHome(home *home) *fakeHost   { return home.lead }
func secondOfHome(home *home) *fakeHost { return home.second }
func thirdOfHome(home *home) *fakeHost  { return home.third }

// shutDownTwoKillOne shuts down the two hosts that know the job in turn and then kills the third,
// which has taken their records over.
func shutDownTwoKillOne(first, second func(home *home) *fakeHost) func(home *home) {
	return func(home *home) {
		home.rollingRestart([]*fakeHost{first(home), second(home), home.third}, 100*time.Millisecond, home.leave)
	}
}

var refusalLosses = []loss{
	{"lead dies, second 0.2 s later", dieWithin(leadOfHome, secondOfHome, 200*time.Millisecond)},
	{"second dies, lead 0.2 s later", dieWithin(secondOfHome, leadOfHome, 200*time.Millisecond)},
	{"lead dies, second 1 s later", dieWithin(leadOfHome, secondOfHome, time.Second)},
	{"second dies, lead 1 s later", dieWithin(secondOfHome, leadOfHome, time.Second)},
	{"lead isolated, second dies 1 s later", isolateThenDie(leadOfHome, secondOfHome)},
	{"second isolated, lead dies 1 s later", isolateThenDie(secondOfHome, leadOfHome)},
	{"lead and second shut down, third dies", shutDownTwoKillOne(leadOfHome, secondOfHome)},
	{"second and lead shut down, third dies", shutDownTwoKillOne(secondOfHome, leadOfHome)},
}

// TestForgottenRefusal guards against the start of a job that was refused as not run, by its resend,
// after both hosts that know of the refusal are lost.
func TestForgottenRefusal(t *testing.T) {
	for _, refusal := range refusals {
		for _, loss := range slices.Concat(losses, refusalLosses) {
			t.Run(refusal.name+", "+loss.name, func(t *testing.T) {
				settings := coordinator.DefaultSettings()
				settings.Dispatcher.QueuedTasks = 8
				home := newHome(settings)
				job := refusal.refuse(t, home)
				if !home.finalAnswer(job).NotRun {
					t.Fatal("the refusal doesn't claim that the job did not run")
				}
				loss.lose(home)
				home.advance(noticed)
				home.resend(t, home.third, job)
			})
		}
	}
}

// TestNewJobRunsAfterLosses guards against the refusal of a new job by a lead that may miss records.
func TestNewJobRunsAfterLosses(t *testing.T) {
	for _, loss := range slices.Concat(losses, refusalLosses) {
		t.Run(loss.name, func(t *testing.T) {
			home := newHome(coordinator.DefaultSettings())
			home.submit(home.second, newJob("earlier", "team", 2, 20*time.Millisecond), time.Minute)
			home.advance(200 * time.Millisecond)
			loss.lose(home)
			home.advance(noticed)
			job := newJob("job", "team", 2, 20*time.Millisecond)
			home.resend(t, home.third, job)
			home.expectAnswer(t, job, messenger.OutcomeComplete, messenger.ReasonNone)
		})
	}
}

// loseAllBesideAnEmptyHost isolates the lead, restarts the second host without state and has the
// third, which was isolated, rejoin it.
func (home *home) loseAllBesideAnEmptyHost() {
	home.isolate(home.lead)
	home.advance(time.Second)
	home.crashHost(home.second)
	home.advance(1100 * time.Millisecond)
	home.restart(home.second)
	home.advance(700 * time.Millisecond)
	home.rejoin(home.third)
	home.advance(330 * time.Millisecond)
}

// TestForgottenBesideAnEmptyHost guards against a second start by an isolated host that rejoins
// beside a host without state, while the host that led the job is isolated.
func TestForgottenBesideAnEmptyHost(t *testing.T) {
	for _, test := range []struct {
		name string
		// isolatedFirst isolates the third host before the job runs instead of after.
		isolatedFirst bool
		serverDies    bool
		resendTo      func(home *home) *fakeHost
	}{
		{"isolated after the run, server dies, resend to the isolated host", false, true, thirdOfHome},
		{"isolated after the run, server dies, resend to the empty host", false, true, secondOfHome},
		{"isolated after the run, server lives, resend to the isolated host", false, false, thirdOfHome},
		{"isolated after the run, server lives, resend to the empty host", false, false, secondOfHome},
		{"isolated before the run, server dies, resend to the isolated host", true, true, thirdOfHome},
		{"isolated before the run, server dies, resend to the empty host", true, true, secondOfHome},
		{"isolated before the run, server lives, resend to the isolated host", true, false, thirdOfHome},
		{"isolated before the run, server lives, resend to the empty host", true, false, secondOfHome},
	} {
		t.Run(test.name, func(t *testing.T) {
			home := newHome(coordinator.DefaultSettings())
			if test.isolatedFirst {
				home.isolate(home.third)
				home.advance(noticed)
			}
			job := newJob("job", "team", 1, 20*time.Millisecond)
			home.submit(home.second, job, time.Minute)
			home.advance(400 * time.Millisecond)
			home.expectAnswer(t, job, messenger.OutcomeComplete, messenger.ReasonNone)
			home.isolate(home.third)
			home.advance(900 * time.Millisecond)
			if test.serverDies {
				home.serversOf(job)[0].crash()
			}
			home.advance(1500 * time.Millisecond)
			home.loseAllBesideAnEmptyHost()
			home.resend(t, test.resendTo(home), job)
		})
	}
}
