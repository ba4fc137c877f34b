package awaiter_test

import (
	"context"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/awaiter"
)

// TestAnswersReachTheirRequests guards against answers that reach the wrong request: each
// request gets the answer to its own number, even one that arrives before it waits. A request
// whose context is done gets none, and no sender of an answer blocks.
func TestAnswersReachTheirRequests(t *testing.T) {
	var waiting awaiter.Awaiter[uint64, string]
	answer, answered := waiting.Await(context.Background(), func(id uint64) {
		waiting.Answer(id+1, "another's")
		waiting.Answer(id, "its own")
		waiting.Answer(id, "once more")
	})
	if !answered || answer != "its own" {
		t.Errorf("got %q, answered %t", answer, answered)
	}
	left, leave := context.WithCancel(context.Background())
	leave()
	var number uint64
	if _, answered := waiting.Await(left, func(id uint64) { number = id }); answered {
		t.Error("one who has left was answered")
	}
	waiting.Answer(number, "too late")
	if waiting.Len() != 0 {
		t.Errorf("%d requests wait, want none", waiting.Len())
	}
}
