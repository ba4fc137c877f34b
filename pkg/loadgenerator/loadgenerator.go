package loadgenerator

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/stoathitch/stoathitch/pkg/receiver"
	"github.com/stoathitch/stoathitch/pkg/requester"
)

// progressInterval is how often the progress is told.
const progressInterval = 500 * time.Millisecond

// Generator runs one plan. Set the exported fields before Run.
type Generator struct {
	Plan Plan
	// Hosts are the callers' addresses with their scheme. Jobs go to each in turn.
	Hosts []string
	// TLS is for hosts that are reached by https; nil means that of net/http.
	TLS *tls.Config
	// Token proves who asks; none is sent when it is empty.
	Token string
	// Progress is called a few times a second while the run goes on; nil tells
	// nobody.
	Progress func(Progress)

	requesters []*requester.Requester
	run        string
	begun      time.Time
	tally      *tally
	inFlight   chan struct{}
	group      sync.WaitGroup
}

// Progress is how far a run is.
type Progress struct {
	Elapsed  time.Duration
	Due      int
	Answered int
	Refused  int
	Missing  int
	InFlight int
}

// Run sends the jobs of the plan and waits for their answers, each at most the
// plan's patience. A done ctx ends it early; jobs under way then count as
// unanswered.
func (generator *Generator) Run(ctx context.Context) (*Summary, error) {
	if err := generator.Plan.Check(); err != nil {
		return nil, err
	}
	if len(generator.Hosts) == 0 {
		return nil, malformed("run", "there is no host to send to")
	}
	generator.prepare()
	told := generator.tellProgress()
	generator.send(ctx)
	generator.group.Wait()
	close(told)
	return generator.tally.summary(generator), nil
}

func (generator *Generator) prepare() {
	transport := &http.Transport{
		TLSClientConfig:     generator.TLS,
		MaxConnsPerHost:     generator.Plan.Connections,
		MaxIdleConnsPerHost: generator.Plan.Connections,
		MaxIdleConns:        generator.Plan.Connections * len(generator.Hosts),
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport}
	for _, host := range generator.Hosts {
		generator.requesters = append(generator.requesters, &requester.Requester{Host: host, Client: client, Token: generator.Token})
	}
	generator.inFlight = make(chan struct{}, generator.Plan.InFlight)
	generator.tally = newTally()
	generator.begun = time.Now()
	generator.run = "load-" + strconv.FormatInt(generator.begun.UnixNano(), 36)
}

// send lets each arrival begin at its moment. Where all of InFlight is taken the
// arrival begins late, but those after it keep their moments. Once the duration
// and the patience are over, what has not begun is given up.
func (generator *Generator) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, generator.Plan.Duration.Std()+generator.Plan.Patience.Std())
	defer cancel()
	schedule := newSchedule(&generator.Plan)
	for arrival := schedule.take(); arrival != nil; arrival = schedule.take() {
		waitUntil(ctx, generator.begun.Add(arrival.due))
		if !generator.reserve(ctx) {
			generator.tally.due(arrival)
			generator.tally.add(arrival, outcome{kind: outcomeUnsent})
			continue
		}
		generator.tally.due(arrival)
		generator.group.Go(func() {
			defer func() { <-generator.inFlight }()
			generator.submit(ctx, arrival)
		})
	}
	generator.group.Wait()
}

func (generator *Generator) reserve(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case generator.inFlight <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitUntil returns at the moment or when ctx is done. A moment that has passed
// costs nothing, so that a late generator catches up.
func waitUntil(ctx context.Context, moment time.Time) {
	remaining := time.Until(moment)
	if remaining <= 0 {
		return
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (generator *Generator) submit(ctx context.Context, arrival *arrival) {
	ctx, cancel := context.WithTimeout(ctx, generator.Plan.Patience.Std())
	defer cancel()
	due := generator.begun.Add(arrival.due)
	body, err := encodeJob(generator.run, arrival, due)
	if err != nil {
		generator.tally.add(arrival, outcome{kind: outcomeError, reason: err.Error()})
		return
	}
	host := generator.requesters[arrival.number%len(generator.requesters)]
	sent := time.Now()
	answer, err := host.Submit(ctx, body)
	result := outcomeOf(arrival, answer, err)
	result.late = sent.Sub(due)
	result.response = time.Since(due)
	generator.tally.add(arrival, result)
}

// outcomeOf tells what became of a job.
func outcomeOf(arrival *arrival, answer *receiver.AnswerBody, err error) outcome {
	var failure *requester.Error
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return outcome{kind: outcomeUnanswered, reason: "no answer in time"}
	case errors.As(err, &failure):
		return outcome{kind: outcomeError, reason: failure.Kind.String()}
	case err != nil:
		return outcome{kind: outcomeError, reason: err.Error()}
	}
	return outcomeOfAnswer(arrival, answer)
}

// tellProgress tells the progress until the returned channel is closed.
func (generator *Generator) tellProgress() chan struct{} {
	ended := make(chan struct{})
	if generator.Progress == nil {
		return ended
	}
	go func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
				progress := generator.tally.progress()
				progress.Elapsed = time.Since(generator.begun)
				progress.InFlight = len(generator.inFlight)
				generator.Progress(progress)
			}
		}
	}()
	return ended
}
