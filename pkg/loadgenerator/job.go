package loadgenerator

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// jobBody is a job in the callers' JSON.
type jobBody struct {
	Submission identifier.SubmissionID `json:"submission"`
	Job        identifier.JobID        `json:"job"`
	Caller     identifier.CallerID     `json:"caller"`
	Team       identifier.TeamID       `json:"team"`
	Class      identifier.ClassName    `json:"class"`
	Repeatable bool                    `json:"repeatable"`
	Deadline   *time.Time              `json:"deadline,omitempty"`
	Tasks      []taskBody              `json:"tasks"`
}

type taskBody struct {
	Task            identifier.TaskID `json:"task"`
	Payload         payloadBody       `json:"payload"`
	DeclaredRunTime string            `json:"declared-run-time"`
}

// payloadBody is what stand-in backend servers understand.
type payloadBody struct {
	RunTime string `json:"run-time"`
	Padding string `json:"padding,omitempty"`
}

// encodeJob writes the job of an arrival. run names the run, so that the
// submissions of two runs never meet; due is the arrival's moment by the wall
// clock.
func encodeJob(run string, arrival *arrival, due time.Time) ([]byte, error) {
	name := run + "-" + strconv.Itoa(arrival.number)
	body := &jobBody{
		Submission: identifier.SubmissionID(name),
		Job:        identifier.JobID(name),
		Caller:     "load-generator",
		Team:       arrival.mix.Team,
		Class:      arrival.mix.Class,
		Repeatable: arrival.repeatable,
		Tasks:      make([]taskBody, 0, len(arrival.runTimes)),
	}
	if arrival.mix.Deadline > 0 {
		deadline := due.Add(arrival.mix.Deadline.Std())
		body.Deadline = &deadline
	}
	padding := strings.Repeat("x", arrival.mix.PaddingBytes)
	for number, runTime := range arrival.runTimes {
		body.Tasks = append(body.Tasks, taskBody{
			Task:            identifier.TaskID("t-" + strconv.Itoa(number)),
			Payload:         payloadBody{RunTime: runTime.String(), Padding: padding},
			DeclaredRunTime: runTime.String(),
		})
	}
	return json.Marshal(body)
}
