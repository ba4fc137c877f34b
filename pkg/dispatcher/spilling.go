package dispatcher

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// A job of which nothing has started may be handed over (spilled) as a whole to the lead of another
// failure domain in its may-run list. Its record stays at home, and only the home lead answers it.
// Four rules ensure that it runs at most once:
//   - Before the job leaves, a second host of the home records where it goes. A new home lead then
//     queries that failure domain before it starts anything.
//   - A spilled job starts at home only after a refusal that says "not run".
//   - The lead that received it never hands it on, so a job can't go back and forth.
//   - A lead accepts nothing from a home lead that another one has replaced.

// spillTarget returns the lead that should get a fresh job, or nil. That lead's free slots must
// take all tasks of the job at once, while at home the job would wait longer than the round trip.
//
// The known number of free slots is out of date by the notice interval and the transit time. In
// the meantime other homes hand jobs over and the lead starts its own jobs. A job that finds too
// few slots comes back, which costs messages, so some spare slots are required.
func (dispatcher *Dispatcher) spillTarget(cell *cell, job *job) *remote {
	if job.homeLead != "" || dispatcher.remotes.Len() == 0 || !dispatcher.spillIsFaster(cell) {
		return nil
	}
	needed := len(job.tasks) + int(dispatcher.Settings.Spill.SpareShare*float64(dispatcher.capacity(cell)))
	var best *remote
	for _, domain := range job.spec.MayRun {
		candidate := dispatcher.remotes.Get(remoteKey{failureDomain: domain, cell: cell.number})
		if domain == dispatcher.FailureDomain || candidate == nil || candidate.unreachable || dispatcher.evacuations.Has(domain) {
			continue
		}
		if int(candidate.free) >= needed && (best == nil || candidate.free > best.free) {
			best = candidate
		}
	}
	return best
}

// spillIsFaster reports whether a task that is queued now would wait longer than a handover takes.
func (dispatcher *Dispatcher) spillIsFaster(cell *cell) bool {
	slots := dispatcher.capacity(cell)
	if slots == 0 {
		return true
	}
	wait := cell.queue.Work() / time.Duration(slots)
	return wait > dispatcher.Settings.Spill.RoundTrip+dispatcher.Settings.Spill.Margin
}

// enqueueOrSpill queues a fresh job or hands it over.
func (dispatcher *Dispatcher) enqueueOrSpill(cell *cell, job *job) {
	target := dispatcher.spillTarget(cell, job)
	if target == nil {
		dispatcher.enqueue(cell, job)
		return
	}
	job.state = jobSpilling
	job.spilledTo = target.key.failureDomain
	target.free -= identifier.Slots(len(job.tasks))
	dispatcher.outputs.add(&RecordSpill{
		Holders: slices.Clone(job.recipients),
		Record: messenger.CopyRecord{
			Submission: job.spec.Submission,
			Caller:     job.spec.Caller,
			Job:        job.spec.Job,
			Cell:       cell.number,
			Age:        dispatcher.now.Sub(job.firstForwarded),
			Epoch:      cell.epoch,
			SpilledTo:  job.spilledTo,
		},
	})
	dispatcher.timers.Set(job.timer(timerSpill), dispatcher.now.Add(dispatcher.Settings.Spill.RecordWait))
}

// sendSpilled sends the jobs whose record a second host holds.
func (dispatcher *Dispatcher) sendSpilled(input *SpillRecorded) {
	for _, submission := range input.Submissions {
		job := dispatcher.jobs.Get(submission)
		if job != nil && job.state == jobSpilling {
			job.state = jobSpilled
			dispatcher.recordDigest(job, messenger.DigestStarted)
			dispatcher.sendSpill(job, messenger.SpillRun)
			job.mayHaveEarlierStarts = true
		}
	}
}

func (dispatcher *Dispatcher) remoteOf(job *job) *remote {
	return dispatcher.remotes.Get(remoteKey{failureDomain: job.spilledTo, cell: job.cell})
}

func (dispatcher *Dispatcher) sendSpill(job *job, mode messenger.SpillMode) {
	job.spillMode = mode
	dispatcher.timers.Set(job.timer(timerSpill), dispatcher.now.Add(dispatcher.Settings.Spill.QueryInterval))
	target := dispatcher.remoteOf(job)
	if target == nil || target.unreachable {
		dispatcher.markSpillUnknown(job)
		return
	}
	dispatcher.recordJobStep(explainer.KindSpilled, job.spec.Submission, string(target.host))
	dispatcher.outputs.add(&SpillJob{To: target.host, Request: messenger.SpillRequest{
		Job:                  job.spec,
		Remaining:            job.deadline.Remaining(dispatcher.now),
		MayHaveEarlierStarts: job.mayHaveEarlierStarts,
		Age:                  dispatcher.now.Sub(job.firstForwarded),
		Mode:                 mode,
		Epoch:                dispatcher.cells.Get(job.cell).epoch,
	}})
}

// expireSpill keeps a job at home if its record was not confirmed, and resends the query for a
// spilled job.
func (dispatcher *Dispatcher) expireSpill(submission identifier.SubmissionID) {
	job := dispatcher.jobs.Get(submission)
	switch {
	case job == nil:
	case job.state == jobSpilling:
		dispatcher.enqueue(dispatcher.cells.Get(job.cell), job)
	case job.state == jobSpilled:
		dispatcher.sendSpill(job, job.spillMode)
	}
}

// resendSpills asks a lead that is new or has returned for the jobs that were handed to its cell.
func (dispatcher *Dispatcher) resendSpills(remote *remote) {
	dispatcher.eachSpilled(remote, func(job *job) {
		job.spillUnknownUntil = identifier.Never
		dispatcher.timers.Clear(job.timer(timerUnknownWait))
		dispatcher.sendSpill(job, job.spillMode)
	})
}

// markSpillsUnknown records that the state of the jobs that were handed to a cell can't be
// determined. They never start at home; they fail unless the cell's lead returns.
func (dispatcher *Dispatcher) markSpillsUnknown(remote *remote) {
	dispatcher.eachSpilled(remote, dispatcher.markSpillUnknown)
}

func (dispatcher *Dispatcher) markSpillUnknown(job *job) {
	if job.spillUnknownUntil != identifier.Never && job.spillUnknownUntil != 0 {
		return
	}
	job.spillUnknownUntil = dispatcher.now.Add(dispatcher.Settings.UnknownTaskWait)
	dispatcher.timers.Set(job.timer(timerUnknownWait), job.spillUnknownUntil)
}

func (dispatcher *Dispatcher) eachSpilled(remote *remote, visit func(*job)) {
	dispatcher.jobs.Each(func(_ identifier.SubmissionID, job *job) bool {
		if job.state == jobSpilled && job.spilledTo == remote.key.failureDomain && job.cell == remote.key.cell {
			visit(job)
		}
		return true
	})
}

// recordSpillAnswer handles the answer of a spilled job. After "not run" the job
// starts at home.
func (dispatcher *Dispatcher) recordSpillAnswer(input *SpillAnswered) {
	dispatcher.outputs.add(&ConfirmSpill{To: input.From, Submission: input.Answer.Submission})
	job := dispatcher.jobs.Get(input.Answer.Submission)
	if job == nil || job.state != jobSpilled {
		return
	}
	if target := dispatcher.remoteOf(job); input.Answer.NotRun && (target == nil || target.host != input.From) {
		// A deposed lead can't know what its successor has started.
		return
	}
	dispatcher.timers.Clear(job.timer(timerSpill))
	dispatcher.timers.Clear(job.timer(timerUnknownWait))
	cell := dispatcher.cells.Get(job.cell)
	switch {
	case input.Answer.NotRun && job.spillMode == messenger.SpillRun:
		job.mayHaveEarlierStarts = false
		dispatcher.enqueue(cell, job)
	case input.Answer.NotRun:
		dispatcher.resume(cell, job, nil)
	case input.Answer.Outcome == messenger.OutcomeRefused:
		dispatcher.giveUpSpilled(job, "failure domain "+string(job.spilledTo)+" can't tell what became of the job")
	default:
		dispatcher.finish(job, input.Answer)
	}
}

// giveUpSpilled ends a job that another failure domain has or may have, and about which nothing can
// be learned. If records may be missing, an earlier lead may have answered it: a caller that has
// received "complete" must not receive "failed".
func (dispatcher *Dispatcher) giveUpSpilled(job *job, detail string) {
	if job.spillMode == messenger.SpillQuery && dispatcher.cells.Get(job.cell).mayMissRecords() {
		dispatcher.finish(job, messenger.RefuseUnknown(job.spec.Submission, messenger.ReasonTaskUnknown, detail))
		return
	}
	dispatcher.failJob(job, messenger.ReasonTaskUnknown, detail)
}

// stopSpilled cancels a spilled job.
func (dispatcher *Dispatcher) stopSpilled(job *job) {
	if target := dispatcher.remoteOf(job); target != nil {
		cancel := messenger.Cancel{Submission: job.spec.Submission, Caller: job.spec.Caller}
		dispatcher.outputs.add(&CancelSpill{To: target.host, Cancel: cancel})
	}
}
