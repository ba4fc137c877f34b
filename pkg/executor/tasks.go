package executor

import (
	"context"
	"encoding/json"
	"time"

	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
)

// payload holds the fields of a task's payload that the stand-in uses.
type payload struct {
	RunTime string `json:"run-time"`
	// Fail makes the task fail with this reason after its run time.
	Fail string `json:"fail"`
}

// handle applies one batch from an entry host in the order that the protocol defines.
func (executor *Executor) handle(link *link, message *backendv1.HostMessage) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	if lead := message.GetLead(); lead != nil {
		executor.acceptLead(link, lead)
	}
	if executor.worker != nil {
		executor.worker.handle(message)
		return
	}
	reply := &backendv1.ServerMessage{}
	for _, cancel := range message.GetCancels() {
		executor.cancel(cancel)
	}
	for _, start := range message.GetStarts() {
		executor.start(link, start, reply)
	}
	for _, received := range message.GetReceived() {
		executor.acknowledge(received)
	}
	if len(reply.GetRefusals()) > 0 || len(reply.GetAnswers()) > 0 {
		link.queue(reply)
	}
}

// acceptLead raises the cell's epoch and reports all tasks of the cell. A lead with
// a lower epoch learns the higher one from the report.
func (executor *Executor) acceptLead(link *link, lead *backendv1.Lead) {
	cell := lead.GetCell()
	if lead.GetEpoch() >= executor.epochs[cell] {
		executor.epochs[cell] = lead.GetEpoch()
		executor.leads[cell] = link
	}
	report := &backendv1.Report{Cell: cell, Epoch: executor.epochs[cell]}
	for key, task := range executor.tasks {
		if task.cell == cell {
			report.Tasks = append(report.Tasks, &backendv1.TaskState{Submission: key.submission, Task: key.task, Cell: cell})
		}
	}
	for _, finished := range executor.finished {
		if finished.cell == cell {
			report.Unacknowledged = append(report.Unacknowledged, finished.answer)
		}
	}
	if lead.GetMayMissRecords() {
		report.Acknowledged, report.TellsAcknowledged = executor.acknowledgedDigests(cell), true
	}
	link.queue(&backendv1.ServerMessage{Report: report})
}

func (executor *Executor) start(_ *link, start *backendv1.Start, reply *backendv1.ServerMessage) {
	key := taskKey{submission: start.GetSubmission(), task: start.GetTask()}
	if _, running := executor.tasks[key]; running {
		return
	}
	if finished, ended := executor.finished[key]; ended {
		reply.Answers = append(reply.Answers, finished.answer)
		return
	}
	if kind := executor.refusal(key, start); kind != backendv1.RefusalKind_REFUSAL_KIND_UNSPECIFIED {
		reply.Refusals = append(reply.Refusals, &backendv1.Refusal{
			Submission: key.submission, Task: key.task, Kind: kind, Cell: start.GetCell(),
		})
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	executor.tasks[key] = &runningTask{cell: start.GetCell(), cancel: cancel}
	if executor.Recorder != nil {
		executor.Recorder.Record(executor.Name, start.GetSubmission(), start.GetJob(), start.GetTask())
	}
	executor.running.Add(1)
	go executor.runTask(ctx, key, start)
}

// refusal returns why a start can't be accepted, or unspecified when it can.
func (executor *Executor) refusal(key taskKey, start *backendv1.Start) backendv1.RefusalKind {
	switch {
	case start.GetEpoch() < executor.epochs[start.GetCell()]:
		return backendv1.RefusalKind_REFUSAL_KIND_STALE_EPOCH
	case executor.leaving:
		return backendv1.RefusalKind_REFUSAL_KIND_LEAVING
	case executor.wasCancelled(key):
		return backendv1.RefusalKind_REFUSAL_KIND_CANCELLED
	case len(executor.tasks) >= executor.Slots:
		return backendv1.RefusalKind_REFUSAL_KIND_NO_FREE_SLOT
	default:
		return backendv1.RefusalKind_REFUSAL_KIND_UNSPECIFIED
	}
}

func (executor *Executor) wasCancelled(key taskKey) bool {
	_, cancelled := executor.cancelled[key]
	return cancelled
}

func (executor *Executor) cancel(cancel *backendv1.Cancel) {
	key := taskKey{submission: cancel.GetSubmission(), task: cancel.GetTask()}
	if task, running := executor.tasks[key]; running {
		task.cancel()
		return
	}
	executor.cancelled[key] = time.Now().Add(answerRetention)
}

// runTask sleeps for the task's run time and echoes the payload as the result.
func (executor *Executor) runTask(ctx context.Context, key taskKey, start *backendv1.Start) {
	defer executor.running.Done()
	startedAt := time.Now()
	wanted := parsePayload(start.GetPayload())
	answer := &backendv1.Answer{Submission: key.submission, Task: key.task, Cell: start.GetCell()}
	runTime, err := time.ParseDuration(wanted.RunTime)
	if err != nil && wanted.RunTime != "" {
		answer.Failed = true
		answer.Reason = "run-time is not a duration: " + wanted.RunTime
	}
	timer := time.NewTimer(runTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		answer.Result = start.GetPayload()
	case <-ctx.Done():
		answer.Cancelled = true
		answer.Reason = "cancelled"
	}
	if wanted.Fail != "" {
		answer.Failed = true
		answer.Reason = wanted.Fail
	}
	answer.RunNanos = int64(time.Since(startedAt))
	executor.finish(key, start.GetCell(), answer)
}

func parsePayload(content []byte) payload {
	var parsed payload
	if err := json.Unmarshal(content, &parsed); err != nil {
		// Any payload is valid; one without a run time ends at once.
		return payload{}
	}
	return parsed
}

// finish stores the answer and sends it to the lead with the highest epoch.
func (executor *Executor) finish(key taskKey, cell uint32, answer *backendv1.Answer) {
	executor.mutex.Lock()
	defer executor.mutex.Unlock()
	executor.tasks[key].cancel()
	delete(executor.tasks, key)
	executor.finished[key] = &finishedTask{answer: answer, forgetAt: time.Now().Add(answerRetention), cell: cell}
	if lead := executor.leads[cell]; lead != nil {
		lead.queue(&backendv1.ServerMessage{Answers: []*backendv1.Answer{answer}})
	}
}
