package executor

import (
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/messenger"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
)

// An entry host that may miss records requests the submissions whose answers a backend server
// deleted after an acknowledgement. If the server forgot the submissions with their answers,
// their tasks would run again.
func TestAcknowledgedSubmissionsAreRemembered(t *testing.T) {
	executor := &Executor{}
	executor.prepare()
	key := taskKey{submission: "s-1", task: "t-0"}
	executor.finished[key] = &finishedTask{answer: &backendv1.Answer{}, cell: 1}
	received := &backendv1.AnswerReceived{Submission: "s-1", Task: "t-0"}
	executor.acknowledge(received)
	executor.acknowledge(received)
	executor.acknowledge(&backendv1.AnswerReceived{Submission: "s-2", Task: "t-0"})
	want := []uint64{uint64(messenger.DigestOf("s-1"))}
	if got := executor.acknowledgedDigests(1); !slices.Equal(got, want) {
		t.Errorf("cell 1 has %v, want %v", got, want)
	}
	if got := executor.acknowledgedDigests(0); len(got) > 0 {
		t.Errorf("cell 0 has %v", got)
	}
	executor.forgetOld(time.Now().Add(answerRetention + time.Second))
	if got := executor.acknowledgedDigests(1); len(got) > 0 {
		t.Errorf("after the retention cell 1 has %v", got)
	}
}
