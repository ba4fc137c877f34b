package executor

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Recorder writes one JSON line for each start, so that it can be checked which tasks
// really started. It is safe for concurrent use.
type Recorder struct {
	Writer io.Writer

	mutex sync.Mutex
}

// startRecord is one line of the record.
type startRecord struct {
	At            time.Time `json:"at"`
	BackendServer string    `json:"backend-server"`
	Submission    string    `json:"submission"`
	Job           string    `json:"job"`
	Task          string    `json:"task"`
}

// Record writes the line of one start. It panics when the line can't be written: a record
// with gaps would prove nothing.
func (recorder *Recorder) Record(backendServer, submission, job, task string) {
	line, err := json.Marshal(startRecord{
		At: time.Now(), BackendServer: backendServer, Submission: submission, Job: job, Task: task,
	})
	if err != nil {
		panic(err)
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if _, err := recorder.Writer.Write(append(line, '\n')); err != nil {
		panic(err)
	}
}
