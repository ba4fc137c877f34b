package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Guards against a task that runs a second time after its job has completed. The job's answer is at
// two hosts, so its backend server was told to forget it, and both hosts are lost. If the third
// host does not ask the backend servers, it mistakes the resubmission for a new job: "task t-0
// started for the second time, at binh-chanh-3; the first time at binh-chanh-1".
//
// A lead that misses two hosts must ask, must report to the caller that the answer is lost, and
// may start only what no backend server knows.
func TestAcknowledgedSubmissionIsNotStartedAgain(t *testing.T) {
	const server = identifier.BackendServerID("server-0")
	lead := &dispatcher.Dispatcher{Self: "entry-0", FailureDomain: fake.Domain, Settings: dispatcher.DefaultSettings()}
	outputs := lead.Tick(0, []dispatcher.Input{
		&dispatcher.ServerAnnounced{Server: server, Incarnation: 1, Slots: 4},
		&dispatcher.LeadTaken{Epoch: 2, Hosts: []identifier.HostID{"entry-0"}, Missing: []identifier.HostID{"entry-1", "entry-2"}},
	})
	if !asksForAcknowledged(outputs) {
		t.Error("a lead that misses two hosts does not request the acknowledged submissions")
	}
	outputs = lead.Tick(1, []dispatcher.Input{
		&dispatcher.TakeoverReplied{From: "entry-0", Reply: messenger.TakeoverReply{Epoch: 2}},
		&dispatcher.ServerReported{Server: server, Epoch: 2, Acknowledged: []messenger.SubmissionDigest{messenger.DigestOf("s-known")}},
		&dispatcher.JobForwarded{From: "entry-0", Job: newJob("s-known", "a", "counter", equalRuns(1, 0), nil), Deadline: identifier.Never},
		&dispatcher.JobForwarded{From: "entry-0", Job: newJob("s-new", "a", "counter", equalRuns(1, 0), nil), Deadline: identifier.Never},
	})
	for _, output := range outputs {
		if answered, isAnswer := output.(*dispatcher.JobAnswered); isAnswer {
			answer := answered.Answer
			if answer.Submission != "s-known" || answer.Reason != messenger.ReasonAnswerLost || !answer.ClaimsNothing() {
				t.Errorf("answered %+v", answer)
			}
		}
	}
	if started := startedSubmissions(outputs); len(started) != 1 || started[0] != "s-new" {
		t.Errorf("started %v, want s-new alone", started)
	}
}

// A lead that misses only one host, and has not recently started itself, knows every submission and
// requests nothing.
func TestLeadWithoutDoubtDoesNotAsk(t *testing.T) {
	lead := &dispatcher.Dispatcher{Self: "entry-0", FailureDomain: fake.Domain, Settings: dispatcher.DefaultSettings()}
	lead.Tick(0, []dispatcher.Input{&dispatcher.ServerAnnounced{Server: "server-0", Incarnation: 1, Slots: 4}})
	outputs := lead.Tick(identifier.Moment(time.Minute), []dispatcher.Input{
		&dispatcher.LeadTaken{Epoch: 2, Hosts: []identifier.HostID{"entry-0"}, Missing: []identifier.HostID{"entry-1"}},
	})
	if asksForAcknowledged(outputs) {
		t.Error("the lead requests the acknowledged submissions")
	}
}

func asksForAcknowledged(outputs []dispatcher.Output) bool {
	for _, output := range outputs {
		if batch, isBatch := output.(*dispatcher.ToServer); isBatch && batch.Lead != nil && batch.Lead.ListAcknowledged {
			return true
		}
	}
	return false
}

func startedSubmissions(outputs []dispatcher.Output) []identifier.SubmissionID {
	var started []identifier.SubmissionID
	for _, output := range outputs {
		if batch, isBatch := output.(*dispatcher.ToServer); isBatch {
			for _, start := range batch.Starts {
				started = append(started, start.Submission)
			}
		}
	}
	return started
}
