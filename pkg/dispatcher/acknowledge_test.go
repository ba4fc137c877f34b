package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestStoppedTasksAreKeptUntilTheAnswerIsHeld guards against a task that starts a second time after
// its lead has died. A job fails and its other task is stopped. If the stopped task's answer is
// acknowledged at once because the job has ended, the backend server forgets the task. If the lead
// then dies before a second host holds the job's answer, the new lead finds no trace of the task
// and starts it.
func TestStoppedTasksAreKeptUntilTheAnswerIsHeld(t *testing.T) {
	lead := &dispatcher.Dispatcher{Self: "entry-0", FailureDomain: fake.Domain, Settings: dispatcher.DefaultSettings()}
	now := identifier.Moment(0)
	received := func(inputs ...dispatcher.Input) int {
		now = now.Add(time.Millisecond)
		count := 0
		for _, output := range lead.Tick(now, inputs) {
			if batch, isBatch := output.(*dispatcher.ToServer); isBatch {
				count += len(batch.Acknowledged)
			}
		}
		return count
	}
	answered := func(task identifier.TaskID, failed bool) dispatcher.Input {
		key := dispatcher.TaskKey{Submission: "s-1", Task: task}
		answer := dispatcher.ServerAnswer{TaskKey: key, Failed: failed, Cancelled: !failed}
		return &dispatcher.TasksAnswered{Server: "server-0", Answers: []dispatcher.ServerAnswer{answer}}
	}
	received(&dispatcher.LeadTaken{Epoch: 1}, &dispatcher.ServerAnnounced{Server: "server-0", Incarnation: 1, Slots: 8})
	received(&dispatcher.ServerReported{Server: "server-0", Epoch: 1})
	job := newJob("s-1", "a", "counter", equalRuns(3, 0), nil)
	received(&dispatcher.JobForwarded{From: "entry-1", Job: job, Deadline: identifier.Never})
	received(answered("t-0", true))
	if count := received(answered("t-1", false)); count != 0 {
		t.Errorf("%d answers were acknowledged before a second host held the job's answer", count)
	}
	if count := received(&dispatcher.AnswerReplicated{Submission: "s-1"}); count != 2 {
		t.Errorf("%d answers were acknowledged once it did, want 2", count)
	}
	if count := received(answered("t-2", false)); count != 1 {
		t.Errorf("%d answers were acknowledged after that, want 1", count)
	}
}
