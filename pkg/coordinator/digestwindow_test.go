package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestDigestWindow guards against refusals that are forgotten although their digests had time to
// arrive: the hosts with their records die, and the resends run. It prints the age at the loss of
// the oldest refusal whose resend ran.
func TestDigestWindow(t *testing.T) {
	datadriven.RunTest(t, "testdata/digest-window", func(_ *testing.T, data *datadriven.TestData) string {
		result := &windowResult{}
		for offset := range 40 {
			window := newDigestWindow()
			window.refuse(10)
			if data.Cmd == "home-cut-off-and-lost" {
				window.network.disconnectDomains()
				window.network.advance(time.Second)
				window.refuse(5)
			}
			window.wait(time.Duration(offset) * hop)
			window.lose(data.Cmd != "both-holders-lost")
			window.resend(result)
		}
		return result.String()
	})
}

type windowResult struct {
	refused, ran int
	oldest       time.Duration
}

func (result *windowResult) String() string {
	return fmt.Sprintf("%d refused, the resends of %d ran, the oldest refused %v before the loss\n", result.refused, result.ran, result.oldest)
}

// digestWindow is a network whose home leuven is full, so that it refuses jobs with a short deadline.
type digestWindow struct {
	network             *network
	lead, second, third *fakeHost
	jobs                []*messenger.Job
	answeredAt          map[identifier.SubmissionID]identifier.Moment
	lostAt              identifier.Moment
}

func newDigestWindow() *digestWindow {
	network := newNetwork(bothDomains, 3, 2, 4)
	lead := network.leadOf("leuven")
	others := network.others(lead)
	network.warmUp(lead)
	network.submit(lead, newJob("occupant", "team", 30, time.Second), time.Minute)
	network.advance(10 * time.Millisecond)
	return &digestWindow{
		network: network, lead: lead, second: others[0], third: others[1],
		answeredAt: make(map[identifier.SubmissionID]identifier.Moment),
	}
}

// refuse submits jobs whose deadline passes while they wait, one every 1.7 ms.
func (window *digestWindow) refuse(count int) {
	for range count {
		job := newJob(fmt.Sprintf("refused-%d", len(window.jobs)), "team", 1, time.Millisecond)
		window.jobs = append(window.jobs, job)
		window.network.submit(window.second, job, time.Millisecond)
		window.wait(1700 * time.Microsecond)
	}
}

// wait advances the time in short steps and records when each job is answered.
func (window *digestWindow) wait(duration time.Duration) {
	for end := window.network.now.Add(duration); window.network.now < end; {
		window.network.advance(hop / 5)
		for _, job := range window.jobs {
			if window.answeredAt[job.Submission] == 0 && window.network.finalAnswer(job) != nil {
				window.answeredAt[job.Submission] = window.network.now
			}
		}
	}
}

// lose ends the processes of both hosts that hold the records, or of all hosts of the home, two of
// which start again.
func (window *digestWindow) lose(all bool) {
	window.lostAt = window.network.now
	window.network.crashHost(window.lead)
	window.network.crashHost(window.second)
	if all {
		window.network.crashHost(window.third)
		window.network.advance(200 * time.Millisecond)
		window.network.connectDomains()
		window.network.startHost(window.third)
		window.network.startHost(window.second)
	}
	window.network.advance(12 * time.Second)
}

// resend submits the refused jobs again and adds those that run to the result.
func (window *digestWindow) resend(result *windowResult) {
	for _, job := range window.jobs {
		answeredAt := window.answeredAt[job.Submission]
		if answeredAt == 0 || !window.network.finalAnswer(job).NotRun {
			continue
		}
		result.refused++
		window.network.submit(window.third, job, time.Minute)
		window.network.advance(20 * time.Millisecond)
		if len(window.network.serversOf(job)) > 0 {
			result.ran++
			result.oldest = max(result.oldest, window.lostAt.Sub(answeredAt))
		}
	}
}
