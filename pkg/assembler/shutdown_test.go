package assembler_test

import (
	"context"
	"strings"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/receiver"
)

// longJob returns a job of one task with a run time.
func longJob(name, runTime string) []byte {
	return []byte(strings.Replace(string(smallJob(name)), `"run-time":"0s"`, `"run-time":"`+runTime+`"`, 1))
}

// submitInBackground submits a job and returns, once the host has it, a channel that receives its
// answer, or nil if the host ends without one.
func (deployment *deployment) submitInBackground(t *testing.T, host int, job []byte) chan *receiver.AnswerBody {
	t.Helper()
	answered := make(chan *receiver.AnswerBody, 1)
	go func() {
		// An error means that the host ended without an answer, which nil reports.
		answer, _ := deployment.hosts[host].Submit(context.Background(), job)
		answered <- answer
	}()
	eventually(t, "the job runs", func(ctx context.Context) bool {
		status, err := deployment.hosts[host].Status(ctx)
		return err == nil && status.Unanswered == 1
	})
	return answered
}

// TestGracefulShutdown checks that after the first signal a host reports unready, refuses new jobs as
// not known to have run, and answers what it accepted, whether it leads or not.
func TestGracefulShutdown(t *testing.T) {
	deployment := startDeployment(t, 3, nil)
	deployment.startServers(t, 2, 8)
	deployment.waitUntilLed(t)
	deployment.waitUntilServing(t)
	for _, index := range []int{2, 1} {
		answered := deployment.submitInBackground(t, index, longJob("accepted-"+string(rune('0'+index)), "2500ms"))
		deployment.signals[index].terminate()
		host := deployment.hosts[index]
		eventually(t, "the host is unready", func(context.Context) bool {
			status, _ := send(t, host.Host, "GET /readyz\nAccept: */*")
			return status == "503"
		})
		eventually(t, "new jobs are refused", func(ctx context.Context) bool {
			answer, err := host.Submit(ctx, smallJob("late"))
			if err != nil {
				t.Fatalf("the host ended with a job unanswered: %v", err)
			}
			return answer.Reason == messenger.ReasonShuttingDown.String() && !answer.NotRun
		})
		answer := <-answered
		<-deployment.signals[index].ended
		if answer == nil || answer.Outcome != messenger.OutcomeComplete {
			t.Errorf("host %d: the accepted job's answer is %+v", index, answer)
		}
	}
	if logs := deployment.logs.String(); strings.Count(logs, "shut down, every accepted job is answered") != 2 {
		t.Errorf("the logs don't say that every job is answered:\n%s", logs)
	}
}

// TestSecondSignal checks that the second signal ends the process at once and that the log says what
// was lost.
func TestSecondSignal(t *testing.T) {
	deployment := startDeployment(t, 1, nil)
	deployment.startServers(t, 1, 8)
	deployment.waitUntilLed(t)
	deployment.waitUntilServing(t)
	answered := deployment.submitInBackground(t, 0, longJob("lost", "6s"))
	deployment.signals[0].terminate()
	deployment.signals[0].abort()
	<-deployment.signals[0].ended
	if answer := <-answered; answer != nil {
		t.Errorf("the answer is %+v, want none", answer)
	}
	if logs := deployment.logs.String(); !strings.Contains(logs, `msg="shut down early, requests lost"`) || !strings.Contains(logs, "waiting=1") {
		t.Errorf("the logs don't say what was lost:\n%s", logs)
	}
}
