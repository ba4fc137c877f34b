package dispatcher_test

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestDeposedLeadHandsNothingOver guards against a task that starts at home and again in another
// failure domain. A home lead is cut off and replaced, and the new lead runs a job. The old lead
// returns, does not know of its successor yet, finds the forwarded job in its connection and no
// usable backend server, and hands the job over. Epochs fence the starts of a deposed lead at its
// own backend servers, so the receiving lead must check them too. A lead whose successor this host
// doesn't know yet is still served.
func TestDeposedLeadHandsNothingOver(t *testing.T) {
	const home = identifier.FailureDomain("home")
	for name, test := range map[string]struct {
		from   identifier.HostID
		epoch  identifier.Epoch
		starts int
	}{
		"deposed":     {"home-0", 4, 0},
		"known":       {"home-1", 7, 1},
		"newer":       {"home-2", 9, 1},
		"no epoch":    {"home-0", 0, 1},
		"older known": {"home-1", 6, 1},
	} {
		lead := &dispatcher.Dispatcher{Self: "entry-0", FailureDomain: fake.Domain, Settings: dispatcher.DefaultSettings()}
		lead.Tick(0, []dispatcher.Input{
			&dispatcher.LeadTaken{Epoch: 2, Hosts: []identifier.HostID{"entry-0"}},
			&dispatcher.TakeoverReplied{From: "entry-0", Reply: messenger.TakeoverReply{Epoch: 2}},
			&dispatcher.RemoteLeadChanged{Notice: messenger.LeadNotice{FailureDomain: home, Host: "home-1", Epoch: 7}},
			&dispatcher.ServerAnnounced{Server: "server-0", Incarnation: 1, Slots: 8},
			&dispatcher.ServerReported{Server: "server-0", Epoch: 2},
		})
		job := newJob("s-1", "a", "counter", equalRuns(1, 0), nil)
		job.MayRun = []identifier.FailureDomain{home, fake.Domain}
		request := messenger.SpillRequest{Job: job, Mode: messenger.SpillRun, Epoch: test.epoch}
		starts := 0
		arrived := &dispatcher.SpillArrived{From: test.from, Request: request, Deadline: identifier.Never}
		for _, output := range lead.Tick(1, []dispatcher.Input{arrived}) {
			if batch, isBatch := output.(*dispatcher.ToServer); isBatch {
				starts += len(batch.Starts)
			}
		}
		if starts != test.starts {
			t.Errorf("%s: %d starts, want %d", name, starts, test.starts)
		}
	}
}

// TestLostHostHandsNothingOver guards against a task that starts in two failure domains, the second
// time right after a network cut ends. A home lead is isolated and replaced. When it returns, it
// hands over a job that its successor has run; the other failure domain was cut off longer and
// learns of the successor only after that job. A job must not be accepted from a host that counts
// as dead.
//
// The job must not be answered either: a "not run" for the first handover crossed with the second
// one, which was accepted, and the job ran at home as well.
func TestLostHostHandsNothingOver(t *testing.T) {
	for _, again := range []bool{false, true} {
		lead := &dispatcher.Dispatcher{Self: "entry-0", FailureDomain: fake.Domain, Settings: dispatcher.DefaultSettings()}
		lead.Tick(0, []dispatcher.Input{
			&dispatcher.LeadTaken{Epoch: 2, Hosts: []identifier.HostID{"entry-0"}},
			&dispatcher.TakeoverReplied{From: "entry-0", Reply: messenger.TakeoverReply{Epoch: 2}},
			&dispatcher.ServerAnnounced{Server: "server-0", Incarnation: 1, Slots: 8},
			&dispatcher.ServerReported{Server: "server-0", Epoch: 2},
		})
		job := newJob("s-1", "a", "counter", equalRuns(1, 0), nil)
		job.MayRun = []identifier.FailureDomain{"home", fake.Domain}
		request := messenger.SpillRequest{Job: job, Mode: messenger.SpillRun, Epoch: 4, MayHaveEarlierStarts: again}
		outputs := lead.Tick(1, []dispatcher.Input{
			&dispatcher.SpillArrived{From: "home-0", Request: request, Deadline: identifier.Never, SenderNotLive: true},
		})
		if started := startedSubmissions(outputs); len(started) != 0 {
			t.Errorf("resent %t: started %v", again, started)
		}
		for _, output := range outputs {
			if answer, isAnswer := output.(*dispatcher.AnswerSpill); isAnswer {
				t.Errorf("resent %t: answered %+v", again, answer.Answer)
			}
		}
	}
}
