package gossiper

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScenarios runs testdata/scenarios. Each command is a step; the output is what the watched host
// reported and when, in milliseconds since the step began.
func TestScenarios(t *testing.T) {
	var net *network
	datadriven.RunTest(t, "testdata/scenarios", func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "network" {
			var hosts, domains int
			data.ScanArgs(t, "hosts", &hosts)
			data.ScanArgs(t, "domains", &domains)
			net = newNetwork(hosts, domains, 3)
			net.startAll(10 * time.Second)
			return fmt.Sprintf("converged: %t\n", net.converged() == nil)
		}
		var watch, at int
		duration := 10000
		data.ScanArgs(t, "watch", &watch)
		data.MaybeScanArgs(t, "at", &at)
		data.MaybeScanArgs(t, "milliseconds", &duration)
		var observed strings.Builder
		since := net.now
		net.observe = func(of *node, output Output) {
			if of == net.nodes[watch] {
				fmt.Fprintf(&observed, "%5d %s\n", (net.now - since).Milliseconds(), describe(output))
			}
		}
		scenarioStep(net, data.Cmd, net.nodes[at])
		net.run(time.Duration(duration) * time.Millisecond)
		fmt.Fprintf(&observed, "converged: %t\n", net.converged() == nil)
		return observed.String()
	})
}

func scenarioStep(net *network, step string, at *node) {
	switch step {
	case "kill":
		net.kill(at)
	case "kill-with-hints":
		net.kill(at)
		for _, peer := range net.nodes {
			if peer.up && peer.member.FailureDomain == at.member.FailureDomain {
				net.tick(peer, PeerConnectionClosed{Host: at.member.Host})
			}
		}
	case "wrong-hint":
		net.tick(net.nodes[0], PeerConnectionClosed{Host: at.member.Host})
	case "restart":
		net.restart(at, false)
	case "restart-same-incarnation":
		net.restart(at, true)
		net.kill(at)
		at.member.Incarnation -= 1000
		net.start(at)
	case "replace":
		net.restart(at, true)
	case "leave":
		net.tick(at, LeaveRequested{})
		net.kill(at)
	case "publish":
		net.tick(at, RecordPublished{Key: "lead", Value: []byte("cell 0 epoch 4")})
	case "withdraw":
		net.tick(at, RecordPublished{Key: "lead"})
	case "configure":
		net.tick(at, ClusterRecordPublished{Record: Record{Key: "config", Version: 7, Value: []byte("seven")}})
	case "configure-older":
		net.tick(at, ClusterRecordPublished{Record: Record{Key: "config", Version: 6, Value: []byte("six")}})
	case "cut-off":
		domain := at.member.FailureDomain
		net.cut = func(from, to *node) bool {
			return (from.member.FailureDomain == domain) != (to.member.FailureDomain == domain)
		}
	case "heal":
		net.cut = nil
	default:
		panic("unknown step " + step)
	}
}

func describe(output Output) string {
	switch output := output.(type) {
	case MemberChanged:
		old := "unknown"
		if output.Old != nil {
			old = output.Old.Status.String()
		}
		return fmt.Sprintf("%s: %s -> %s, incarnation +%d, peers at %s", output.New.Member.Host, old,
			output.New.Status, output.New.Member.Incarnation-1764000000000, output.New.Member.Addresses.Peers)
	case RecordChanged:
		return fmt.Sprintf("record %s %s version %d %q", output.Host, output.Record.Key, output.Record.Version, output.Record.Value)
	}
	return fmt.Sprintf("%T", output)
}
