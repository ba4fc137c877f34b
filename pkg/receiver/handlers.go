package receiver

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// CallerHeader is the HTTP header that names the caller of a request without a body.
const CallerHeader = "Stoathitch-Caller"

func (receiver *Receiver) submit(writer http.ResponseWriter, request *http.Request) {
	job, deadline, problem := receiver.readJob(writer, request)
	if problem != nil {
		writeProblem(writer, problem)
		return
	}
	if receiver.refusing.Load() {
		receiver.writeAnswer(writer, messenger.RefuseUnknown(job.Submission, messenger.ReasonShuttingDown,
			"this entry host shuts down; send the submission to another"))
		return
	}
	answer := receiver.await(request.Context(), func(waiter forwarder.WaiterID) forwarder.Input {
		return &forwarder.CallerSubmitted{Waiter: waiter, Job: job, Deadline: deadline}
	})
	receiver.writeAnswer(writer, answer)
}

func (receiver *Receiver) show(writer http.ResponseWriter, request *http.Request) {
	submission := identifier.SubmissionID(mux.Vars(request)["submission"])
	answer := receiver.await(request.Context(), func(waiter forwarder.WaiterID) forwarder.Input {
		return &forwarder.CallerAsked{Waiter: waiter, Caller: callerOf(request), Submission: submission}
	})
	receiver.writeAnswer(writer, answer)
}

func (receiver *Receiver) cancel(writer http.ResponseWriter, request *http.Request) {
	submission := identifier.SubmissionID(mux.Vars(request)["submission"])
	answer := receiver.await(request.Context(), func(waiter forwarder.WaiterID) forwarder.Input {
		return &forwarder.CallerCancelled{Waiter: waiter, Caller: callerOf(request), Submission: submission}
	})
	receiver.writeAnswer(writer, answer)
}

func callerOf(request *http.Request) identifier.CallerID {
	return identifier.CallerID(request.Header.Get(CallerHeader))
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
