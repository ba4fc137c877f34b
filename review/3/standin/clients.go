package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// job is one job and what its client saw.
type job struct {
	id, front    string
	postStatus   int
	state        string
	deleteStatus int
	// acknowledgedAt is when the client read the acknowledgement of the cancellation; zero if none came.
	acknowledgedAt time.Time
}

// jobGap is the time between two jobs, so that they don't compete for room.
const jobGap = 300 * time.Millisecond

// submitJobs plays the clients and returns what they saw, once all their requests have ended.
func submitJobs(fronts []string, trouble bool, events *record) []*job {
	var jobs []*job
	var playing sync.WaitGroup
	for number := range jobCount {
		created := &job{id: fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+number), front: fronts[number%len(fronts)]}
		jobs = append(jobs, created)
		playing.Go(func() { created.post(events) })
		if trouble {
			playing.Go(func() {
				time.Sleep(cancelDelay)
				created.cancel(events)
			})
		}
		time.Sleep(jobGap)
	}
	playing.Wait()
	return jobs
}

func (job *job) request(method string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+job.front+queuePrefix+job.id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	// Each request has a connection of its own.
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// post submits the job and waits for its end.
func (job *job) post(events *record) {
	body, err := json.Marshal(map[string]any{
		"spec": "check", "bestEffort": true,
		"steps": []map[string]any{{"count": tasksEach, "cpu": taskCPU, "memMb": 64, "estimateMs": workTime.Milliseconds()}},
	})
	if err != nil {
		panic(err) // Plain maps always have a JSON form.
	}
	events.add("POST %s to %s", job.id, job.front)
	status, content, err := job.request(http.MethodPost, body)
	var answer struct {
		State string `json:"state"`
	}
	if err == nil && json.Unmarshal(content, &answer) == nil {
		job.state = answer.State
	}
	job.postStatus = status
	events.add("POST %s: %d %s %v", job.id, status, bytes.TrimSpace(content), err)
}

// cancel cancels the job. A response of 2xx or 410 acknowledges that.
func (job *job) cancel(events *record) {
	events.add("DELETE %s to %s", job.id, job.front)
	status, content, err := job.request(http.MethodDelete, nil)
	job.deleteStatus = status
	if err == nil && (status/100 == 2 || status == http.StatusGone) {
		job.acknowledgedAt = time.Now()
	}
	events.add("DELETE %s: %d %s %v", job.id, status, bytes.TrimSpace(content), err)
}
