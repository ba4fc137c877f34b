package assembler_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against a job of a few tasks with large payloads, each within the limits, that never ends,
// while backend servers and other hosts are disconnected again and again. The job goes to a host that
// doesn't lead, and its batch to the lead, or the lead's starts for one backend server, exceed 4 MiB.
// gRPC by default refuses received messages of over 4 MiB and ends the stream, and the sender resent
// the same message.
func TestLargePayloadsCrossEveryStream(t *testing.T) {
	deployment := startDeployment(t, 3, nil)
	deployment.startServers(t, 1, 16)
	deployment.waitUntilServing(t)
	for index, host := range deployment.hosts {
		ctx, cancel := context.WithTimeout(context.Background(), maxWait)
		defer cancel()
		answer, err := host.Submit(ctx, largeJob(fmt.Sprintf("large-%d", index), 12, 900<<10))
		if err != nil {
			t.Fatalf("host %d: %v", index, err)
		}
		if answer.Outcome.String() != "complete" || len(answer.Answers) != 12 {
			t.Fatalf("host %d: %s %s %s, %d answers", index, answer.Outcome, answer.Reason, answer.Detail, len(answer.Answers))
		}
	}
}

func largeJob(name string, tasks, payload int) []byte {
	padding := strings.Repeat("x", payload)
	var body strings.Builder
	fmt.Fprintf(&body, `{"submission":%q,"job":%q,"caller":"garage-7","team":"estimates","class":"counter","repeatable":true,"deadline":%q,"tasks":[`,
		name, name, time.Now().Add(maxWait).Format(time.RFC3339))
	for task := range tasks {
		if task > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"task":"t-%d","payload":{"run-time":"1ms","padding":%q}}`, task, padding)
	}
	body.WriteString("]}")
	return []byte(body.String())
}
