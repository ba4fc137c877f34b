package standin2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ResendDelay is retransmitMs of the site.
const ResendDelay = 1300 * time.Millisecond

// Client is a client of one zone that sends one job, again and again until it has an answer.
type Client struct {
	Deployment *Deployment
	Zone       string
	// Hash selects the daemon of the first connection; the others follow in turn.
	Hash int
	// Deadline is how long the client waits for a response.
	Deadline time.Duration
	// Attempts is how often the client sends the job at most.
	Attempts int
	// Leaves, if set, is closed when the client leaves its first request before the deadline.
	Leaves <-chan struct{}
}

// Run sends the job until it is answered, and returns the last status, 0 for none. After no response, a
// broken connection, a 502 or a 504 the job is sent again after ResendDelay, to another daemon.
func (client *Client) Run(job Job) int {
	client.Deployment.Jobs.Add(job)
	status := 0
	for attempt := range client.Attempts {
		if attempt > 0 {
			time.Sleep(ResendDelay)
		}
		machine := client.machine(attempt)
		status = client.send(machine, &job, attempt)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
	}
	return status
}

// machine selects a daemon of the zone that is in rotation, or, if fewer than half are, any.
func (client *Client) machine(attempt int) *Machine {
	all := client.Deployment.EdgesIn(client.Zone)
	var rotation []*Machine
	for _, machine := range all {
		if machine.InRotation() {
			rotation = append(rotation, machine)
		}
	}
	if 2*len(rotation) < len(all) {
		rotation = all
	}
	if attempt == 0 {
		return all[client.Hash%len(all)]
	}
	var others []*Machine
	for _, machine := range rotation {
		if machine != all[client.Hash%len(all)] {
			others = append(others, machine)
		}
	}
	if len(others) == 0 {
		others = rotation
	}
	return others[(client.Hash+attempt)%len(others)]
}

func (client *Client) send(machine *Machine, job *Job, attempt int) int {
	record := client.Deployment.Record
	ctx, cancel := context.WithTimeout(context.Background(), client.Deadline)
	defer cancel()
	if attempt == 0 && client.Leaves != nil {
		go func() {
			select {
			case <-client.Leaves:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	body, err := json.Marshal(map[string]any{
		"spec": "spec of " + job.ID, "bestEffort": true,
		"steps": []map[string]any{{"count": job.Tasks, "cpu": job.CPU, "memMb": 64, "estimateMs": job.Estimate.Milliseconds()}},
	})
	if err != nil {
		return 0
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+machine.Front()+Prefix+job.ID, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(client.Deadline.Milliseconds()))
	// Each request has a connection of its own, which ends with it.
	transport := &http.Transport{DisableKeepAlives: true}
	record.Note("send %s to %s, attempt %d", job.ID, machine.Name, attempt+1)
	response, err := transport.RoundTrip(request)
	if err != nil {
		record.Note("no answer for %s from %s: %v", job.ID, machine.Name, ctx.Err())
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	record.Note("answer for %s from %s: %d %s", job.ID, machine.Name, response.StatusCode, content)
	return response.StatusCode
}
