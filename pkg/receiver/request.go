package receiver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// maxIDLength is the maximum length of an id chosen by a caller, in bytes.
const maxIDLength = 256

// jobBody is the JSON body of a job submission.
type jobBody struct {
	Submission identifier.SubmissionID `json:"submission"`
	Job        identifier.JobID        `json:"job"`
	Caller     identifier.CallerID     `json:"caller"`
	Team       identifier.TeamID       `json:"team"`
	Class      identifier.ClassName    `json:"class"`
	Repeatable bool                    `json:"repeatable"`
	Deadline   *time.Time              `json:"deadline"`
	// FailureDomain is the job's own failure domain; it is the home if MayRun is empty.
	FailureDomain identifier.FailureDomain   `json:"failure-domain"`
	MayRun        []identifier.FailureDomain `json:"may-run"`
	Tasks         []taskBody                 `json:"tasks"`
}

type taskBody struct {
	Task            identifier.TaskID `json:"task"`
	Payload         json.RawMessage   `json:"payload"`
	DeclaredRunTime string            `json:"declared-run-time"`
}

// problem is the error response to a request that is not accepted and that started no task.
type problem struct {
	status int
	Kind   string `json:"error"`
	Detail string `json:"detail"`
	NotRun bool   `json:"not-run"`
}

func badRequest(kind, detail string) *problem {
	return &problem{status: http.StatusBadRequest, Kind: kind, Detail: detail, NotRun: true}
}

// readJob decodes and validates a submitted job and converts its deadline to this host's clock.
func (receiver *Receiver) readJob(writer http.ResponseWriter, request *http.Request) (*messenger.Job, identifier.Moment, *problem) {
	limit := int64(receiver.limits.Load().RequestBody)
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, limit))
	decoder.DisallowUnknownFields()
	var body jobBody
	if err := decoder.Decode(&body); err != nil {
		return nil, 0, decodeProblem(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, 0, badRequest("trailing-content", "the body goes on after the job")
	}
	if problem := receiver.checkJob(&body); problem != nil {
		return nil, 0, problem
	}
	return receiver.jobOf(&body), receiver.deadlineOf(&body), nil
}

// overLimit returns the problem of a request over a limit that operators can lower at run time.
// NotRun stays false: the request may resend a submission that was within the limit when it ran.
func overLimit(status int, kind, detail string) *problem {
	return &problem{status: status, Kind: kind, Detail: detail + "; this request started nothing"}
}

func decodeProblem(cause error) *problem {
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	var wrongTime *time.ParseError
	switch {
	case errors.As(cause, &tooLarge):
		return overLimit(http.StatusRequestEntityTooLarge, "body-too-large",
			fmt.Sprintf("the body is over the limit of %d bytes", tooLarge.Limit))
	case errors.As(cause, &wrongType):
		return badRequest("wrong-type", fmt.Sprintf("%s must not be a %s", wrongType.Field, wrongType.Value))
	case errors.As(cause, &wrongTime):
		return badRequest("wrong-type", `deadline must be an RFC 3339 instant such as "2030-01-31T08:00:00Z"`)
	default:
		return badRequest("malformed-body", strings.TrimPrefix(cause.Error(), "json: "))
	}
}

// deadlineOf converts the caller's wall-clock deadline to a moment of this host's clock. From here
// on only the remaining time is used.
//
// A deadline in the past is accepted, because the request may resend a submission that ran in
// time. Refusing it here as not run would be wrong; the lead has the record and answers correctly.
func (receiver *Receiver) deadlineOf(body *jobBody) identifier.Moment {
	if body.Deadline == nil {
		return identifier.Never
	}
	return receiver.Clock.Now().Add(max(time.Until(*body.Deadline), 0))
}

// jobOf converts a validated body to a job with its home first in MayRun.
func (receiver *Receiver) jobOf(body *jobBody) *messenger.Job {
	job := &messenger.Job{
		Submission: body.Submission,
		Job:        body.Job,
		Caller:     body.Caller,
		Team:       body.Team,
		Class:      body.Class,
		Repeatable: body.Repeatable,
		MayRun:     receiver.mayRunOf(body),
		Tasks:      make([]messenger.Task, 0, len(body.Tasks)),
	}
	for _, task := range body.Tasks {
		// checkTask has validated the duration; an empty one means that none is declared.
		declared, _ := time.ParseDuration(task.DeclaredRunTime)
		job.Tasks = append(job.Tasks, messenger.Task{Task: task.Task, Payload: task.Payload, DeclaredRunTime: declared})
	}
	return job
}
