package supervisor

import (
	"cmp"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// A release may be lost: its connection breaks, or the lead takes messages too slowly. The lead would
// let the runs of the job go on until the job's deadline. So the release of a job that may have runs
// is repeated, without a reply, at 0.3, 0.9 and 2.1 s: the runs of a cancelled job have to end within
// 4 s. A connection that is lost for longer has the lead count this host as gone, which also ends the
// runs.
const (
	// releaseRepeatTime is the time to the first repetition; each further one takes twice as long.
	releaseRepeatTime = 300 * time.Millisecond
	maxReleaseRepeats = 3
)

// repeatRelease repeats the release of a job that was not submitted again, to the present leads of its
// cells.
func (supervisor *Supervisor) repeatRelease(id identifier.JobID) {
	job := supervisor.retained.Get(id)
	if job == nil || supervisor.jobs.Get(id) != nil {
		return
	}
	for _, group := range job.groups {
		if lead := cmp.Or(supervisor.leadOf(group.cell), group.lead); lead != "" {
			supervisor.release(lead, group.cell.Cell, id)
		}
	}
	job.releaseRepeats++
	if job.releaseRepeats < maxReleaseRepeats {
		supervisor.timers.Set(releaseTimer(id), supervisor.now.Add(releaseRepeatTime<<job.releaseRepeats))
	}
}

func releaseTimer(id identifier.JobID) timerKey { return timerKey{kind: timerRelease, job: id} }
