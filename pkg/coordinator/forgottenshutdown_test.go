package coordinator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
)

// shutDown shuts hosts down in turn and waits until their processes have ended.
func (home *home) shutDown(hosts ...*fakeHost) {
	for _, host := range hosts {
		home.leave(host)
		for host.coordinator != nil {
			home.advance(10 * time.Millisecond)
		}
	}
}

// shutDownTogether shuts hosts down at the same moment and waits until their processes have ended.
func (home *home) shutDownTogether(hosts ...*fakeHost) {
	for _, host := range hosts {
		home.leave(host)
	}
	for _, host := range hosts {
		for host.coordinator != nil {
			home.advance(10 * time.Millisecond)
		}
	}
}

// absences are the ways in which the third host is out of reach while the others shut down.
var absences = []struct {
	name   string
	begin  func(home *home)
	finish func(home *home)
}{
	{"isolated", func(home *home) { home.isolate(home.third) }, func(home *home) { home.rejoin(home.third) }},
	{"killed", func(home *home) { home.crashHost(home.third) }, func(home *home) { home.restart(home.third) }},
	{"shut down", func(home *home) { home.shutDown(home.third) }, func(home *home) { home.restart(home.third) }},
}

// shutdownOrders are the orders in which the two hosts that know the submission shut down.
var shutdownOrders = []struct {
	name string
	run  func(home *home)
}{
	{"lead, second", func(home *home) { home.shutDown(home.lead, home.second) }},
	{"second, lead", func(home *home) { home.shutDown(home.second, home.lead) }},
	{"both at once", func(home *home) { home.shutDownTogether(home.lead, home.second) }},
}

// TestForgottenAfterShutdowns guards against a second start, or the start of a refused submission, by a
// host that was out of reach while all others of its failure domain, which knew the submission, shut
// down.
func TestForgottenAfterShutdowns(t *testing.T) {
	for _, first := range firstRuns {
		for _, absence := range absences {
			for _, order := range shutdownOrders {
				// Within the first 1.5 s the others don't know yet that the third host is isolated.
				for _, wait := range []time.Duration{0, 200 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond, noticed} {
					t.Run(first.name+", "+absence.name+", "+order.name+", after "+wait.String(), func(t *testing.T) {
						home := newHome(smallQueueSettings())
						job := first.run(t, home)
						absence.begin(home)
						home.advance(wait)
						order.run(home)
						absence.finish(home)
						home.advance(noticed)
						home.resend(t, home.third, job)
					})
				}
			}
		}
	}
}

// TestForgottenRunDuringAnAbsence guards against a second start, or the start of a refused submission, that
// arrived while the host was out of reach.
func TestForgottenRunDuringAnAbsence(t *testing.T) {
	for _, first := range firstRuns {
		for _, absence := range absences {
			for _, order := range shutdownOrders {
				for _, wait := range []time.Duration{0, 300 * time.Millisecond, time.Second, noticed} {
					t.Run(first.name+", "+absence.name+", "+order.name+", after "+wait.String(), func(t *testing.T) {
						home := newHome(smallQueueSettings())
						absence.begin(home)
						home.advance(wait)
						job := first.run(t, home)
						order.run(home)
						absence.finish(home)
						home.advance(noticed)
						home.resend(t, home.third, job)
					})
				}
			}
		}
	}
}

// TestForgottenAfterShutdownsBesideEmptyHosts guards against a second start, or the start of a refused
// submission, beside hosts that shut down and have started again without state.
func TestForgottenAfterShutdownsBesideEmptyHosts(t *testing.T) {
	for _, first := range firstRuns {
		for _, absence := range absences {
			for _, restartFirst := range []bool{false, true} {
				for _, resendTo := range []func(home *home) *fakeHost{thirdOfHome, secondOfHome} {
					name := first.name + ", " + absence.name
					if restartFirst {
						name += ", started before the third host is back"
					}
					t.Run(name, func(t *testing.T) {
						home := newHome(smallQueueSettings())
						job := first.run(t, home)
						absence.begin(home)
						home.advance(noticed)
						home.shutDown(home.lead, home.second)
						if !restartFirst {
							absence.finish(home)
							home.advance(time.Second)
						}
						home.restart(home.lead)
						home.restart(home.second)
						if restartFirst {
							home.advance(time.Second)
							absence.finish(home)
						}
						home.advance(noticed)
						home.resend(t, resendTo(home), job)
					})
				}
			}
		}
	}
}

// plannedRestarts are series of planned shutdowns in which each host hands its records over to
// another one.
var plannedRestarts = []struct {
	name string
	run  func(home *home)
}{
	{"all in turn", func(home *home) {
		for _, host := range []*fakeHost{home.third, home.second, home.lead} {
			home.shutDown(host)
			home.restart(host)
			home.advance(noticed)
		}
	}},
	{"third starts while the second is away, lead shuts down", func(home *home) {
		home.shutDown(home.second)
		home.shutDown(home.third)
		home.restart(home.third)
		home.advance(noticed)
		home.shutDown(home.lead)
		home.restart(home.second)
		home.advance(noticed)
	}},
}

// TestRefusalAfterPlannedRestarts guards against refusals that claim nothing because a host that has
// left counts as missing although another host has its records.
func TestRefusalAfterPlannedRestarts(t *testing.T) {
	for _, restarts := range plannedRestarts {
		t.Run(restarts.name, func(t *testing.T) {
			home := newHome(smallQueueSettings())
			restarts.run(home)
			home.lead = home.leadOf("leuven")
			for _, host := range home.others(home.lead) {
				if host.domain == "leuven" && host.coordinator != nil {
					home.second = host
				}
			}
			if job := refuseAtOnce(t, home); !home.finalAnswer(job).NotRun {
				t.Error("the refusal doesn't claim that the job did not run")
			}
		})
	}
}

// TestShutdownWithoutReceipts guards against a shutdown that waits for receipts of hosts which run an
// earlier version and send none.
func TestShutdownWithoutReceipts(t *testing.T) {
	home := newHome(coordinator.DefaultSettings())
	home.drops = func(message coordinator.PeerMessage) bool { return message.HandoverReceipt }
	home.leave(home.lead)
	home.advance(2 * time.Second)
	if home.lead.coordinator != nil {
		t.Error("the shutdown isn't over after 2 s")
	}
}

// TestLostHandoverNotice guards against a host that counts as missing because its first notice to the
// others was lost.
func TestLostHandoverNotice(t *testing.T) {
	home := newHome(smallQueueSettings())
	lost := 0
	home.drops = func(message coordinator.PeerMessage) bool {
		lose := message.Handover != nil && lost < 2
		if lose {
			lost++
		}
		return lose
	}
	home.shutDown(home.second, home.lead)
	home.restart(home.lead)
	home.advance(noticed)
	home.lead, home.second = home.third, home.lead
	if job := refuseAtOnce(t, home); lost < 2 || !home.finalAnswer(job).NotRun {
		t.Errorf("%d notices were lost, and the refusal doesn't claim that the job did not run", lost)
	}
}
