package dispatcher

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// LookupAnswered sends a host what this lead knows of a submission.
type LookupAnswered struct {
	To    identifier.HostID
	Reply messenger.LookupReply
}

func (*LookupAnswered) isDispatcherOutput() {}

// waitingLookup is a host that waits for the end of a submission that it looked up.
type waitingLookup struct {
	host     identifier.HostID
	question messenger.LookupNumber
}

// lookUp answers a host that looks up a submission, on behalf of the submission's own caller only.
// A submission that is still running is answered again when it ends. During a takeover no host can
// say that a submission is unknown, so the host has to retry. A job of another failure domain is
// answered by its home only: a job that is refused here may run there.
func (dispatcher *Dispatcher) lookUp(input *LookupArrived) {
	lookup := input.Lookup
	cell := dispatcher.cells.Get(messenger.CellOf(lookup.Submission, dispatcher.Settings.Cells))
	if cell == nil {
		return
	}
	if job := dispatcher.jobs.Get(lookup.Submission); job != nil && job.homeLead == "" {
		dispatcher.lookUpJob(job, input)
		return
	}
	if !cell.ready {
		return
	}
	recovered, known := cell.recovered[lookup.Submission]
	switch {
	case !known || recovered.record.Caller != lookup.Caller:
		dispatcher.replyLookup(input, false, nil)
	case recovered.record.Answered:
		dispatcher.outputs.add(&AnswerWanted{Holder: recovered.holder, Request: messenger.AnswerRequest{
			Submission: lookup.Submission, ReplyTo: input.From, LookupNumber: lookup.Number,
		}})
	default:
		// The job is known and continues once its caller's host forwards it again.
		dispatcher.replyLookup(input, true, nil)
	}
}

func (dispatcher *Dispatcher) lookUpJob(job *job, input *LookupArrived) {
	if job.spec.Caller != input.Lookup.Caller {
		dispatcher.replyLookup(input, false, nil)
		return
	}
	dispatcher.replyLookup(input, true, job.answer)
	waiting := waitingLookup{host: input.From, question: input.Lookup.Number}
	if job.answer == nil && !slices.Contains(job.waitingLookups, waiting) {
		job.waitingLookups = append(job.waitingLookups, waiting)
	}
}

func (dispatcher *Dispatcher) replyLookup(input *LookupArrived, found bool, answer *messenger.JobAnswer) {
	reply := messenger.LookupReply{Number: input.Lookup.Number, Found: found, Answer: answer}
	dispatcher.outputs.add(&LookupAnswered{To: input.From, Reply: reply})
}

// answerLookups sends the answer of a finished job to the hosts that looked it up.
func (dispatcher *Dispatcher) answerLookups(job *job) {
	for _, waiting := range job.waitingLookups {
		reply := messenger.LookupReply{Number: waiting.question, Found: true, Answer: job.answer}
		dispatcher.outputs.add(&LookupAnswered{To: waiting.host, Reply: reply})
	}
	job.waitingLookups = nil
}

// recoveredSweepInterval is how often records from a takeover are checked for the end of their
// retention.
const recoveredSweepInterval = time.Minute

// longestJob is how long the record of an unanswered job without a deadline is kept.
const longestJob = time.Hour

// retainedUntil returns until when a recovered record is kept.
func (dispatcher *Dispatcher) retainedUntil(record messenger.CopyRecord) identifier.Moment {
	kept := dispatcher.Settings.AnswerRetention
	switch {
	case record.Answered:
	case record.Remaining == nil:
		kept += longestJob
	default:
		kept += max(*record.Remaining, 0)
	}
	return dispatcher.now.Add(kept)
}

// sweepRecovered removes the recovered records whose retention is over. Otherwise they would
// accumulate with each takeover.
func (dispatcher *Dispatcher) sweepRecovered(number messenger.CellNumber) {
	cell := dispatcher.cells.Get(number)
	if cell == nil {
		return
	}
	for submission, recovered := range cell.recovered {
		if recovered.keptUntil.Due(dispatcher.now) {
			delete(cell.recovered, submission)
		}
	}
	dispatcher.scheduleSweep(cell)
}

func (dispatcher *Dispatcher) scheduleSweep(cell *cell) {
	if len(cell.recovered) > 0 {
		dispatcher.timers.Set(timerKey{kind: timerSweep, cell: cell.number}, dispatcher.now.Add(recoveredSweepInterval))
	}
}
