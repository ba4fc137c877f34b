package replayer

import (
	"fmt"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// LeavingGrace is how long after its announcement a leaving backend server may
// still receive new work.
const LeavingGrace = 3 * time.Second

// Checker checks the dispatcher's guarantees against what callers and backend servers
// observed. Call its On methods in order of virtual time. Construct it with NewChecker.
type Checker struct {
	submissions map[identifier.SubmissionID]*checkedSubmission
	order       []identifier.SubmissionID
	firstRuns   map[requestKey]identifier.SubmissionID
	leaving     map[identifier.BackendServerID]identifier.Moment
	started     int
	violations  []string
}

// TaskStart is a start of a task as the backend server observed it.
type TaskStart struct {
	BackendServer identifier.BackendServerID
	Submission    identifier.SubmissionID
	Job           identifier.JobID
	Caller        identifier.CallerID
	Task          identifier.TaskID
	Repeatable    bool
}

// CallerAnswer is an answer to a submission as the caller observed it.
type CallerAnswer struct {
	Submission identifier.SubmissionID
	// Caller is the caller that received the answer, which may differ from the submission's.
	Caller  identifier.CallerID
	Outcome tracer.Outcome
	// NotRun states that no task started. A refusal without it states that the job is not
	// known to have run.
	NotRun bool
	// Answers are the labels of the results in the answer.
	Answers []TaskAnswer
}

// TaskAnswer is the label that a fake backend server puts into each result. It reveals
// results in the wrong answer.
type TaskAnswer struct {
	Submission identifier.SubmissionID
	Task       identifier.TaskID
}

type checkedSubmission struct {
	caller identifier.CallerID
	// request identifies the job if it is not repeatable; else it is nil.
	request *requestKey
	tasks   []identifier.TaskID
	// requests counts what may be answered: each submission, resend and cancellation.
	requests       int
	starts         map[identifier.TaskID]*taskStarts
	answers        int
	firstAnswer    CallerAnswer
	notRunAt       identifier.Moment
	reportedNotRun bool
}

// taskStarts counts the starts of a task and records where and when it started first.
type taskStarts struct {
	count       int
	firstServer identifier.BackendServerID
	firstAt     identifier.Moment
}

// requestKey identifies a caller's job, which all its submissions share.
type requestKey struct {
	caller identifier.CallerID
	job    identifier.JobID
}

// NewChecker returns a checker without observations.
func NewChecker() *Checker {
	return &Checker{
		submissions: make(map[identifier.SubmissionID]*checkedSubmission),
		firstRuns:   make(map[requestKey]identifier.SubmissionID),
		leaving:     make(map[identifier.BackendServerID]identifier.Moment),
	}
}

// OnSubmission records that the caller sends or resends the job.
func (checker *Checker) OnSubmission(job *tracer.Job) {
	submission := checker.submissions[job.Submission]
	if submission == nil {
		submission = &checkedSubmission{caller: job.Caller, tasks: TaskIDs(job), starts: make(map[identifier.TaskID]*taskStarts)}
		if !job.Repeatable {
			submission.request = &requestKey{caller: job.Caller, job: job.Job}
		}
		checker.submissions[job.Submission] = submission
		checker.order = append(checker.order, job.Submission)
	}
	submission.requests++
}

// OnCancellation records that the caller cancels a submission. A cancellation is a request
// of its own, which gets the submission's answer too.
func (checker *Checker) OnCancellation(id identifier.SubmissionID) {
	if submission := checker.submissions[id]; submission != nil {
		submission.requests++
	}
}

// TaskIDs returns the ids of a job's tasks in a replay: "t-" and their numbers from 0. They
// are the same in each submission of the job.
func TaskIDs(job *tracer.Job) []identifier.TaskID {
	ids := make([]identifier.TaskID, 0, len(job.Tasks))
	for number := range job.Tasks {
		ids = append(ids, identifier.TaskID(fmt.Sprintf("t-%d", number)))
	}
	return ids
}

// OnTaskStarted records and checks that a backend server began to run a task.
func (checker *Checker) OnTaskStarted(start TaskStart, at identifier.Moment) {
	checker.started++
	submission := checker.submissions[start.Submission]
	if submission == nil || !slices.Contains(submission.tasks, start.Task) {
		checker.addViolation("only work that a caller sent is started", start.Submission, at,
			"task %s started at %s but nobody sent it", start.Task, start.BackendServer)
		return
	}
	checker.checkSingleStart(submission, start, at)
	checker.checkSingleRun(start, at)
	checker.checkRefusalHolds(submission, start, at)
	checker.checkLeaving(start, at)
}

func (checker *Checker) checkSingleStart(submission *checkedSubmission, start TaskStart, at identifier.Moment) {
	known := submission.starts[start.Task]
	if known == nil {
		submission.starts[start.Task] = &taskStarts{count: 1, firstServer: start.BackendServer, firstAt: at}
		return
	}
	known.count++
	checker.addViolation("no task within a submission starts twice", start.Submission, at,
		"task %s started for the %s time, at %s; the first time at %s, at %s",
		start.Task, ordinal(known.count), start.BackendServer, known.firstServer, time.Duration(known.firstAt))
}

// checkSingleRun checks that only one submission of a not-repeatable request starts tasks:
// two submissions that each ran some of them would together have run the request more than
// once.
func (checker *Checker) checkSingleRun(start TaskStart, at identifier.Moment) {
	if start.Repeatable {
		return
	}
	key := requestKey{caller: start.Caller, job: start.Job}
	first, ran := checker.firstRuns[key]
	if !ran {
		checker.firstRuns[key] = start.Submission
		return
	}
	if first != start.Submission {
		checker.addViolation("a not-repeatable request runs at most once", start.Submission, at,
			"task %s of job %s of caller %s started at %s, after submission %s had started",
			start.Task, start.Job, start.Caller, start.BackendServer, first)
	}
}

func (checker *Checker) checkRefusalHolds(submission *checkedSubmission, start TaskStart, at identifier.Moment) {
	if submission.reportedNotRun {
		checker.addViolation("what was refused as not run did not run", start.Submission, at,
			"task %s started at %s, after the refusal at %s", start.Task, start.BackendServer, formatMoment(submission.notRunAt))
	}
}

func (checker *Checker) checkLeaving(start TaskStart, at identifier.Moment) {
	since, leaving := checker.leaving[start.BackendServer]
	if leaving && at.Sub(since) > LeavingGrace {
		checker.addViolation("a leaving backend server receives no new work", start.Submission, at,
			"task %s started at %s, which said at %s that it leaves", start.Task, start.BackendServer, formatMoment(since))
	}
}

// OnServerLeaving records that a backend server announced that it leaves.
func (checker *Checker) OnServerLeaving(server identifier.BackendServerID, at identifier.Moment) {
	if _, already := checker.leaving[server]; !already {
		checker.leaving[server] = at
	}
}

// OnServerReturned records that a backend server accepts work again.
func (checker *Checker) OnServerReturned(server identifier.BackendServerID) {
	delete(checker.leaving, server)
}

// OnRequestCutOff records the violation that an entry host ended a graceful shutdown and closed
// the connection of a caller that still waited for an answer.
func (checker *Checker) OnRequestCutOff(submission identifier.SubmissionID, host identifier.HostID, at identifier.Moment) {
	checker.addViolation("a graceful shutdown cuts off no request in progress", submission, at,
		"entry host %s ended before it answered", host)
}

// Violations returns one sentence for each violation, in the order of their moments.
func (checker *Checker) Violations() []string { return checker.violations }

// TasksStarted returns the number of task starts, repeated ones included.
func (checker *Checker) TasksStarted() int { return checker.started }

func (checker *Checker) addViolation(promise string, submission identifier.SubmissionID, at identifier.Moment, format string, arguments ...any) {
	detail := fmt.Sprintf(format, arguments...)
	checker.violations = append(checker.violations,
		fmt.Sprintf("promise %q broken for submission %s at %s: %s", promise, submission, formatMoment(at), detail))
}

func ordinal(count int) string {
	switch count {
	case 2:
		return "second"
	case 3:
		return "third"
	}
	return fmt.Sprintf("%dth", count)
}

func formatMoment(moment identifier.Moment) string { return time.Duration(moment).String() }
