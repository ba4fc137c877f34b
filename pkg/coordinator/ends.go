package coordinator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

const (
	// endsKept bounds the ends that wait for the log. Beyond it they are acknowledged
	// although the log may not know them yet.
	endsKept = 16_384
	// flushes is after how many flush intervals the driver has surely reported an end.
	flushes = 2
)

// heldEnds remembers how tasks ended until the log knows it. Workers repeat an end
// until it is acknowledged. If that happened as soon as the driver knows it, an end
// would be lost with a driver that dies before it has reported: the next one would say
// "unknown" of a task that has succeeded. So an end is acknowledged when it is
// repeated while no report of its intent is under way any more.
type heldEnds struct {
	arrived *tabulator.Table[leaser.Number, identifier.Moment]
}

func newHeldEnds() *heldEnds {
	return &heldEnds{arrived: tabulator.New[leaser.Number, identifier.Moment]()}
}

// settled tells whether an end may be acknowledged at now. reporting tells whether a
// report of its intent waits for the log.
func (ends *heldEnds) settled(now identifier.Moment, ended planner.TaskEnded, flush time.Duration, reporting bool) bool {
	since := ends.arrived.Get(ended.Number)
	final := ended.End == planner.EndSucceeded || ended.End == planner.EndFailed
	switch {
	case !final || ends.arrived.Len() >= endsKept:
	case since == nil:
		ends.arrived.Put(ended.Number, &now)
		return false
	case reporting || now.Sub(*since) < flushes*flush:
		return false
	}
	ends.arrived.Remove(ended.Number)
	return true
}
