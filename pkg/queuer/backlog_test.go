package queuer

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Symptom: the process of a new lead ends in a panic at its takeover.
// Sequence: a host restarts and takes a cell; another host forwards a job that its
// caller sent before this process began, so that it is due before the clock's zero.
// Cause: the backlog looked up the bucket of a negative moment.
func TestCrowdedByWhatWasDueBeforeTheClockBegan(t *testing.T) {
	var backlog backlog
	backlog.add(bucketOf(identifier.Moment(time.Second)), time.Second)
	before := identifier.Moment(-200 * time.Millisecond)
	if backlog.crowded(0, before, time.Millisecond, 1) {
		t.Error("a millisecond of work crowds out what is due in a second")
	}
	if !backlog.crowded(0, before, 2*time.Second, 1) {
		t.Error("two seconds of work leave room for what is due in one")
	}
}
