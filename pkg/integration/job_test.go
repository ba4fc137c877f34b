package integration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Outcomes and reasons as callers read them. They are spelled out here: a test
// that took them from the code would not notice a change of the interface.
const (
	outcomeComplete = "complete"
	outcomeFailed   = "failed"
	outcomeRefused  = "refused"
)

// job is a submission in the callers' JSON.
type job struct {
	Submission    string                     `json:"submission"`
	Job           string                     `json:"job"`
	Caller        string                     `json:"caller"`
	Team          string                     `json:"team"`
	Class         string                     `json:"class"`
	Repeatable    bool                       `json:"repeatable"`
	Deadline      *time.Time                 `json:"deadline,omitempty"`
	FailureDomain identifier.FailureDomain   `json:"failure-domain,omitempty"`
	MayRun        []identifier.FailureDomain `json:"may-run,omitempty"`
	Tasks         []task                     `json:"tasks"`
}

type task struct {
	Task            string  `json:"task"`
	Payload         payload `json:"payload"`
	DeclaredRunTime string  `json:"declared-run-time"`
}

// payload is echoed by the stand-ins; the nonce tells whose it is.
type payload struct {
	RunTime string `json:"run-time"`
	Nonce   string `json:"nonce"`
}

// answer is what a caller gets, a malformed request's included.
type answer struct {
	Submission string       `json:"submission"`
	Outcome    string       `json:"outcome"`
	NotRun     bool         `json:"not-run"`
	Reason     string       `json:"reason"`
	Detail     string       `json:"detail"`
	RetryAfter string       `json:"retry-after"`
	Error      string       `json:"error"`
	Answers    []taskAnswer `json:"answers"`
}

type taskAnswer struct {
	Task   string          `json:"task"`
	Result json.RawMessage `json:"result"`
}

// newJob makes a job whose submission and job ids and nonces derive from name.
func newJob(name string, width int, runTime time.Duration, repeatable bool) *job {
	created := &job{
		Submission: "s-" + name, Job: "j-" + name, Caller: "garage-7", Team: "estimates",
		Class: "counter", Repeatable: repeatable,
	}
	for number := range width {
		created.Tasks = append(created.Tasks, task{
			Task:            fmt.Sprintf("t-%d", number),
			Payload:         payload{RunTime: runTime.String(), Nonce: fmt.Sprintf("%s/%d", name, number)},
			DeclaredRunTime: runTime.String(),
		})
	}
	return created
}

// resubmission returns the same job under another submission id.
func (original *job) resubmission(suffix string) *job {
	again := *original
	again.Submission += suffix
	return &again
}

// callers is the client of all callers. It keeps no connections, so that none
// outlives a daemon.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send submits a job to one host. An error means that no answer came.
func send(daemon *daemon, job *job, timeout time.Duration) (*answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, daemon.url("/v1/jobs"), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := callers.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var received answer
	if err := json.NewDecoder(response.Body).Decode(&received); err != nil {
		return nil, err
	}
	return &received, nil
}

// final tells whether an answer settles the submission for its caller. The others
// tell to send it again.
func (answer *answer) final() bool {
	switch answer.Reason {
	case "shutting-down", "home-unreachable", "unknown-submission", "queue-full":
		return answer.NotRun
	default:
		return true
	}
}

// mistake returns what is wrong with an answer of a job, or nothing.
func (answer *answer) mistake(job *job) string {
	switch {
	case answer.Error != "":
		return "a correct job was called wrong: " + answer.Error + " " + answer.Detail
	case answer.Submission != job.Submission:
		return "the answer is that of submission " + answer.Submission
	case answer.NotRun && answer.Outcome == outcomeComplete:
		return "complete, yet called not run"
	case answer.Outcome != outcomeComplete:
		return ""
	case len(answer.Answers) != len(job.Tasks):
		return fmt.Sprintf("complete with %d of %d tasks", len(answer.Answers), len(job.Tasks))
	}
	for index, task := range job.Tasks {
		var echo payload
		if err := json.Unmarshal(answer.Answers[index].Result, &echo); err != nil || echo != task.Payload {
			return "the answer of " + task.Task + " is not its own"
		}
	}
	return ""
}
