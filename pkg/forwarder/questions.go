package forwarder

import (
	"slices"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// question looks for a submission that this host does not have the answer of. The
// submission id does not tell the home, so the leads of its cell are asked: first
// the one that most likely knows, then the others at once. Every lead checks that
// the caller asks for a submission of its own.
type question struct {
	number     messenger.QuestionNumber
	submission identifier.SubmissionID
	caller     identifier.CallerID
	// waiters are requests of the caller, claimant is a submission that waits for
	// the answer of the one that holds its claim.
	waiters  []WaiterID
	claimant identifier.SubmissionID
	// cancel tells that the submission is to be cancelled.
	cancel bool
	asked  []askedLead
	// wide tells that all failure domains have been asked.
	wide bool
	// foundAt is the failure domain whose lead knows the submission.
	foundAt  identifier.FailureDomain
	giveUpAt identifier.Moment
}

type askedLead struct {
	failureDomain identifier.FailureDomain
	host          identifier.HostID
	// knowsNothing tells that the lead has answered so.
	knowsNothing bool
}

// ask looks for the answer of a submission.
func (forwarder *Forwarder) ask(input *CallerAsked) {
	if forwarder.joinOwn(input.Waiter, input.Caller, input.Submission) {
		return
	}
	asked := forwarder.newQuestion(input.Submission, input.Caller)
	asked.waiters = []WaiterID{input.Waiter}
	forwarder.open(asked, forwarder.FailureDomain)
}

// joinOwn answers from what this host knows, or lets the request wait with the
// others of the same caller.
func (forwarder *Forwarder) joinOwn(waiter WaiterID, caller identifier.CallerID, submission identifier.SubmissionID) bool {
	front := forwarder.fronts.Get(submission)
	if front != nil && front.job.Caller == caller && (front.answer == nil || !front.answer.ClaimsNothing()) {
		forwarder.join(front, waiter)
		return true
	}
	held := forwarder.copies.Get(submission)
	if held != nil && held.answer != nil && held.record.Caller == caller {
		forwarder.add(&AnswerCaller{Waiter: waiter, Answer: held.answer})
		return true
	}
	return false
}

// cancelElsewhere has the lead of a submission cancel it and tell its answer.
func (forwarder *Forwarder) cancelElsewhere(input *CallerCancelled) {
	asked := forwarder.newQuestion(input.Submission, input.Caller)
	asked.waiters = []WaiterID{input.Waiter}
	asked.cancel = true
	forwarder.open(asked, forwarder.FailureDomain)
}

// askHolder looks for the answer of the submission that holds a claim.
func (forwarder *Forwarder) askHolder(input *HolderAsked) {
	asked := forwarder.newQuestion(input.Holder, input.Caller)
	asked.claimant = input.Claimant
	forwarder.open(asked, input.Home)
}

func (forwarder *Forwarder) newQuestion(submission identifier.SubmissionID, caller identifier.CallerID) *question {
	forwarder.lastQuestion++
	return &question{
		number:     forwarder.lastQuestion,
		submission: submission,
		caller:     caller,
		giveUpAt:   forwarder.now.Add(forwarder.Settings.HomeWait),
	}
}

func (forwarder *Forwarder) open(question *question, first identifier.FailureDomain) {
	forwarder.questions.Put(question.number, question)
	forwarder.askLead(question, first)
	if len(question.asked) == 0 {
		forwarder.askEverywhere(question)
	}
	forwarder.timers.Set(timerKey{kind: timerQuestion, question: question.number}, forwarder.now.Add(forwarder.Settings.QuestionWait))
}

func (forwarder *Forwarder) cellKeyOf(submission identifier.SubmissionID, failureDomain identifier.FailureDomain) cellKey {
	return cellKey{failureDomain: failureDomain, cell: messenger.CellOf(submission, forwarder.Settings.Cells)}
}

func (forwarder *Forwarder) askLead(question *question, failureDomain identifier.FailureDomain) {
	lead := forwarder.leads.Get(forwarder.cellKeyOf(question.submission, failureDomain))
	if lead == nil || lead.host == "" || lead.unreachable {
		return
	}
	index := slices.IndexFunc(question.asked, func(asked askedLead) bool { return asked.failureDomain == failureDomain })
	if index < 0 {
		index = len(question.asked)
		question.asked = append(question.asked, askedLead{failureDomain: failureDomain})
	}
	question.asked[index].host = lead.host
	question.asked[index].knowsNothing = false
	if question.cancel {
		cancel := messenger.Cancel{Submission: question.submission, Caller: question.caller}
		forwarder.add(&ForwardCancel{To: lead.host, Cancel: cancel})
	}
	forwarder.add(&ForwardLookup{To: lead.host, Lookup: messenger.Lookup{
		Submission: question.submission, Caller: question.caller, Question: question.number,
	}})
}

// askEverywhere asks the leads of all other failure domains.
func (forwarder *Forwarder) askEverywhere(question *question) {
	question.wide = true
	cell := messenger.CellOf(question.submission, forwarder.Settings.Cells)
	forwarder.leads.Each(func(key cellKey, _ *lead) bool {
		known := slices.ContainsFunc(question.asked, func(asked askedLead) bool {
			return asked.failureDomain == key.failureDomain && asked.knowsNothing
		})
		if key.cell == cell && !known {
			forwarder.askLead(question, key.failureDomain)
		}
		return true
	})
	forwarder.endIfNobodyKnows(question)
}

// answerQuestion takes what a lead, or the host that keeps an answer, knows.
func (forwarder *Forwarder) answerQuestion(input *QuestionAnswered) {
	question := forwarder.questions.Get(input.Reply.Question)
	switch {
	case question == nil:
	case input.Reply.Answer != nil:
		forwarder.endQuestion(question, input.Reply.Answer)
	case input.Reply.Found:
		question.foundAt = question.domainOf(input.From)
	default:
		forwarder.noteIgnorance(question, input.From)
	}
}

func (question *question) domainOf(host identifier.HostID) identifier.FailureDomain {
	for _, asked := range question.asked {
		if asked.host == host {
			return asked.failureDomain
		}
	}
	return ""
}

// noteIgnorance notes that a lead knows nothing of the submission. A lead that knew
// it and does no more has lost it with the answer.
func (forwarder *Forwarder) noteIgnorance(question *question, host identifier.HostID) {
	for index := range question.asked {
		asked := &question.asked[index]
		if asked.host == host {
			asked.knowsNothing = true
			if question.foundAt == asked.failureDomain {
				question.foundAt = ""
				question.giveUpAt = forwarder.now.Add(forwarder.Settings.HomeWait)
			}
		}
	}
	if question.foundAt != "" {
		return
	}
	if !question.wide {
		forwarder.askEverywhere(question)
		return
	}
	forwarder.endIfNobodyKnows(question)
}

func (forwarder *Forwarder) endIfNobodyKnows(question *question) {
	if !slices.ContainsFunc(question.asked, func(asked askedLead) bool { return !asked.knowsNothing }) {
		forwarder.giveUpQuestion(question)
	}
}

// expireQuestion asks again, because a message may be lost, or gives up.
func (forwarder *Forwarder) expireQuestion(number messenger.QuestionNumber) {
	question := forwarder.questions.Get(number)
	if question == nil {
		return
	}
	switch {
	case question.foundAt != "":
		forwarder.askLead(question, question.foundAt)
	case question.giveUpAt.Due(forwarder.now):
		forwarder.giveUpQuestion(question)
		return
	default:
		for _, asked := range slices.Clone(question.asked) {
			if !asked.knowsNothing {
				forwarder.askLead(question, asked.failureDomain)
			}
		}
		if !question.wide {
			forwarder.askEverywhere(question)
		}
	}
	if forwarder.questions.Get(number) != nil {
		forwarder.timers.Set(timerKey{kind: timerQuestion, question: number}, forwarder.now.Add(forwarder.Settings.QuestionWait))
	}
}

// giveUpQuestion says that nothing is known, and whom it could not ask.
func (forwarder *Forwarder) giveUpQuestion(question *question) {
	silent := forwarder.silentDomains(question)
	if len(silent) == 0 {
		forwarder.endQuestion(question, messenger.RefuseUnknown(question.submission, messenger.ReasonUnknownSubmission,
			"no failure domain knows the submission"))
		return
	}
	refusal := messenger.RefuseUnknown(question.submission, messenger.ReasonHomeUnreachable,
		"nothing is known of the submission, but these failure domains could not be asked: "+strings.Join(silent, ", "))
	refusal.RetryAfter = forwarder.Settings.HomeWait
	forwarder.endQuestion(question, refusal)
}

// silentDomains lists the failure domains that have not said that they know nothing.
func (forwarder *Forwarder) silentDomains(question *question) []string {
	var silent []string
	cell := messenger.CellOf(question.submission, forwarder.Settings.Cells)
	forwarder.leads.Each(func(key cellKey, _ *lead) bool {
		answered := slices.ContainsFunc(question.asked, func(asked askedLead) bool {
			return asked.failureDomain == key.failureDomain && asked.knowsNothing
		})
		if key.cell == cell && !answered {
			silent = append(silent, string(key.failureDomain))
		}
		return true
	})
	slices.Sort(silent)
	return silent
}

// endQuestions answers all questions when this host must end.
func (forwarder *Forwarder) endQuestions() {
	for _, number := range forwarder.questions.Keys() {
		question := forwarder.questions.Get(number)
		refusal := messenger.RefuseUnknown(question.submission, messenger.ReasonShuttingDown, "this host ends; ask another one")
		refusal.RetryAfter = askElsewhere
		forwarder.endQuestion(question, refusal)
	}
}

func (forwarder *Forwarder) endQuestion(question *question, answer *messenger.JobAnswer) {
	forwarder.questions.Remove(question.number)
	forwarder.timers.Clear(timerKey{kind: timerQuestion, question: question.number})
	for _, waiter := range question.waiters {
		forwarder.add(&AnswerCaller{Waiter: waiter, Answer: answer})
	}
	if question.claimant != "" {
		forwarder.add(&HolderAnswered{Claimant: question.claimant, Answer: answer})
	}
}
