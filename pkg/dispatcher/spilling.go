package dispatcher

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// A job of which nothing has started may be handed whole to the lead of another
// failure domain in its may-run. Its record stays at home: the home lead alone
// answers it. Four rules keep the promises:
//   - Before the job leaves, a second host of the home remembers where it goes. A
//     new home lead then asks there before it starts anything.
//   - What was handed over starts at home only after a refusal that says "not run".
//   - The lead that got it never hands it on, so nothing goes back and forth.
//   - A lead takes nothing from a home lead that another has replaced.

// spillTarget returns the lead that should get a fresh job, or nil: one whose free
// slots take all its tasks at once, while at home it would wait for longer than the
// way there and back.
//
// What is known of free slots is old by a notice and the way. Other homes hand jobs
// over and the lead starts its own meanwhile; jobs that find too few slots come
// back, which costs their messages. So some slots must be to spare.
func (dispatcher *Dispatcher) spillTarget(cell *cell, job *job) *remote {
	if job.guestOf != "" || dispatcher.remotes.Len() == 0 || !dispatcher.waitsLong(cell) {
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

// waitsLong tells whether a task that is queued now waits for longer than handing
// it over would cost.
func (dispatcher *Dispatcher) waitsLong(cell *cell) bool {
	slots := dispatcher.capacity(cell)
	if slots == 0 {
		return true
	}
	wait := cell.queue.Work() / time.Duration(slots)
	return wait > dispatcher.Settings.Spill.RoundTrip+dispatcher.Settings.Spill.Margin
}

// place queues a fresh job, or hands it over.
func (dispatcher *Dispatcher) place(cell *cell, job *job) {
	target := dispatcher.spillTarget(cell, job)
	if target == nil {
		dispatcher.enqueue(cell, job)
		return
	}
	job.state = jobSpilling
	job.spilledTo = target.key.failureDomain
	target.free -= identifier.Slots(len(job.tasks))
	dispatcher.outputs.add(&RecordSpill{
		Holders: slices.Clone(job.holders),
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

// sendSpilled hands the jobs over whose record stands at a second host.
func (dispatcher *Dispatcher) sendSpilled(input *SpillRecorded) {
	for _, submission := range input.Submissions {
		job := dispatcher.jobs.Get(submission)
		if job != nil && job.state == jobSpilling {
			job.state = jobSpilled
			dispatcher.sendSpill(job, messenger.SpillRun)
			job.again = true
		}
	}
}

func (dispatcher *Dispatcher) remoteOf(job *job) *remote {
	return dispatcher.remotes.Get(remoteKey{failureDomain: job.spilledTo, cell: job.cell})
}

func (dispatcher *Dispatcher) sendSpill(job *job, mode messenger.SpillMode) {
	job.spillMode = mode
	dispatcher.timers.Set(job.timer(timerSpill), dispatcher.now.Add(dispatcher.Settings.Spill.AskAgain))
	target := dispatcher.remoteOf(job)
	if target == nil || target.unreachable {
		dispatcher.suspectSpill(job)
		return
	}
	dispatcher.noteJob(explainer.KindSpilled, job.spec.Submission, string(target.host))
	dispatcher.outputs.add(&SpillJob{To: target.host, Request: messenger.SpillRequest{
		Job:       job.spec,
		Remaining: job.deadline.Remaining(dispatcher.now),
		Again:     job.again,
		Age:       dispatcher.now.Sub(job.firstForwarded),
		Mode:      mode,
		Epoch:     dispatcher.cells.Get(job.cell).epoch,
	}})
}

// expireSpill keeps a job at home whose record was not confirmed, and asks again
// for one that was handed over.
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

// askRemote asks a lead that is new or has come back for the jobs that were handed
// to its cell.
func (dispatcher *Dispatcher) askRemote(remote *remote) {
	dispatcher.eachSpilled(remote, func(job *job) {
		job.spillUnknownUntil = identifier.Never
		dispatcher.timers.Clear(job.timer(timerUnknownWait))
		dispatcher.sendSpill(job, job.spillMode)
	})
}

// suspectSpilled notes that nobody can tell what became of the jobs that were
// handed to a cell. They never start at home; they fail unless its lead returns.
func (dispatcher *Dispatcher) suspectSpilled(remote *remote) {
	dispatcher.eachSpilled(remote, dispatcher.suspectSpill)
}

func (dispatcher *Dispatcher) suspectSpill(job *job) {
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

// recordSpillAnswer takes the answer of a job that was handed over. After a true
// "not run" the job starts at home.
func (dispatcher *Dispatcher) recordSpillAnswer(input *SpillAnswered) {
	dispatcher.outputs.add(&ConfirmSpill{To: input.From, Submission: input.Answer.Submission})
	job := dispatcher.jobs.Get(input.Answer.Submission)
	if job == nil || job.state != jobSpilled {
		return
	}
	if target := dispatcher.remoteOf(job); input.Answer.NotRun && (target == nil || target.host != input.From) {
		// A lead that was deposed can't know what the next one has started.
		return
	}
	dispatcher.timers.Clear(job.timer(timerSpill))
	dispatcher.timers.Clear(job.timer(timerUnknownWait))
	cell := dispatcher.cells.Get(job.cell)
	switch {
	case input.Answer.NotRun && job.spillMode == messenger.SpillRun:
		job.again = false
		dispatcher.enqueue(cell, job)
	case input.Answer.NotRun:
		dispatcher.resume(cell, job, nil)
	case input.Answer.Outcome == messenger.OutcomeRefused:
		dispatcher.giveUpSpilled(job, "failure domain "+string(job.spilledTo)+" can't tell what became of the job")
	default:
		dispatcher.finish(job, input.Answer)
	}
}

// giveUpSpilled ends a job that another failure domain has or may have had, and that
// can't be learned about. Where records may be missing, an earlier lead may have answered
// it: a caller that had heard "complete" must not hear "failed".
func (dispatcher *Dispatcher) giveUpSpilled(job *job, detail string) {
	if job.spillMode == messenger.SpillAsk && dispatcher.cells.Get(job.cell).mayMissRecords() {
		dispatcher.finish(job, messenger.RefuseUnknown(job.spec.Submission, messenger.ReasonTaskUnknown, detail))
		return
	}
	dispatcher.failJob(job, messenger.ReasonTaskUnknown, detail)
}

// stopSpilled cancels a job that was handed over.
func (dispatcher *Dispatcher) stopSpilled(job *job) {
	if target := dispatcher.remoteOf(job); target != nil {
		cancel := messenger.Cancel{Submission: job.spec.Submission, Caller: job.spec.Caller}
		dispatcher.outputs.add(&CancelSpill{To: target.host, Cancel: cancel})
	}
}
