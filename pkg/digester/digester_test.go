package digester_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/digester"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestScenarios runs the scenarios in testdata, of a host leuven-0. Each command is one tick at the
// time of its argument at; its outputs are printed one per line. Submissions are named s-1 to s-9.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		settings := digester.DefaultSettings()
		settings.Retention = 8 * time.Second
		settings.MaxDigests = 4
		tested := &digester.Digester{Self: "leuven-0", FailureDomain: "leuven", Settings: settings, HasPeers: true}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			at, err := time.ParseDuration(scan(t, data, "at"))
			if err != nil {
				t.Fatal(err)
			}
			lines := describe(tested.Tick(identifier.Moment(at), inputsOf(t, data)))
			if data.Cmd == "look-up" {
				submission := identifier.SubmissionID(scan(t, data, "submission"))
				lines = append(lines, fmt.Sprintf("%s: %s, last host %v", submission, tested.KindOf(submission), tested.IsLastHost()))
			}
			if len(lines) == 0 {
				return "nothing"
			}
			return strings.Join(lines, "\n")
		})
	})
}

func inputsOf(t *testing.T, data *datadriven.TestData) []digester.Input {
	host := identifier.HostID(scan(t, data, "host"))
	switch data.Cmd {
	case "hosts":
		return []digester.Input{&digester.HostsChanged{Hosts: hostsOf(t, data.Input)}}
	case "take":
		return []digester.Input{&digester.LeadTaken{}}
	case "lose":
		return []digester.Input{&digester.LeadLost{}}
	case "record":
		submission := identifier.SubmissionID(scan(t, data, "submission"))
		return []digester.Input{&digester.SubmissionRecorded{Submission: submission, Kind: kindOf(t, data)}}
	case "batch":
		return []digester.Input{&digester.BatchArrived{Batch: batchOf(t, data)}}
	case "query":
		home := identifier.FailureDomain(scan(t, data, "home"))
		return []digester.Input{&digester.QueryArrived{From: host, Query: messenger.DigestQuery{Home: home}}}
	case "reply":
		return []digester.Input{&digester.ReplyArrived{From: host, Batch: batchOf(t, data)}}
	case "request":
		return []digester.Input{&digester.DigestsRequested{}}
	case "reconnect":
		return []digester.Input{&digester.Reconnected{Host: host}}
	case "wait", "look-up":
		return nil
	}
	t.Fatalf("unknown command %s", data.Cmd)
	return nil
}

// hostsOf parses hosts, one per line: its id, which begins with its failure domain, and its
// incarnation.
func hostsOf(t *testing.T, input string) []digester.Host {
	var hosts []digester.Host
	for _, line := range strings.Split(input, "\n") {
		id, incarnation, found := strings.Cut(line, " ")
		number, err := strconv.ParseUint(incarnation, 10, 64)
		if !found || err != nil {
			t.Fatalf("not a host: %q", line)
		}
		domain, _, _ := strings.Cut(id, "-")
		hosts = append(hosts, digester.Host{
			ID: identifier.HostID(id), FailureDomain: identifier.FailureDomain(domain), Incarnation: identifier.Incarnation(number),
		})
	}
	return hosts
}

func batchOf(t *testing.T, data *datadriven.TestData) messenger.DigestBatch {
	batch := messenger.DigestBatch{Home: identifier.FailureDomain(scan(t, data, "home"))}
	age := time.Duration(0)
	if text := scan(t, data, "age"); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		age = parsed
	}
	group := messenger.DigestGroup{Kind: kindOf(t, data), Age: age}
	for _, submission := range strings.Fields(data.Input) {
		group.Digests = append(group.Digests, messenger.DigestOf(identifier.SubmissionID(submission)))
	}
	batch.Groups = append(batch.Groups, group)
	return batch
}

func kindOf(t *testing.T, data *datadriven.TestData) messenger.DigestKind {
	if data.HasArg("ended") {
		return messenger.DigestEnded
	}
	return messenger.DigestStarted
}

func scan(t *testing.T, data *datadriven.TestData, key string) string {
	value := ""
	data.MaybeScanArgs(t, key, &value)
	return value
}

func describe(outputs []digester.Output) []string {
	var lines []string
	for _, output := range outputs {
		switch output := output.(type) {
		case *digester.SendBatch:
			lines = append(lines, fmt.Sprintf("send to %s: %s", output.To, describeBatch(output.Batch)))
		case *digester.SendQuery:
			lines = append(lines, fmt.Sprintf("query %s for %s", output.To, output.Query.Home))
		case *digester.SendReply:
			lines = append(lines, fmt.Sprintf("reply to %s: %s", output.To, describeBatch(output.Batch)))
		case *digester.Collected:
			lines = append(lines, "collected")
		case *digester.CapacityReached:
			lines = append(lines, fmt.Sprintf("%s has %d digests, further ones are dropped", output.Home, output.Digests))
		}
	}
	return lines
}

func describeBatch(batch messenger.DigestBatch) string {
	parts := []string{string(batch.Home)}
	for _, group := range batch.Groups {
		for _, digest := range group.Digests {
			parts = append(parts, nameOf(digest))
		}
		parts = append(parts, fmt.Sprintf("%s %v ago", group.Kind, group.Age))
	}
	return strings.Join(parts, " ")
}

func nameOf(digest messenger.SubmissionDigest) string {
	for number := 1; number <= 9; number++ {
		submission := identifier.SubmissionID("s-" + strconv.Itoa(number))
		if messenger.DigestOf(submission) == digest {
			return string(submission)
		}
	}
	return "unknown"
}
