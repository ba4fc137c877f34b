package inquirer_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/inquirer"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestScenarios runs the scenarios in testdata. Each command is one tick at the time of its argument
// at; its outputs are printed one per line.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tested := &inquirer.Inquirer{Settings: inquirer.DefaultSettings()}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			if data.Cmd == "settings" {
				tested.Settings.Lease = duration(t, data, "lease")
				return ""
			}
			at := duration(t, data, "at")
			return describe(tested.Tick(identifier.Moment(at), inputsOf(t, data)))
		})
	})
}

func inputsOf(t *testing.T, data *datadriven.TestData) []inquirer.Input {
	job := identifier.JobID(scan(t, data, "job"))
	host := identifier.HostID(scan(t, data, "host"))
	switch data.Cmd {
	case "request":
		requested := &inquirer.CapacityRequested{From: host, Home: "leuven", Request: messenger.CapacityRequest{
			Job: job, Remaining: time.Second, Tasks: []messenger.TaskRequest{{Task: 0}, {Task: 1}},
		}}
		for _, peer := range strings.Fields(data.Input) {
			requested.Peers = append(requested.Peers, identifier.HostID(peer))
		}
		return []inquirer.Input{requested}
	case "reply":
		reply := messenger.JobInquiryReply{Job: job, Host: identifier.HostID(scan(t, data, "for")), Known: data.HasArg("known")}
		return []inquirer.Input{&inquirer.ReplyArrived{From: host, Reply: reply}}
	case "release":
		return []inquirer.Input{&inquirer.CapacityReleased{From: host, Job: job}}
	case "lost":
		return []inquirer.Input{&inquirer.HostLost{Host: host, FailureDomain: "leuven"}}
	case "wait":
		return nil
	}
	t.Fatalf("unknown command %s", data.Cmd)
	return nil
}

func duration(t *testing.T, data *datadriven.TestData, key string) time.Duration {
	value, err := time.ParseDuration(scan(t, data, key))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func scan(t *testing.T, data *datadriven.TestData, key string) string {
	value := ""
	data.MaybeScanArgs(t, key, &value)
	return value
}

func describe(outputs []inquirer.Output) string {
	lines := make([]string, 0, len(outputs))
	for _, output := range outputs {
		switch output := output.(type) {
		case *inquirer.SendInquiry:
			lines = append(lines, fmt.Sprintf("ask %s about %s for %s", output.To, output.Inquiry.Job, output.Inquiry.Host))
		case *inquirer.SendNotice:
			lines = append(lines, fmt.Sprintf("tell %s of %s tasks %v", output.To, output.Notice.Job, output.Notice.Tasks))
		case *inquirer.RequestPending:
			lines = append(lines, fmt.Sprintf("%s of %s waits", output.Request.Job, output.From))
		case *inquirer.RequestCleared:
			request := output.Request
			lines = append(lines, fmt.Sprintf("%s of %s cleared, elapsed %v, remaining %v", request.Job, output.From, request.Elapsed, request.Remaining))
		case *inquirer.RequestDenied:
			lines = append(lines, fmt.Sprintf("%s of %s denied", output.Request.Job, output.From))
		case *inquirer.Decided:
			lines = append(lines, fmt.Sprintf("log %s %s", output.Decision.Kind, output.Decision.Reason))
		}
	}
	if len(lines) == 0 {
		return "nothing"
	}
	return strings.Join(slices.Clip(lines), "\n")
}
