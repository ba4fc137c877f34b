// Package measurer counts what a host does and keeps histograms of response times
// by team and class. It serves both as expvar variables, so that any tool for
// expvar can read them.
package measurer

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// The names of the expvar variables.
const (
	variableJobs          = "jobs"
	variableReasons       = "reasons"
	variableBadRequests   = "bad-requests"
	variableStarts        = "task-starts"
	variableStartsRefused = "task-starts-refused"
	variableTaskAnswers   = "task-answers"
	variableLateAnswers   = "late-answers"
	variableHungUp        = "callers-hung-up"
	variableLeadsMoved    = "leads-moved"
	variableResponses     = "responses"
	variableGauges        = "gauges"
	variableServers       = "backend-servers"
	variableLayoutCells   = "layout-cells"
	variableLayoutDiffers = "layout-differing-hosts"
)

// Gauges are the current counts.
type Gauges struct {
	// Queued and Running count tasks of the cells that this host leads.
	Queued  int `json:"queued"`
	Running int `json:"running"`
	// Waiting counts the requests of callers that are not answered yet.
	Waiting int `json:"waiting"`
	// WaitingBytes is the total size of their bodies.
	WaitingBytes identifier.Bytes `json:"waiting-bytes"`
	// LedCells counts the cells that this host leads.
	LedCells int `json:"led-cells"`
	// Overloaded reports whether this host is overloaded, RejectedFraction the part of the new work that
	// it rejects. The other fields count since the start of the process.
	Overloaded               bool    `json:"overloaded"`
	RejectedFraction         float64 `json:"rejected-fraction"`
	Overloads                int     `json:"overloads"`
	OverloadRejectedJobs     int     `json:"overload-rejected-jobs"`
	OverloadRejectedRequests int     `json:"overload-rejected-requests"`
	// ServerSpeeds are the mean speeds of the backend servers in the cells that this host leads, by
	// service, first label and thousandths of a core, while they differ.
	ServerSpeeds map[string]identifier.Speed `json:"server-speeds,omitempty"`
	// JournalWaiting counts the batches of a keeper's log that its disk has not taken yet.
	JournalWaiting int `json:"journal-waiting"`
	// JournalRefusedSince and SnapshotRefusedSince are when the disk began to refuse a keeper's log or
	// its own snapshot; zero if it doesn't.
	JournalRefusedSince  time.Time `json:"journal-refused-since,omitzero"`
	SnapshotRefusedSince time.Time `json:"snapshot-refused-since,omitzero"`
}

// Measurer holds the variables of one host. They are not expvar's global ones,
// because several hosts may run in one process. Create it with New.
type Measurer struct {
	// Gauges returns the current counts for a request of the variables. Set it before
	// serving; nil omits the gauges.
	Gauges func(request *http.Request) Gauges

	variables   *expvar.Map
	jobs        *expvar.Map
	reasons     *expvar.Map
	badRequests *expvar.Map
	servers     *expvar.Map
	// layoutCells is the number of cells that the host uses, and layoutDiffers how many living hosts
	// of its failure domain use another number.
	layoutCells   *expvar.Int
	layoutDiffers *expvar.Int
	mutex         sync.Mutex
	responses     *histograms
}

// New returns a measurer with all counters at zero.
func New() *Measurer {
	created := &Measurer{
		variables:   new(expvar.Map).Init(),
		jobs:        new(expvar.Map).Init(),
		reasons:     new(expvar.Map).Init(),
		badRequests: new(expvar.Map).Init(),
		servers:     new(expvar.Map).Init(),
		layoutCells: new(expvar.Int), layoutDiffers: new(expvar.Int),
		responses: newHistograms(),
	}
	created.variables.Set(variableJobs, created.jobs)
	created.variables.Set(variableReasons, created.reasons)
	created.variables.Set(variableBadRequests, created.badRequests)
	created.variables.Set(variableServers, created.servers)
	created.variables.Set(variableLayoutCells, created.layoutCells)
	created.variables.Set(variableLayoutDiffers, created.layoutDiffers)
	created.variables.Set(variableResponses, expvar.Func(created.summaries))
	for _, counter := range []string{variableStarts, variableStartsRefused, variableTaskAnswers, variableLateAnswers, variableHungUp, variableLeadsMoved} {
		created.variables.Add(counter, 0)
	}
	return created
}

// Answered counts the answer of a submission to its caller. late reports whether it
// came after the caller's deadline. Refusals have no response time.
func (measurer *Measurer) Answered(job *messenger.Job, answer *messenger.JobAnswer, response time.Duration, late bool) {
	measurer.jobs.Add(answer.Outcome.String(), 1)
	if answer.Reason != messenger.ReasonNone {
		measurer.reasons.Add(answer.Reason.String(), 1)
	}
	if late {
		measurer.variables.Add(variableLateAnswers, 1)
	}
	if answer.Outcome == messenger.OutcomeRefused {
		return
	}
	measurer.mutex.Lock()
	defer measurer.mutex.Unlock()
	measurer.responses.record(label{team: job.Team, class: job.Class}, response)
}

// BadRequest counts a request that was not accepted, by the kind of its error.
func (measurer *Measurer) BadRequest(kind string) { measurer.badRequests.Add(kind, 1) }

// ServerDecided counts a change in the known state of a backend server.
func (measurer *Measurer) ServerDecided(kind messenger.DecisionKind) {
	measurer.servers.Add(kind.String(), 1)
}

// LayoutChanged records the number of cells that the host uses, and how many living hosts of its
// failure domain use another number.
func (measurer *Measurer) LayoutChanged(cells, differing int) {
	measurer.layoutCells.Set(int64(cells))
	measurer.layoutDiffers.Set(int64(differing))
}

// CallerDisconnected counts a caller that disconnected before its answer.
func (measurer *Measurer) CallerDisconnected() { measurer.variables.Add(variableHungUp, 1) }

// LeadMoved counts a cell that this host gave to a host with more capacity.
func (measurer *Measurer) LeadMoved() { measurer.variables.Add(variableLeadsMoved, 1) }

// TasksStarted counts the starts that were sent to backend servers.
func (measurer *Measurer) TasksStarted(count int) {
	measurer.variables.Add(variableStarts, int64(count))
}

// StartsRefused counts the starts that backend servers refused.
func (measurer *Measurer) StartsRefused(count int) {
	measurer.variables.Add(variableStartsRefused, int64(count))
}

// TasksAnswered counts the answers of tasks from backend servers.
func (measurer *Measurer) TasksAnswered(count int) {
	measurer.variables.Add(variableTaskAnswers, int64(count))
}

func (measurer *Measurer) summaries() any {
	measurer.mutex.Lock()
	defer measurer.mutex.Unlock()
	return measurer.responses.summaries()
}

// ServeHTTP writes all variables as JSON, in the form of expvar.Handler.
func (measurer *Measurer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "application/json; charset=utf-8")
	separator := "{\n"
	write := func(variable expvar.KeyValue) {
		// An error means that the client has disconnected, so it can't be reported.
		_, _ = fmt.Fprintf(writer, "%s%q: %s", separator, variable.Key, variable.Value)
		separator = ",\n"
	}
	if measurer.Gauges != nil {
		gauges := measurer.Gauges(request)
		write(expvar.KeyValue{Key: variableGauges, Value: expvar.Func(func() any { return gauges })})
	}
	measurer.variables.Do(write)
	write(expvar.KeyValue{Key: "memstats", Value: expvar.Get("memstats")})
	_, _ = fmt.Fprint(writer, "\n}\n")
}
