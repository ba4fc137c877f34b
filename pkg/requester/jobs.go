package requester

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/receiver"
)

// Submit sends a job in the callers' JSON and waits for its answer. A refusal is returned as
// an answer, not as an error.
func (requester *Requester) Submit(ctx context.Context, job []byte) (*receiver.AnswerBody, error) {
	return requester.fetchAnswer(ctx, &call{method: http.MethodPost, path: "/v1/jobs", body: job})
}

// Show waits for the answer to an earlier submission of the caller.
func (requester *Requester) Show(ctx context.Context, caller identifier.CallerID, submission identifier.SubmissionID) (*receiver.AnswerBody, error) {
	return requester.fetchAnswer(ctx, &call{method: http.MethodGet, path: jobPath(submission), caller: caller})
}

// Cancel cancels a submission of the caller and waits for its answer.
func (requester *Requester) Cancel(ctx context.Context, caller identifier.CallerID, submission identifier.SubmissionID) (*receiver.AnswerBody, error) {
	return requester.fetchAnswer(ctx, &call{method: http.MethodDelete, path: jobPath(submission), caller: caller})
}

// fetchAnswer reads the fetchAnswer of a submission, whatever its status.
func (requester *Requester) fetchAnswer(ctx context.Context, call *call) (*receiver.AnswerBody, error) {
	status, content, err := requester.send(ctx, call)
	if err != nil {
		return nil, err
	}
	var kind struct {
		Outcome string `json:"outcome"`
	}
	if json.Unmarshal(content, &kind) != nil || kind.Outcome == "" {
		return nil, call.responseError(status, content)
	}
	var answer receiver.AnswerBody
	if err := json.Unmarshal(content, &answer); err != nil {
		return nil, call.newError(ErrorKindWrongResponse, eris.Wrap(err, "read the answer"))
	}
	return &answer, nil
}
