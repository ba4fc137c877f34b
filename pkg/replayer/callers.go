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

// callersPrefix starts the address of the callers of a failure domain. It can't collide
// with a host, since host names contain no slash.
const callersPrefix = "callers/"

func isCallers(address fakenetwork.Address) bool {
	return strings.HasPrefix(string(address), callersPrefix)
}

// callers simulates all callers of one failure domain. They wait for their answers without
// a timeout; whether they resend after a connection closes is defined by the trace.
type callers struct {
	replay *replay
	domain identifier.FailureDomain
	node   *fakenetwork.Node
}

// submission is the state of one submission as its caller observes it.
type submission struct {
	job         *tracer.Job
	message     *messenger.Job
	ideal       time.Duration
	submittedAt identifier.Moment
	// lastHost is the entry host to which the job was sent last.
	lastHost *entryHost
	// answeredBy is the request that received the decisive answer: the first final one,
	// or else the first.
	answeredBy *request
	final      bool
	complete   bool
	completeAt identifier.Moment
}

// request is one submission, resend or cancellation that is sent to one entry host.
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
	created.node = replay.network.AddNode(fakenetwork.Address(callersPrefix+domain), domain)
	for _, host := range replay.hosts {
		replay.network.Link(created.node, host.node)
	}
	replay.callers[domain] = created
}

// sendJob sends or resends a job to the entry host that the trace names, or else to one
// that the balancer picks.
func (replay *replay) sendJob(job *tracer.Job) {
	replay.checker.OnSubmission(job)
	known := replay.submissions[job.Submission]
	if known == nil {
		known = replay.newSubmission(job)
		replay.submissions[job.Submission] = known
	}
	host := replay.hostByID[job.EntryHost]
	if host == nil {
		host = replay.pickEntryHost(job.FailureDomain)
	}
	known.lastHost = host
	replay.send(known, host, replay.callers[job.FailureDomain], false)
}

// sendCancel sends a cancellation to the host to which the submission was sent last, or to
// one that the balancer picks if that host is dead.
func (replay *replay) sendCancel(cancel *tracer.Cancel) {
	known := replay.submissions[cancel.Submission]
	replay.checker.OnCancellation(cancel.Submission)
	host := known.lastHost
	if host == nil || host.process == nil {
		host = replay.pickEntryHost(known.job.FailureDomain)
	}
	replay.send(known, host, replay.callers[known.job.FailureDomain], true)
}

// send sends a request. The caller gets no answer if there is no host or the connection
// is refused.
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
	if replay.network.Send(from.node, host.node.Address, created) {
		replay.traffic.callerRequest(created)
	}
}

// pickEntryHost picks a random ready entry host that the callers reach, preferably of their own
// failure domain. It returns nil if there is none.
func (replay *replay) pickEntryHost(domain identifier.FailureDomain) *entryHost {
	var own, others []*entryHost
	for _, host := range replay.hosts {
		ready := host.process != nil && !host.process.notReady && replay.network.Reachable(host.node, replay.callers[domain].node)
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
		job:         job,
		message:     message,
		ideal:       IdealResponse(job, &replay.trace.Deployment),
		submittedAt: replay.clock.Now(),
	}
}

// Connected does nothing, since callers dial for each request.
func (callers *callers) Connected(fakenetwork.Address) {}

// Disconnected does nothing: requests to that host remain unanswered unless the trace
// resends them.
func (callers *callers) Disconnected(fakenetwork.Address) {}

// Receive records an answer and passes it to the checker.
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
