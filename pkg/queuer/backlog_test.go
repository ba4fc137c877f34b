package queuer

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Guards against a panic of a new lead at its takeover. A host restarts and takes a cell;
// another host forwards a job that its caller sent before this process started, so that
// it is due before the clock's zero. The backlog looked up the bucket of a negative moment.
func TestDelaysLaterJobsWithDueBeforeClockStart(t *testing.T) {
	var backlog backlog
	backlog.add(bucketOf(identifier.Moment(time.Second)), time.Second)
	before := identifier.Moment(-200 * time.Millisecond)
	if backlog.delaysLaterJobs(0, before, time.Millisecond, 1) {
		t.Error("a millisecond of work delays what is due in a second")
	}
	if !backlog.delaysLaterJobs(0, before, 2*time.Second, 1) {
		t.Error("two seconds of work do not delay what is due in one")
	}
}
