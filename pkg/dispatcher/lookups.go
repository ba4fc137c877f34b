package dispatcher

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// LookupAnswered tells a host what this lead knows of a submission.
type LookupAnswered struct {
	To    identifier.HostID
	Reply messenger.LookupReply
}

func (*LookupAnswered) isDispatcherOutput() {}

// asker is a host that waits for the end of a submission that it looked up.
type asker struct {
	host     identifier.HostID
	question messenger.QuestionNumber
}

// lookUp answers a host that asks for a submission, for its own caller only. A
// submission that still runs is answered again when it ends. While the cell is
// taken over nobody can say that a submission is unknown; the host asks again. A job
// of another failure domain is answered by its home alone: what is refused here may
// run there.
func (dispatcher *Dispatcher) lookUp(input *LookupArrived) {
	lookup := input.Lookup
	cell := dispatcher.cells.Get(messenger.CellOf(lookup.Submission, dispatcher.Settings.Cells))
	if cell == nil {
		return
	}
	if job := dispatcher.jobs.Get(lookup.Submission); job != nil && job.guestOf == "" {
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
			Submission: lookup.Submission, ReplyTo: input.From, Question: lookup.Question,
		}})
	default:
		// The job is known and goes on once its caller's host forwards it again.
		dispatcher.replyLookup(input, true, nil)
	}
}

func (dispatcher *Dispatcher) lookUpJob(job *job, input *LookupArrived) {
	if job.spec.Caller != input.Lookup.Caller {
		dispatcher.replyLookup(input, false, nil)
		return
	}
	dispatcher.replyLookup(input, true, job.answer)
	asking := asker{host: input.From, question: input.Lookup.Question}
	if job.answer == nil && !slices.Contains(job.askers, asking) {
		job.askers = append(job.askers, asking)
	}
}

func (dispatcher *Dispatcher) replyLookup(input *LookupArrived, found bool, answer *messenger.JobAnswer) {
	reply := messenger.LookupReply{Question: input.Lookup.Question, Found: found, Answer: answer}
	dispatcher.outputs.add(&LookupAnswered{To: input.From, Reply: reply})
}

// answerAskers tells the answer of a finished job to those who looked it up.
func (dispatcher *Dispatcher) answerAskers(job *job) {
	for _, asker := range job.askers {
		reply := messenger.LookupReply{Question: asker.question, Found: true, Answer: job.answer}
		dispatcher.outputs.add(&LookupAnswered{To: asker.host, Reply: reply})
	}
	job.askers = nil
}

// recoveredSweep is how often records that a takeover brought are looked through
// for those whose retention is over.
const recoveredSweep = time.Minute

// longestJob is how long the record of an unanswered job without a deadline is kept.
const longestJob = time.Hour

// retentionOf returns until when a recovered record is kept.
func (dispatcher *Dispatcher) retentionOf(record messenger.CopyRecord) identifier.Moment {
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

// sweepRecovered forgets the recovered records whose retention is over; without it
// each takeover would add to them for ever.
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
	dispatcher.sweepLater(cell)
}

func (dispatcher *Dispatcher) sweepLater(cell *cell) {
	if len(cell.recovered) > 0 {
		dispatcher.timers.Set(timerKey{kind: timerSweep, cell: cell.number}, dispatcher.now.Add(recoveredSweep))
	}
}
