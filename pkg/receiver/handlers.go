package receiver

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// CallerHeader is the HTTP header that names the caller of a request without a body.
const CallerHeader = "Stoathitch-Caller"

// queueFullRetryAfter is the Retry-After of a job that is refused because the memory for waiting
// jobs is used up.
const queueFullRetryAfter = time.Second

func (receiver *Receiver) submit(writer http.ResponseWriter, request *http.Request) {
	begun := time.Now()
	job, deadline, size, problem := receiver.readWithDeadline(writer, request)
	if problem == nil {
		problem = checkSender(request.Context(), job)
	}
	if problem != nil {
		receiver.Measurer.BadRequest(problem.Kind)
		receiver.Log.Debug("request not accepted", "error", problem.Kind, "detail", problem.Detail)
		writeProblem(writer, problem)
		return
	}
	receiver.logReceived(job, deadline)
	answer := receiver.submitAndAwait(request, job, deadline, size)
	if answer == nil {
		receiver.Measurer.CallerDisconnected()
		receiver.Log.Debug("caller hung up", "submission", job.Submission)
		return
	}
	receiver.Measurer.Answered(job, answer, time.Since(begun), deadline.Before(receiver.Clock.Now()))
	receiver.logEnded(job, answer, time.Since(begun))
	receiver.writeAnswer(writer, answer)
}

// submitAndAwait passes a job to the coordinator and waits for its answer. It refuses the job at
// once during a shutdown or when the memory for waiting jobs is used up. The answer is nil when
// the caller hangs up.
func (receiver *Receiver) submitAndAwait(request *http.Request, job *messenger.Job, deadline identifier.Moment, size int64) *messenger.JobAnswer {
	if receiver.refusing.Load() {
		return messenger.RefuseUnknown(job.Submission, messenger.ReasonShuttingDown,
			"this entry host shuts down; send the submission to another")
	}
	if !receiver.reserveMemory(size) {
		return receiver.refuseQueueFull(job)
	}
	defer receiver.reservedBytes.Add(-size)
	return receiver.await(request.Context(), func(waiter forwarder.WaiterID) forwarder.Input {
		return &forwarder.CallerSubmitted{Waiter: waiter, Job: job, Deadline: deadline}
	})
}

// reserveMemory reserves size bytes for a waiting job and reports whether they were within the
// QueuedPayload limit. A limit of 0, which valid settings can't have, means no limit.
func (receiver *Receiver) reserveMemory(size int64) bool {
	limit := int64(receiver.limits.Load().QueuedPayload)
	if receiver.reservedBytes.Add(size) <= limit || limit == 0 {
		return true
	}
	receiver.reservedBytes.Add(-size)
	return false
}

// refuseQueueFull returns the refusal of a job that exceeds the memory for waiting jobs. NotRun
// stays false: the job may resend a submission that ran, and no lead has been queried about it.
func (receiver *Receiver) refuseQueueFull(job *messenger.Job) *messenger.JobAnswer {
	answer := messenger.RefuseUnknown(job.Submission, messenger.ReasonQueueFull,
		"the jobs that wait on this entry host have all memory that is meant for them; this sending started nothing")
	answer.RetryAfter = queueFullRetryAfter
	return answer
}

func (receiver *Receiver) query(writer http.ResponseWriter, request *http.Request) {
	submission := identifier.SubmissionID(mux.Vars(request)["submission"])
	caller, problem := callerOf(request)
	if problem != nil {
		writeProblem(writer, problem)
		return
	}
	answer := receiver.await(request.Context(), func(waiter forwarder.WaiterID) forwarder.Input {
		return &forwarder.CallerQueried{Waiter: waiter, Caller: caller, Submission: submission}
	})
	receiver.writeAnswer(writer, answer)
}

func (receiver *Receiver) cancel(writer http.ResponseWriter, request *http.Request) {
	submission := identifier.SubmissionID(mux.Vars(request)["submission"])
	caller, problem := callerOf(request)
	if problem != nil {
		writeProblem(writer, problem)
		return
	}
	receiver.logCancelled(submission)
	answer := receiver.await(request.Context(), func(waiter forwarder.WaiterID) forwarder.Input {
		return &forwarder.CallerCancelled{Waiter: waiter, Caller: caller, Submission: submission}
	})
	receiver.writeAnswer(writer, answer)
}

func (receiver *Receiver) health(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, statusBody{Status: "alive"})
}

func (receiver *Receiver) readiness(writer http.ResponseWriter, _ *http.Request) {
	if !receiver.ready.Load() {
		writeJSON(writer, http.StatusServiceUnavailable, statusBody{Status: "not-ready"})
		return
	}
	writeJSON(writer, http.StatusOK, statusBody{Status: "ready"})
}

// writeAnswer writes the answer of a submission as the HTTP response. A nil answer means that the
// caller has hung up; then it writes nothing.
func (receiver *Receiver) writeAnswer(writer http.ResponseWriter, answer *messenger.JobAnswer) {
	if answer == nil {
		return
	}
	if answer.RetryAfter > 0 {
		writer.Header().Set("Retry-After", retryAfterSeconds(answer.RetryAfter))
	}
	writeJSON(writer, statusOf(answer), answerBodyOf(answer))
}
