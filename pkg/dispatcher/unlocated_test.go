package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestDeadlineOfAnUnlocatedJobClaimsNothing guards against the answer "failed" of a submission that an
// earlier lead has answered otherwise: a new lead waits for tasks that no backend server has reported,
// and the deadline passes or the caller cancels. A job of which a task runs is marked failed.
func TestDeadlineOfAnUnlocatedJobClaimsNothing(t *testing.T) {
	deadline := identifier.Moment(time.Second)
	cancel := &dispatcher.CancelArrived{From: "entry-0", Cancel: messenger.Cancel{Submission: "s-1", Caller: "a"}}
	key := dispatcher.TaskKey{Submission: "s-1", Task: "t-0"}
	for name, test := range map[string]struct {
		reported []dispatcher.TaskKey
		end      []dispatcher.Input
		outcome  messenger.Outcome
	}{
		"the deadline passes":                   {nil, nil, messenger.OutcomeRefused},
		"the caller cancels":                    {nil, []dispatcher.Input{cancel}, messenger.OutcomeRefused},
		"the deadline passes while a task runs": {[]dispatcher.TaskKey{key}, nil, messenger.OutcomeFailed},
	} {
		t.Run(name, func(t *testing.T) {
			job := newJob("s-1", "a", "counter", equalRuns(1, 0), nil)
			cancel.Cancel.Caller = job.Caller
			lead := &dispatcher.Dispatcher{Self: "entry-0", FailureDomain: fake.Domain, Settings: dispatcher.DefaultSettings()}
			lead.Tick(0, []dispatcher.Input{
				&dispatcher.LeadTaken{Epoch: 2, Hosts: []identifier.HostID{"entry-0"}},
				&dispatcher.TakeoverReplied{From: "entry-0", Reply: messenger.TakeoverReply{Epoch: 2}},
				&dispatcher.ServerAnnounced{Server: "server-0", Incarnation: 1, Slots: 8},
			})
			lead.Tick(1, []dispatcher.Input{
				&dispatcher.ServerReported{Server: "server-0", Epoch: 2, Tasks: test.reported},
				&dispatcher.JobForwarded{From: "entry-0", Job: job, Deadline: deadline, MayHaveEarlierStarts: true},
			})
			at := deadline
			if test.end != nil {
				at = 2
			}
			var answer *messenger.JobAnswer
			for _, output := range lead.Tick(at, test.end) {
				if answered, isAnswer := output.(*dispatcher.JobAnswered); isAnswer {
					answer = answered.Answer
				}
			}
			if answer == nil || answer.Outcome != test.outcome || answer.NotRun {
				t.Errorf("answered %+v, want %v", answer, test.outcome)
			}
		})
	}
}
