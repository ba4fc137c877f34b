// Package standin2 has the stand-ins of the users' platform for the scripts of the second review:
// executors, the operator, the platform in front of the daemons, and clients. They do what the users'
// pages say, and write down what was sent, answered and run.
package standin2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Record writes what happens to a file and finds tasks that run twice at the same time.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
	// running holds the runs that are at work, by task.
	running map[string][]atWork
	leads   map[string]string
	broken  []string
}

type atWork struct {
	executor string
	run      uint32
	since    time.Duration
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &Record{file: file, began: time.Now(), running: make(map[string][]atWork), leads: make(map[string]string)}, nil
}

// Note writes one line with the time since the start of the case.
func (record *Record) Note(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.note(format, arguments...)
}

func (record *Record) note(format string, arguments ...any) {
	_, _ = fmt.Fprintf(record.file, "%8.3f %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// Break records that the rule of the case was broken.
func (record *Record) Break(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.addBreak(format, arguments...)
}

func (record *Record) addBreak(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	record.broken = append(record.broken, text)
	record.note("BROKEN %s", text)
}

// Broken returns how the rule was broken.
func (record *Record) Broken() []string {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return append([]string(nil), record.broken...)
}

// Leads returns the address that heartbeats of a zone's executors were sent on to last.
func (record *Record) Leads(zone string) string {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return record.leads[zone]
}

func (record *Record) leadNamed(zone, address string) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	if record.leads[zone] != address {
		record.leads[zone] = address
		record.note("heartbeats of zone %s go to %s", zone, address)
	}
}

func (record *Record) started(task string, run uint32, executor, zone string, fence uint64) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.note("start %s run %d on %s in %s, fence %d", task, run, executor, zone, fence)
	now := time.Since(record.began)
	for _, other := range record.running[task] {
		record.addBreak("TWICE: run %d of %s starts on %s while run %d is at work on %s since %.3f", run, task, executor, other.run, other.executor, other.since.Seconds())
	}
	record.running[task] = append(record.running[task], atWork{executor: executor, run: run, since: now})
}

func (record *Record) ended(task string, run uint32, executor, how string) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.note("end %s run %d on %s: %s", task, run, executor, how)
	kept := record.running[task][:0]
	for _, other := range record.running[task] {
		if other.executor != executor || other.run != run {
			kept = append(kept, other)
		}
	}
	record.running[task] = kept
}

// Job is what a client sends, and how long each of its tasks takes.
type Job struct {
	ID       string
	Tasks    int
	CPU      int
	Estimate time.Duration
	Work     time.Duration
}

// Jobs holds the jobs that clients have sent. Executors take the size and the work of a task from it.
type Jobs struct {
	mutex sync.Mutex
	known map[string]Job
}

// NewJobs returns an empty table.
func NewJobs() *Jobs { return &Jobs{known: make(map[string]Job)} }

// Add adds a job before it is sent.
func (jobs *Jobs) Add(job Job) {
	jobs.mutex.Lock()
	defer jobs.mutex.Unlock()
	jobs.known[job.ID] = job
}

func (jobs *Jobs) ofTask(task string) Job {
	id, _, _ := strings.Cut(task, ".")
	jobs.mutex.Lock()
	defer jobs.mutex.Unlock()
	return jobs.known[id]
}

// callJSON sends a body and decodes the answer, if it is wanted.
func callJSON(ctx context.Context, method, address string, body, answer any) (int, error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, content)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if answer != nil {
		_ = json.Unmarshal(read, answer)
	}
	return response.StatusCode, nil
}

// AtWork returns the runs of a job that are at work.
func (record *Record) AtWork(job string) []string {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	var found []string
	for task, runs := range record.running {
		if id, _, _ := strings.Cut(task, "."); id != job {
			continue
		}
		for _, known := range runs {
			found = append(found, fmt.Sprintf("run %d of %s on %s", known.run, task, known.executor))
		}
	}
	return found
}
