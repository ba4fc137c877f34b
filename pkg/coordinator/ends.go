package coordinator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

const (
	// maxUnacknowledgedEnds limits the ends that wait for the log. Further ends are acknowledged
	// although the log may not have recorded them yet.
	maxUnacknowledgedEnds = 16_384
	// flushesUntilReported is the number of flush intervals after which the driver has certainly
	// reported an end.
	flushesUntilReported = 2
)

// unacknowledgedEnds records how tasks ended until the log has recorded it. Workers repeat an end
// until it is acknowledged. If an end were acknowledged as soon as the driver received it, it would
// be lost if the driver died before reporting it, and the next driver would report "unknown" for a
// task that succeeded. So an end is acknowledged when it is repeated while no report of its intent
// is in flight.
type unacknowledgedEnds struct {
	arrived *tabulator.Table[leaser.Number, identifier.Moment]
}

func newUnacknowledgedEnds() *unacknowledgedEnds {
	return &unacknowledgedEnds{arrived: tabulator.New[leaser.Number, identifier.Moment]()}
}

// mayAcknowledge reports whether an end may be acknowledged at now. reporting says whether a report
// of its intent waits for the log.
func (unacknowledgedEnds *unacknowledgedEnds) mayAcknowledge(now identifier.Moment, ended planner.TaskEnded, flush time.Duration, reporting bool) bool {
	since := unacknowledgedEnds.arrived.Get(ended.Number)
	final := ended.End == planner.EndSucceeded || ended.End == planner.EndFailed
	switch {
	case !final || unacknowledgedEnds.arrived.Len() >= maxUnacknowledgedEnds:
	case since == nil:
		unacknowledgedEnds.arrived.Put(ended.Number, &now)
		return false
	case reporting || now.Sub(*since) < flushesUntilReported*flush:
		return false
	}
	unacknowledgedEnds.arrived.Remove(ended.Number)
	return true
}
