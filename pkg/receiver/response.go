package receiver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// AnswerBody is the JSON body of the response with a submission's answer.
type AnswerBody struct {
	Submission identifier.SubmissionID `json:"submission"`
	Outcome    messenger.Outcome       `json:"outcome"`
	NotRun     bool                    `json:"not-run"`
	Reason     string                  `json:"reason"`
	Detail     string                  `json:"detail,omitempty"`
	RetryAfter string                  `json:"retry-after,omitempty"`
	Answers    []TaskAnswerBody        `json:"answers"`
}

// TaskAnswerBody is the answer of one task within an AnswerBody.
type TaskAnswerBody struct {
	Task   identifier.TaskID `json:"task"`
	Result json.RawMessage   `json:"result"`
}

type statusBody struct {
	Status string `json:"status"`
}

func answerBodyOf(answer *messenger.JobAnswer) AnswerBody {
	body := AnswerBody{
		Submission: answer.Submission,
		Outcome:    answer.Outcome,
		NotRun:     answer.NotRun,
		Detail:     answer.Detail,
		Answers:    make([]TaskAnswerBody, 0, len(answer.Answers)),
	}
	if answer.Reason != messenger.ReasonNone {
		body.Reason = answer.Reason.String()
	}
	if answer.RetryAfter > 0 {
		body.RetryAfter = answer.RetryAfter.String()
	}
	for _, task := range answer.Answers {
		body.Answers = append(body.Answers, TaskAnswerBody{Task: task.Task, Result: resultOf(task.Result)})
	}
	return body
}

// resultOf returns a result unchanged if it is valid JSON, otherwise its bytes as a base64 JSON
// string.
func resultOf(result []byte) json.RawMessage {
	if json.Valid(result) {
		return result
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		panic(err) // Encoding a byte slice can't fail.
	}
	return encoded
}

// statusOf returns the HTTP status of an answer: 200 for a complete or failed job, because the
// request itself was served, and an error status for a refusal.
func statusOf(answer *messenger.JobAnswer) int {
	if answer.Outcome != messenger.OutcomeRefused {
		return http.StatusOK
	}
	switch answer.Reason {
	case messenger.ReasonConflict, messenger.ReasonAlreadyClaimed, messenger.ReasonCancelled:
		return http.StatusConflict
	case messenger.ReasonUnknownSubmission:
		return http.StatusNotFound
	case messenger.ReasonOverQuota:
		return http.StatusTooManyRequests
	case messenger.ReasonDeadlinePassed:
		return http.StatusBadRequest
	case messenger.ReasonNeverRunnable:
		return http.StatusUnprocessableEntity
	case messenger.ReasonAnswerLost:
		return http.StatusGone
	default:
		return http.StatusServiceUnavailable
	}
}

// retryAfterSeconds formats a Retry-After value, rounded up because the header allows only whole
// seconds.
func retryAfterSeconds(length time.Duration) string {
	return strconv.Itoa(int(math.Ceil(length.Seconds())))
}

func writeProblem(writer http.ResponseWriter, problem *problem) {
	writeJSON(writer, problem.status, problem)
}

// writeJSON writes a JSON response. It ignores write errors, which mean that the caller has hung
// up.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
