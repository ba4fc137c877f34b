package assembler

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// ExplainStep is the JSON form of one recorded decision on a submission.
type ExplainStep struct {
	// At is a wall clock time of the deciding host, for display only.
	At            time.Time                  `json:"at"`
	Host          identifier.HostID          `json:"host"`
	Kind          explainer.Kind             `json:"kind"`
	Task          identifier.TaskID          `json:"task,omitempty"`
	BackendServer identifier.BackendServerID `json:"backend-server,omitempty"`
	Detail        string                     `json:"detail,omitempty"`
}

// explain answers which decisions this host made about a submission, as far as it still has them
// in memory.
func (operations *operations) explain(writer http.ResponseWriter, request *http.Request) {
	submission := identifier.SubmissionID(mux.Vars(request)["submission"])
	output := operations.await(request.Context(), func(waiter uint64) coordinator.Input {
		return &coordinator.ExplainWanted{Waiter: waiter, Submission: submission}
	})
	answer, answered := output.(*coordinator.ExplainAnswer)
	if !answered {
		return
	}
	now := time.Now()
	steps := make([]ExplainStep, 0, len(answer.Steps))
	for _, step := range answer.Steps {
		steps = append(steps, ExplainStep{
			At:            now.Add(-answer.At.Sub(step.At)),
			Host:          operations.Settings.Host,
			Kind:          step.Kind,
			Task:          step.Task,
			BackendServer: step.Server,
			Detail:        step.Detail,
		})
	}
	writeJSON(writer, http.StatusOK, steps)
}
