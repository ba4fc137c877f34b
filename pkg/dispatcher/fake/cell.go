// Package fake drives a Dispatcher through Tick in virtual time, with fakes of the backend servers
// of one cell and of the callers' host. It checks the dispatcher's guarantees by what the backend
// servers see, not by the dispatcher's own records.
package fake

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

const (
	// Domain is the failure domain of the cell.
	Domain identifier.FailureDomain = "thu-duc"

	host              identifier.HostID = "entry-0"
	transitTime                         = 250 * time.Microsecond
	heartbeatInterval                   = 500 * time.Millisecond
)

// Cell is one cell with its lead. Set the exported fields before Open.
type Cell struct {
	Settings dispatcher.Settings
	Servers  int
	Slots    identifier.Slots
	// Refuse returns whether a backend server refuses a start, and for which reason;
	// RefusalUnspecified accepts it.
	Refuse func(server int, key dispatcher.TaskKey) dispatcher.RefusalKind

	// Now is the present virtual time.
	Now identifier.Moment
	// Records holds every submission.
	Records map[identifier.SubmissionID]*Record
	// Violations lists the violated guarantees.
	Violations []string
	// Starts and Refusals count the starts that backend servers received and refused.
	Starts   int
	Refusals int
	// Running counts the running tasks of each team, MaxRunning the highest count so far.
	Running    map[identifier.TeamID]int
	MaxRunning map[identifier.TeamID]int

	dispatcher *dispatcher.Dispatcher
	servers    []*server
	events     events
	sequence   int
	inputs     []dispatcher.Input
}

// Record is what was observed of one submission.
type Record struct {
	Job       *messenger.Job
	ArrivedAt identifier.Moment
	Ideal     time.Duration
	// Answers lists the answers in the order of their arrival.
	Answers    []*messenger.JobAnswer
	AnsweredAt identifier.Moment
	// Started counts the starts of each task that a backend server accepted.
	Started  map[identifier.TaskID]int
	runTimes map[identifier.TaskID]time.Duration
	// cancelled is set once the cancellation was submitted.
	cancelled bool
	resends   int
}

// Answer returns the first answer, or nil.
func (record *Record) Answer() *messenger.JobAnswer {
	if len(record.Answers) == 0 {
		return nil
	}
	return record.Answers[0]
}

// Stretch returns the response time divided by the ideal time.
func (record *Record) Stretch() float64 {
	return float64(record.AnsweredAt.Sub(record.ArrivedAt)) / float64(record.Ideal)
}

// Open has the lead take the cell and the backend servers announce themselves.
func (cell *Cell) Open() {
	cell.Records = make(map[identifier.SubmissionID]*Record)
	cell.Running = make(map[identifier.TeamID]int)
	cell.MaxRunning = make(map[identifier.TeamID]int)
	cell.dispatcher = &dispatcher.Dispatcher{Self: host, FailureDomain: Domain, Settings: cell.Settings}
	cell.post(&dispatcher.LeadTaken{Cell: 0, Epoch: 1})
	for number := range cell.Servers {
		created := &server{cell: cell, number: number, running: make(map[dispatcher.TaskKey]bool)}
		cell.servers = append(cell.servers, created)
		created.announce()
		created.sendHeartbeat()
	}
	cell.Run(cell.Now.Add(10 * time.Millisecond))
}

// Post submits an input to the lead now.
func (cell *Cell) Post(input dispatcher.Input) { cell.post(input) }

// Lead returns the dispatcher that leads the cell.
func (cell *Cell) Lead() *dispatcher.Dispatcher { return cell.dispatcher }

// Submit submits a job to the lead now. Its tasks run for runTimes.
func (cell *Cell) Submit(job *messenger.Job, deadline identifier.Moment, runTimes []time.Duration) *Record {
	record := &Record{
		Job:       job,
		ArrivedAt: cell.Now,
		Started:   make(map[identifier.TaskID]int),
		runTimes:  make(map[identifier.TaskID]time.Duration),
	}
	for index, runTime := range runTimes {
		record.runTimes[job.Tasks[index].Task] = runTime
		record.Ideal = max(record.Ideal, runTime+2*transitTime)
	}
	cell.Records[job.Submission] = record
	cell.post(&dispatcher.JobForwarded{From: host, Job: job, Deadline: deadline})
	return record
}

// Cancel submits a cancellation by the submission's caller.
func (cell *Cell) Cancel(record *Record) {
	record.cancelled = true
	cancel := messenger.Cancel{Submission: record.Job.Submission, Caller: record.Job.Caller}
	cell.post(&dispatcher.CancelArrived{From: host, Cancel: cancel})
}

// Resend submits the same submission again.
func (cell *Cell) Resend(record *Record, deadline identifier.Moment) {
	record.resends++
	cell.post(&dispatcher.JobForwarded{From: host, Job: record.Job, Deadline: deadline, MayHaveEarlierStarts: true})
}

// Leave has a backend server announce that it accepts no new starts.
func (cell *Cell) Leave(number int) {
	cell.post(&dispatcher.ServerLeaving{Server: cell.servers[number].id()})
}

// Stop ends a backend server at once, with all its tasks.
func (cell *Cell) Stop(number int) {
	stopped := cell.servers[number]
	if stopped.gone {
		return
	}
	stopped.gone = true
	for key := range stopped.running {
		cell.Running[cell.Records[key.Submission].Job.Team]--
	}
	cell.post(&dispatcher.ServerLost{Server: stopped.id()})
}

// At schedules action for a moment.
func (cell *Cell) At(moment identifier.Moment, action func()) {
	cell.sequence++
	heap.Push(&cell.events, event{at: moment, sequence: cell.sequence, action: action})
}

// Run advances virtual time to a moment.
func (cell *Cell) Run(until identifier.Moment) {
	for {
		cell.tick()
		next := cell.dispatcher.NextDeadline()
		if len(cell.events) > 0 {
			next = identifier.Earlier(next, cell.events[0].at)
		}
		if next > until {
			cell.Now = until
			return
		}
		cell.Now = max(next, cell.Now)
		for len(cell.events) > 0 && cell.events[0].at <= cell.Now {
			heap.Pop(&cell.events).(event).action()
		}
	}
}

func (cell *Cell) after(delay time.Duration, action func()) { cell.At(cell.Now.Add(delay), action) }

func (cell *Cell) post(input dispatcher.Input) { cell.inputs = append(cell.inputs, input) }

func (cell *Cell) tick() {
	inputs := cell.inputs
	cell.inputs = nil
	for _, output := range cell.dispatcher.Tick(cell.Now, inputs) {
		switch output := output.(type) {
		case *dispatcher.ToServer:
			cell.send(output)
		case *dispatcher.JobAnswered:
			cell.recordAnswer(output.Answer)
		}
	}
}

func (cell *Cell) recordAnswer(answer *messenger.JobAnswer) {
	record := cell.Records[answer.Submission]
	record.Answers = append(record.Answers, answer)
	if len(record.Answers) == 1 {
		record.AnsweredAt = cell.Now
	}
	if len(record.Answers) > 1+record.resends {
		cell.addViolation("answered more often than asked: %s", answer.Submission)
	}
	if answer.Outcome != record.Answer().Outcome || answer.NotRun != record.Answer().NotRun {
		cell.addViolation("answered in two ways: %s", answer.Submission)
	}
	if answer.Outcome == messenger.OutcomeComplete && len(answer.Answers) != len(record.Job.Tasks) {
		cell.addViolation("complete with %d of %d tasks: %s", len(answer.Answers), len(record.Job.Tasks), answer.Submission)
	}
	if answer.NotRun && len(record.Started) > 0 {
		cell.addViolation("refused as not run after a start: %s", answer.Submission)
	}
	cell.after(2*transitTime, func() { cell.post(&dispatcher.AnswerReplicated{Submission: answer.Submission}) })
}

func (cell *Cell) addViolation(format string, values ...any) {
	cell.Violations = append(cell.Violations, fmt.Sprintf("%v: ", time.Duration(cell.Now))+fmt.Sprintf(format, values...))
}

// event is an action that is due at a moment.
type event struct {
	at       identifier.Moment
	sequence int
	action   func()
}

type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(first, second int) bool {
	if events[first].at != events[second].at {
		return events[first].at < events[second].at
	}
	return events[first].sequence < events[second].sequence
}
func (events events) Swap(first, second int) {
	events[first], events[second] = events[second], events[first]
}

// Push implements heap.Interface.
func (events *events) Push(value any) { *events = append(*events, value.(event)) }

// Pop implements heap.Interface.
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}
