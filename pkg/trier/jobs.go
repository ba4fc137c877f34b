package trier

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/receiver"
	"github.com/stoathitch/stoathitch/pkg/requester"
)

// networkAllowance is the part of the ideal response that is not work.
const networkAllowance = 500 * time.Microsecond

// trialJob is a job of a trial in the callers' JSON.
type trialJob struct {
	Submission string      `json:"submission"`
	Job        string      `json:"job"`
	Caller     string      `json:"caller"`
	Team       string      `json:"team"`
	Class      string      `json:"class"`
	Repeatable bool        `json:"repeatable"`
	Tasks      []trialTask `json:"tasks"`

	longest time.Duration
}

type trialTask struct {
	Task            string       `json:"task"`
	Payload         trialPayload `json:"payload"`
	DeclaredRunTime string       `json:"declared-run-time"`
}

type trialPayload struct {
	RunTime string `json:"run-time"`
	Nonce   string `json:"nonce"`
}

// outcome is what became of one job of a trial.
type outcome struct {
	job      *trialJob
	complete bool
	problem  string
	response time.Duration
}

// widthOf gives every job one of a few widths.
func widthOf(number int) int {
	widths := []int{1, 4, 10, 25}
	return widths[number%len(widths)]
}

func newJob(name string, width, number int) *trialJob {
	classes := []string{"counter", "batch"}
	job := &trialJob{
		Submission: "s-" + name, Job: name, Caller: "garage-7", Team: "estimates",
		Class: classes[number/4%len(classes)], Repeatable: number%5 != 0,
	}
	for task := range width {
		runTime := time.Duration(50+10*((number+task)%8)) * time.Millisecond
		job.longest = max(job.longest, runTime)
		job.Tasks = append(job.Tasks, trialTask{
			Task:            fmt.Sprintf("t-%d", task),
			Payload:         trialPayload{RunTime: runTime.String(), Nonce: fmt.Sprintf("%s/%d", name, task)},
			DeclaredRunTime: runTime.String(),
		})
	}
	return job
}

// submit sends a job over HTTP and checks that its answer is whole and its own.
func (trier *Trier) submit(ctx context.Context, settings *loader.Settings, job *trialJob) outcome {
	result := outcome{job: job}
	body, err := json.Marshal(job)
	if err != nil {
		result.problem = err.Error()
		return result
	}
	host := &requester.Requester{Host: "http://" + settings.CallersAddress.String()}
	begun := time.Now()
	answer, err := host.Submit(ctx, body)
	result.response = time.Since(begun)
	if err != nil {
		result.problem = err.Error()
		return result
	}
	result.problem = checkAnswer(job, answer)
	result.complete = result.problem == ""
	return result
}

// checkAnswer returns what is wrong with an answer, or nothing.
func checkAnswer(job *trialJob, answer *receiver.AnswerBody) string {
	if answer.Outcome != messenger.OutcomeComplete {
		return fmt.Sprintf("%s: %s %s", answer.Outcome, answer.Reason, answer.Detail)
	}
	if len(answer.Answers) != len(job.Tasks) {
		return fmt.Sprintf("%d of %d tasks answered", len(answer.Answers), len(job.Tasks))
	}
	for index, task := range job.Tasks {
		var echo trialPayload
		if err := json.Unmarshal(answer.Answers[index].Result, &echo); err != nil || echo != task.Payload {
			return "the answer of " + task.Task + " is not its own"
		}
	}
	return ""
}
