package replayer

import (
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/replayer/fakebackend"
	"github.com/stoathitch/stoathitch/pkg/replayer/fakenetwork"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// callersPrefix begins the address of the callers of a failure domain. No host
// has it, because names of hosts hold no slash.
const callersPrefix = "callers/"

func isCallers(address fakenetwork.Address) bool {
	return strings.HasPrefix(string(address), callersPrefix)
}

// callers stands for all callers of one failure domain. They keep waiting for
// their answers; what is done when a connection closes is up to the trace.
type callers struct {
	replay *replay
	domain identifier.FailureDomain
	place  *fakenetwork.Place
}

// submission is what the replay knows of one submission from outside.
type submission struct {
	job     *tracer.Job
	message *messenger.Job
	ideal   time.Duration
	sentAt  identifier.Moment
	// lastHost is where the latest sending went.
	lastHost *entryHost
	// answeredBy is the request that brought the answer that counts: the first
	// final one, or else the first.
	answeredBy *request
	final      bool
	complete   bool
	completeAt identifier.Moment
}

// request is one sending or cancellation on its way through one entry host.
type request struct {
	waiter     forwarder.WaiterID
	submission *submission
	host       *entryHost
	callers    *callers
	cancels    bool
}

// callerAnswer is the response to a request.
type callerAnswer struct {
	request *request
	answer  *messenger.JobAnswer
}

func (replay *replay) addCallers(domain identifier.FailureDomain) {
	created := &callers{replay: replay, domain: domain}
	created.place = replay.network.AddPlace(fakenetwork.Address(callersPrefix+domain), domain)
	for _, host := range replay.hosts {
		replay.network.Link(created.place, host.place)
	}
	replay.callers[domain] = created
}

// sendJob sends a job, or sends it again, through the host that the trace names
// or that the balancer picks.
func (replay *replay) sendJob(job *tracer.Job) {
	replay.checker.OnSending(job)
	known := replay.submissions[job.Submission]
	if known == nil {
		known = replay.newSubmission(job)
		replay.submissions[job.Submission] = known
	}
	host := replay.hostByID[job.EntryHost]
	if host == nil {
		host = replay.balance(job.FailureDomain)
	}
	known.lastHost = host
	replay.send(known, host, replay.callers[job.FailureDomain], false)
}

// sendCancel cancels a submission where it was sent last, or at another host when
// that one is dead.
func (replay *replay) sendCancel(cancel *tracer.Cancel) {
	known := replay.submissions[cancel.Submission]
	replay.checker.OnCancellation(cancel.Submission)
	host := known.lastHost
	if host == nil || host.process == nil {
		host = replay.balance(known.job.FailureDomain)
	}
	replay.send(known, host, replay.callers[known.job.FailureDomain], true)
}

// send posts a request. Where no host lives or the connection is refused the
// caller has no answer.
func (replay *replay) send(known *submission, host *entryHost, from *callers, cancels bool) {
	if host == nil {
		return
	}
	created := &request{
		waiter:     forwarder.WaiterID(len(replay.requests) + 1),
		submission: known,
		host:       host,
		callers:    from,
		cancels:    cancels,
	}
	replay.requests = append(replay.requests, created)
	if replay.network.Send(from.place, host.place.Address, created) {
		replay.ledger.callerRequest(created)
	}
}

// balance picks a ready entry host of the failure domain, or else of another that
// the callers reach.
func (replay *replay) balance(domain identifier.FailureDomain) *entryHost {
	var own, others []*entryHost
	for _, host := range replay.hosts {
		ready := host.process != nil && !host.process.notReady && replay.network.Reachable(host.place, replay.callers[domain].place)
		switch {
		case !ready:
		case host.domain == domain:
			own = append(own, host)
		default:
			others = append(others, host)
		}
	}
	if len(own) == 0 {
		own = others
	}
	if len(own) == 0 {
		return nil
	}
	return own[replay.random.IntN(len(own))]
}

func (replay *replay) newSubmission(job *tracer.Job) *submission {
	message := &messenger.Job{
		Submission: job.Submission,
		Job:        job.Job,
		Caller:     job.Caller,
		Team:       job.Team,
		Class:      job.Class,
		Repeatable: job.Repeatable,
		MayRun:     job.FailureDomains(&replay.trace.Deployment),
	}
	for number, id := range TaskIDs(job) {
		task := &job.Tasks[number]
		message.Tasks = append(message.Tasks, messenger.Task{
			Task: id, Payload: fakebackend.Payload(task.RunTime), DeclaredRunTime: task.DeclaredRunTime,
		})
	}
	return &submission{
		job:     job,
		message: message,
		ideal:   IdealResponse(job, &replay.trace.Deployment),
		sentAt:  replay.clock.Now(),
	}
}

// Connected does nothing: callers dial for each request.
func (callers *callers) Connected(fakenetwork.Address) {}

// Disconnected does nothing: the requests through that host stay without an
// answer unless the trace sends them again.
func (callers *callers) Disconnected(fakenetwork.Address) {}

// Receive takes an answer.
func (callers *callers) Receive(_ fakenetwork.Address, message any) {
	received := message.(*callerAnswer)
	now := callers.replay.clock.Now()
	known := received.request.submission
	observed := observedAnswer(received)
	callers.replay.checker.OnCallerAnswer(observed, now)
	if known.answeredBy == nil || (!known.final && observed.Final()) {
		known.answeredBy = received.request
		known.final = observed.Final()
	}
	if observed.Outcome == tracer.OutcomeComplete && !known.complete {
		known.complete = true
		known.completeAt = now
	}
}

func observedAnswer(received *callerAnswer) CallerAnswer {
	observed := CallerAnswer{
		Submission: received.answer.Submission,
		Caller:     received.request.submission.job.Caller,
		Outcome:    observedOutcome(received.answer.Outcome),
		NotRun:     received.answer.NotRun,
	}
	for _, task := range received.answer.Answers {
		key := fakebackend.ResultKey(task.Result)
		observed.Answers = append(observed.Answers, TaskAnswer{Submission: key.Submission, Task: key.Task})
	}
	return observed
}

func observedOutcome(outcome messenger.Outcome) tracer.Outcome {
	switch outcome {
	case messenger.OutcomeComplete:
		return tracer.OutcomeComplete
	case messenger.OutcomeFailed:
		return tracer.OutcomeFailed
	default:
		return tracer.OutcomeRefused
	}
}
