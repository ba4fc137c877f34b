package forwarder

import (
	"slices"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// lookup searches for a submission whose answer this host does not have. The submission id
// does not contain the home, so the leads of its cell are queried: first the one that most
// likely knows it, then the others at once. Every lead checks that the submission belongs to
// the caller.
type lookup struct {
	number     messenger.LookupNumber
	submission identifier.SubmissionID
	caller     identifier.CallerID
	// waiters are requests of the caller; claimant is a submission that waits for the answer
	// of the one that holds its claim.
	waiters  []WaiterID
	claimant identifier.SubmissionID
	// cancel reports whether the submission is to be cancelled.
	cancel  bool
	queried []queriedLead
	// queriedAll reports whether all failure domains have been queried.
	queriedAll bool
	// foundAt is the failure domain whose lead knows the submission.
	foundAt  identifier.FailureDomain
	giveUpAt identifier.Moment
}

type queriedLead struct {
	failureDomain identifier.FailureDomain
	host          identifier.HostID
	// notFound reports whether the lead has replied that it does not know the submission.
	notFound bool
}

// lookUp searches for the answer of a submission.
func (forwarder *Forwarder) lookUp(input *CallerQueried) {
	if forwarder.addWaiterIfKnown(input.Waiter, input.Caller, input.Submission) {
		return
	}
	lookup := forwarder.newLookup(input.Submission, input.Caller)
	lookup.waiters = []WaiterID{input.Waiter}
	forwarder.startLookup(lookup, forwarder.FailureDomain)
}

// addWaiterIfKnown answers from this host's own records, or adds the request to the waiters of
// the same caller's submission. It reports whether either was possible.
func (forwarder *Forwarder) addWaiterIfKnown(waiter WaiterID, caller identifier.CallerID, submission identifier.SubmissionID) bool {
	localSubmission := forwarder.localSubmissions.Get(submission)
	if localSubmission != nil && localSubmission.job.Caller == caller && (localSubmission.answer == nil || !localSubmission.answer.ClaimsNothing()) {
		forwarder.addWaiter(localSubmission, waiter)
		return true
	}
	held := forwarder.copies.Get(submission)
	if held != nil && held.answer != nil && held.record.Caller == caller {
		forwarder.emit(&AnswerCaller{Waiter: waiter, Answer: held.answer})
		return true
	}
	return false
}

// cancelByLookup makes the lead of a submission cancel it and return its answer.
func (forwarder *Forwarder) cancelByLookup(input *CallerCancelled) {
	lookup := forwarder.newLookup(input.Submission, input.Caller)
	lookup.waiters = []WaiterID{input.Waiter}
	lookup.cancel = true
	forwarder.startLookup(lookup, forwarder.FailureDomain)
}

// lookUpHolder searches for the answer of the submission that holds a claim.
func (forwarder *Forwarder) lookUpHolder(input *ClaimHolderQueried) {
	lookup := forwarder.newLookup(input.Holder, input.Caller)
	lookup.claimant = input.Claimant
	forwarder.startLookup(lookup, input.Home)
}

func (forwarder *Forwarder) newLookup(submission identifier.SubmissionID, caller identifier.CallerID) *lookup {
	forwarder.lastLookup++
	return &lookup{
		number:     forwarder.lastLookup,
		submission: submission,
		caller:     caller,
		giveUpAt:   forwarder.now.Add(forwarder.Settings.HomeWait),
	}
}

func (forwarder *Forwarder) startLookup(lookup *lookup, first identifier.FailureDomain) {
	forwarder.lookups.Put(lookup.number, lookup)
	forwarder.queryLead(lookup, first)
	if len(lookup.queried) == 0 {
		forwarder.queryAllDomains(lookup)
	}
	forwarder.timers.Set(timerKey{kind: timerLookup, lookup: lookup.number}, forwarder.now.Add(forwarder.Settings.LookupWait))
}

func (forwarder *Forwarder) cellKeyOf(submission identifier.SubmissionID, failureDomain identifier.FailureDomain) cellKey {
	return cellKey{failureDomain: failureDomain, cell: messenger.CellOf(submission, forwarder.Settings.Cells)}
}

func (forwarder *Forwarder) queryLead(lookup *lookup, failureDomain identifier.FailureDomain) {
	lead := forwarder.leads.Get(forwarder.cellKeyOf(lookup.submission, failureDomain))
	if lead == nil || lead.host == "" || lead.unreachable {
		return
	}
	index := slices.IndexFunc(lookup.queried, func(queried queriedLead) bool { return queried.failureDomain == failureDomain })
	if index < 0 {
		index = len(lookup.queried)
		lookup.queried = append(lookup.queried, queriedLead{failureDomain: failureDomain})
	}
	lookup.queried[index].host = lead.host
	lookup.queried[index].notFound = false
	if lookup.cancel {
		cancel := messenger.Cancel{Submission: lookup.submission, Caller: lookup.caller}
		forwarder.emit(&ForwardCancel{To: lead.host, Cancel: cancel})
	}
	forwarder.emit(&ForwardLookup{To: lead.host, Lookup: messenger.Lookup{
		Submission: lookup.submission, Caller: lookup.caller, Number: lookup.number,
	}})
}

// queryAllDomains queries the leads of all failure domains that have not replied "not found".
func (forwarder *Forwarder) queryAllDomains(lookup *lookup) {
	lookup.queriedAll = true
	cell := messenger.CellOf(lookup.submission, forwarder.Settings.Cells)
	forwarder.leads.Each(func(key cellKey, _ *lead) bool {
		known := slices.ContainsFunc(lookup.queried, func(queried queriedLead) bool {
			return queried.failureDomain == key.failureDomain && queried.notFound
		})
		if key.cell == cell && !known {
			forwarder.queryLead(lookup, key.failureDomain)
		}
		return true
	})
	forwarder.refuseIfNotFound(lookup)
}

// handleLookupReply handles the reply of a lead, or of the host that keeps an answer.
func (forwarder *Forwarder) handleLookupReply(input *LookupReplied) {
	lookup := forwarder.lookups.Get(input.Reply.Number)
	switch {
	case lookup == nil:
	case input.Reply.Answer != nil:
		forwarder.finishLookup(lookup, input.Reply.Answer)
	case input.Reply.Found:
		lookup.foundAt = lookup.domainOf(input.From)
	default:
		forwarder.recordNotFound(lookup, input.From)
	}
}

func (lookup *lookup) domainOf(host identifier.HostID) identifier.FailureDomain {
	for _, queried := range lookup.queried {
		if queried.host == host {
			return queried.failureDomain
		}
	}
	return ""
}

// recordNotFound records that a lead does not know the submission. A lead that knew it before
// has lost it together with the answer.
func (forwarder *Forwarder) recordNotFound(lookup *lookup, host identifier.HostID) {
	for index := range lookup.queried {
		queried := &lookup.queried[index]
		if queried.host == host {
			queried.notFound = true
			if lookup.foundAt == queried.failureDomain {
				lookup.foundAt = ""
				lookup.giveUpAt = forwarder.now.Add(forwarder.Settings.HomeWait)
			}
		}
	}
	if lookup.foundAt != "" {
		return
	}
	if !lookup.queriedAll {
		forwarder.queryAllDomains(lookup)
		return
	}
	forwarder.refuseIfNotFound(lookup)
}

func (forwarder *Forwarder) refuseIfNotFound(lookup *lookup) {
	if !slices.ContainsFunc(lookup.queried, func(queried queriedLead) bool { return !queried.notFound }) {
		forwarder.refuseLookup(lookup)
	}
}

// retryLookup queries again, because a message may be lost, or refuses the lookup when its
// time is up.
func (forwarder *Forwarder) retryLookup(number messenger.LookupNumber) {
	lookup := forwarder.lookups.Get(number)
	if lookup == nil {
		return
	}
	switch {
	case lookup.foundAt != "":
		forwarder.queryLead(lookup, lookup.foundAt)
	case lookup.giveUpAt.Due(forwarder.now):
		forwarder.refuseLookup(lookup)
		return
	default:
		for _, queried := range slices.Clone(lookup.queried) {
			if !queried.notFound {
				forwarder.queryLead(lookup, queried.failureDomain)
			}
		}
		if !lookup.queriedAll {
			forwarder.queryAllDomains(lookup)
		}
	}
	if forwarder.lookups.Get(number) != nil {
		forwarder.timers.Set(timerKey{kind: timerLookup, lookup: number}, forwarder.now.Add(forwarder.Settings.LookupWait))
	}
}

// refuseLookup answers that nothing is known, and names the failure domains that gave no
// response.
func (forwarder *Forwarder) refuseLookup(lookup *lookup) {
	unresponsive := forwarder.unresponsiveDomains(lookup)
	if len(unresponsive) == 0 {
		forwarder.finishLookup(lookup, messenger.RefuseUnknown(lookup.submission, messenger.ReasonUnknownSubmission,
			"no failure domain knows the submission"))
		return
	}
	refusal := messenger.RefuseUnknown(lookup.submission, messenger.ReasonHomeUnreachable,
		"nothing is known of the submission, but these failure domains could not be asked: "+strings.Join(unresponsive, ", "))
	refusal.RetryAfter = forwarder.Settings.HomeWait
	forwarder.finishLookup(lookup, refusal)
}

// unresponsiveDomains lists the failure domains that have not replied "not found".
func (forwarder *Forwarder) unresponsiveDomains(lookup *lookup) []string {
	var unresponsive []string
	cell := messenger.CellOf(lookup.submission, forwarder.Settings.Cells)
	forwarder.leads.Each(func(key cellKey, _ *lead) bool {
		answered := slices.ContainsFunc(lookup.queried, func(queried queriedLead) bool {
			return queried.failureDomain == key.failureDomain && queried.notFound
		})
		if key.cell == cell && !answered {
			unresponsive = append(unresponsive, string(key.failureDomain))
		}
		return true
	})
	slices.Sort(unresponsive)
	return unresponsive
}

// refuseAllLookups answers all lookups when this host must stop.
func (forwarder *Forwarder) refuseAllLookups() {
	for _, number := range forwarder.lookups.Keys() {
		lookup := forwarder.lookups.Get(number)
		refusal := messenger.RefuseUnknown(lookup.submission, messenger.ReasonShuttingDown, "this host ends; ask another one")
		refusal.RetryAfter = shutdownRetryAfter
		forwarder.finishLookup(lookup, refusal)
	}
}

func (forwarder *Forwarder) finishLookup(lookup *lookup, answer *messenger.JobAnswer) {
	forwarder.lookups.Remove(lookup.number)
	forwarder.timers.Clear(timerKey{kind: timerLookup, lookup: lookup.number})
	for _, waiter := range lookup.waiters {
		forwarder.emit(&AnswerCaller{Waiter: waiter, Answer: answer})
	}
	if lookup.claimant != "" {
		forwarder.emit(&HolderAnswered{Claimant: lookup.claimant, Answer: answer})
	}
}
