package executor

import (
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/messenger"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
)

// An entry host that may miss records asks which submissions a backend server was told to forget.
// One that forgot them with their answers would let them run again.
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
	if got := executor.acknowledgedOf(1); !slices.Equal(got, want) {
		t.Errorf("cell 1 has %v, want %v", got, want)
	}
	if got := executor.acknowledgedOf(0); len(got) > 0 {
		t.Errorf("cell 0 has %v", got)
	}
	executor.forgetOld(time.Now().Add(answerRetention + time.Second))
	if got := executor.acknowledgedOf(1); len(got) > 0 {
		t.Errorf("after the retention cell 1 has %v", got)
	}
}
