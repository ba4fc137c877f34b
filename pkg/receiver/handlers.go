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

// fullRetryAfter is when a job that found no memory is worth sending again.
const fullRetryAfter = time.Second

func (receiver *Receiver) submit(writer http.ResponseWriter, request *http.Request) {
	begun := time.Now()
	job, deadline, size, problem := receiver.readInTime(writer, request)
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
	answer := receiver.answerTo(request, job, deadline, size)
	if answer == nil {
		receiver.Measurer.HungUp()
		receiver.Log.Debug("caller hung up", "submission", job.Submission)
		return
	}
	receiver.Measurer.Answered(job, answer, time.Since(begun), deadline.Before(receiver.Clock.Now()))
	receiver.logEnded(job, answer, time.Since(begun))
	receiver.writeAnswer(writer, answer)
}

// answerTo hands a job on and waits for its answer, or refuses it at once.
func (receiver *Receiver) answerTo(request *http.Request, job *messenger.Job, deadline identifier.Moment, size int64) *messenger.JobAnswer {
	if receiver.refusing.Load() {
		return messenger.RefuseUnknown(job.Submission, messenger.ReasonShuttingDown,
			"this entry host shuts down; send the submission to another")
	}
	if !receiver.reserve(size) {
		return receiver.refuseFull(job)
	}
	defer receiver.waitBytes.Add(-size)
	return receiver.await(request.Context(), func(waiter forwarder.WaiterID) forwarder.Input {
		return &forwarder.CallerSubmitted{Waiter: waiter, Job: job, Deadline: deadline}
	})
}

// reserve takes memory for a job of size bytes, or returns false when the jobs
// that wait have it all. A limit of 0, which settings can't have, bounds nothing.
func (receiver *Receiver) reserve(size int64) bool {
	limit := int64(receiver.limits.Load().QueuedPayload)
	if receiver.waitBytes.Add(size) <= limit || limit == 0 {
		return true
	}
	receiver.waitBytes.Add(-size)
	return false
}

// refuseFull refuses a job for want of memory. It doesn't say "not run", because
// it may be the resend of a submission that ran, which nobody was asked about.
func (receiver *Receiver) refuseFull(job *messenger.Job) *messenger.JobAnswer {
	answer := messenger.RefuseUnknown(job.Submission, messenger.ReasonQueueFull,
		"the jobs that wait on this entry host have all memory that is meant for them; this sending started nothing")
	answer.RetryAfter = fullRetryAfter
	return answer
}

func (receiver *Receiver) show(writer http.ResponseWriter, request *http.Request) {
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

// writeAnswer writes the one answer of a submission. A nil answer means that the
// caller has hung up, so there is nobody to write to.
func (receiver *Receiver) writeAnswer(writer http.ResponseWriter, answer *messenger.JobAnswer) {
	if answer == nil {
		return
	}
	if answer.RetryAfter > 0 {
		writer.Header().Set("Retry-After", retryAfterSeconds(answer.RetryAfter))
	}
	writeJSON(writer, statusOf(answer), answerBodyOf(answer))
}
