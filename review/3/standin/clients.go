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
	id string
	// status and state are those of the last response; status is 0 without one.
	status int
	state  string
	tries  int
}

// submitJobs plays the clients of one entry host, each with one job, and returns what they saw. Once all
// jobs are at work, disturb is called.
func submitJobs(round int, front, otherFront string, disturb func() error, events *record) ([]*job, error) {
	var jobs []*job
	var playing sync.WaitGroup
	for number := range jobsEach {
		created := &job{id: fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+round*jobsEach+number)}
		jobs = append(jobs, created)
		playing.Go(func() { created.submit(front, otherFront, events) })
	}
	time.Sleep(workBeforeKill)
	err := disturb()
	playing.Wait()
	return jobs, err
}

// submit sends the job, and sends it again to another entry host, as the platform's pages say, after no
// response, a broken connection, a 502 or a 504.
func (job *job) submit(front, otherFront string, events *record) {
	for job.tries < maxTries {
		job.tries++
		job.post(front, events)
		if job.status != 0 && job.status != http.StatusBadGateway && job.status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(retransmitTime)
		front = otherFront
	}
}

func (job *job) request(front string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+front+queuePrefix+job.id, bytes.NewReader(body))
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
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, content, nil
}

// post sends the job once and waits for the response.
func (job *job) post(front string, events *record) {
	body, err := json.Marshal(map[string]any{
		"spec": "check", "bestEffort": true,
		"steps": []map[string]any{{"count": tasksEach, "cpu": taskCPU, "memMb": 64, "estimateMs": workTime.Milliseconds()}},
	})
	if err != nil {
		panic(err) // Plain maps always have a JSON form.
	}
	events.add("POST %s to %s, try %d", job.id, front, job.tries)
	status, content, err := job.request(front, body)
	var answer struct {
		State string `json:"state"`
	}
	if err == nil && json.Unmarshal(content, &answer) == nil {
		job.state = answer.State
	}
	job.status = status
	events.add("POST %s, try %d: %d %s %v", job.id, job.tries, status, bytes.TrimSpace(content), err)
}
