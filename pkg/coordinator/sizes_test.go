package coordinator_test

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/fxamacker/cbor/v2"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// traffic is what each host has sent to other hosts, by kind of message.
type traffic struct {
	sent map[identifier.HostID]map[string]int
}

// count adds the encoded size of a batch to its sender's kinds of messages.
func (traffic *traffic) count(host *fakeHost, output *coordinator.ToPeer) {
	if traffic == nil {
		return
	}
	kinds := traffic.sent[host.id]
	if kinds == nil {
		kinds = make(map[string]int)
		traffic.sent[host.id] = kinds
	}
	for index := range output.Batch.Messages {
		message := &output.Batch.Messages[index]
		encoded, err := cbor.Marshal(message)
		if err != nil {
			panic(err)
		}
		kinds[kindOf(message)] += len(encoded)
	}
}

// kindOf returns the name of the field that a message has set.
func kindOf(message *coordinator.PeerMessage) string {
	value := reflect.ValueOf(*message)
	for index := range value.NumField() {
		if !value.Field(index).IsZero() {
			return value.Type().Field(index).Name
		}
	}
	return "none"
}

// totalOf returns the bytes that a host has sent.
func (traffic *traffic) totalOf(host *fakeHost) int {
	total := 0
	for _, bytes := range traffic.sent[host.id] {
		total += bytes
	}
	return total
}

// largestKinds lists the kinds of messages of which a host has sent the most bytes.
func (traffic *traffic) largestKinds(host *fakeHost, count int) string {
	kinds := traffic.sent[host.id]
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.SortFunc(names, func(first, second string) int {
		return cmp.Or(cmp.Compare(kinds[second], kinds[first]), strings.Compare(first, second))
	})
	var texts []string
	for _, name := range names[:min(len(names), count)] {
		texts = append(texts, fmt.Sprintf("%s %.1f KB", name, kilobytes(kinds[name])))
	}
	return strings.Join(texts, ", ")
}

func kilobytes(bytes int) float64 { return float64(bytes) / 1000 }

// deploymentSize is the size of a simulated deployment of five failure domains.
type deploymentSize struct {
	entryHosts, keepers, servers int
}

// deploymentOf returns a deployment of a number of hosts, of which a tenth are keepers, with ten
// backend servers for each entry host.
func deploymentOf(hosts int) deploymentSize {
	keepers := max(hosts/10, 5)
	return deploymentSize{entryHosts: hosts - keepers, keepers: keepers, servers: 10 * (hosts - keepers)}
}

var fiveDomains = []identifier.FailureDomain{"leuven", "roeselare", "geel", "brugge", "aalst"}

// cellsPerDomain divides each failure domain as on machines that are too small for all of it.
const cellsPerDomain = 2

// newDeployment starts all hosts at once. Each host knows three keepers by its settings, and
// connections open when something is sent.
func newDeployment(size deploymentSize) *network {
	created := &network{
		leads: make(map[identifier.FailureDomain]*fakeHost), connections: make(map[string]*connection), oracle: newOracle(),
		operators: make(map[uint64]*coordinator.OperatorAnswer), settings: coordinator.DefaultSettings(), onDemand: true,
		traffic: &traffic{sent: make(map[identifier.HostID]map[string]int)},
	}
	created.settings.Dispatcher.Cells = cellsPerDomain
	created.settings.Voters = 5
	for index := range size.keepers + size.entryHosts {
		domain := fiveDomains[index%len(fiveDomains)]
		host := &fakeHost{id: identifier.HostID(fmt.Sprintf("%s-host-%d", domain, index)), domain: domain}
		host.keeperOnly = index < size.keepers
		host.keeper = host.keeperOnly
		created.hosts = append(created.hosts, host)
	}
	created.seeds = created.hosts[:3]
	world := newCalledWorld(created, nil, 0)
	world.chooseHost = func(report *messenger.ServerReport) *fakeHost {
		return created.leadOfCell(report.FailureDomain, messenger.CellOfServer(report.Server.Server(), cellsPerDomain))
	}
	for _, host := range created.hosts {
		created.startHost(host)
	}
	created.advance(2 * time.Second)
	for index := range size.servers {
		world.startServer(index, 1)
	}
	created.advance(5 * time.Second)
	return created
}

// leadOfCell returns the host that leads a cell, or any running entry host of its failure domain.
func (network *network) leadOfCell(domain identifier.FailureDomain, cell messenger.CellNumber) *fakeHost {
	var fallback *fakeHost
	for _, host := range network.hosts {
		if host.coordinator == nil || host.keeperOnly || host.domain != domain {
			continue
		}
		fallback = host
		if host.leads[cell] {
			return host
		}
	}
	return fallback
}

// measure returns the traffic of a stretch of virtual time.
func (network *network) measure(duration time.Duration) *traffic {
	network.traffic = &traffic{sent: make(map[identifier.HostID]map[string]int)}
	network.advance(duration)
	return network.traffic
}

// busiest returns the host of a role that has sent the most.
func (network *network) busiest(measured *traffic, keepers bool) *fakeHost {
	var busiest *fakeHost
	for _, host := range network.hosts {
		if host.keeperOnly == keepers && (busiest == nil || measured.totalOf(host) > measured.totalOf(busiest)) {
			busiest = host
		}
	}
	return busiest
}

// describe prints what the busiest host of each role has sent.
func (network *network) describe(measured *traffic) string {
	var text strings.Builder
	for _, role := range []struct {
		name    string
		keepers bool
	}{{"entry host", false}, {"keeper", true}} {
		host := network.busiest(measured, role.keepers)
		fmt.Fprintf(&text, "%s: %.1f KB (%s)\n", role.name, kilobytes(measured.totalOf(host)), measured.largestKinds(host, 4))
	}
	return text.String()
}

// TestTrafficBySize pins what the busiest host of each role sends while a deployment of a number of
// hosts is calm, while some backend servers leave, and after a lead was lost. It guards against
// traffic that grows faster than the failure domain.
func TestTrafficBySize(t *testing.T) {
	files := []string{"testdata/traffic-by-size"}
	if *long {
		files = append(files, "testdata/traffic-by-size-long")
	}
	for _, file := range files {
		datadriven.RunTest(t, file, func(t *testing.T, data *datadriven.TestData) string {
			hosts := 0
			data.ScanArgs(t, "hosts", &hosts)
			return trafficOf(deploymentOf(hosts))
		})
	}
}

func trafficOf(size deploymentSize) string {
	network := newDeployment(size)
	var text strings.Builder
	fmt.Fprintf(&text, "start\n%s", network.describe(network.traffic))
	fmt.Fprintf(&text, "calm for 5s\n%s", network.describe(network.measure(5*time.Second)))
	network.submitJobs(3, 2*time.Second)
	fmt.Fprintf(&text, "3 jobs/s of 4 tasks at each entry host, 2s\n%s", network.describe(network.measure(2*time.Second)))
	network.leaveServers(size.servers / 50)
	fmt.Fprintf(&text, "2%% of the backend servers leave, 2s\n%s", network.describe(network.measure(2*time.Second)))
	network.crashHost(network.leadOfCell(fiveDomains[0], 0))
	fmt.Fprintf(&text, "a lead is lost, 5s\n%s", network.describe(network.measure(5*time.Second)))
	network.restartMany(len(network.hosts) / 3)
	fmt.Fprintf(&text, "a third of the hosts is killed and returns, 3s\n%s", network.describe(network.measure(3*time.Second)))
	return text.String()
}

// submitJobs has each entry host get a number of jobs each second for a while, the hosts in turn.
func (network *network) submitJobs(perSecond int, duration time.Duration) {
	interval := time.Second / time.Duration(perSecond)
	for index, host := range network.hosts {
		if host.keeperOnly {
			continue
		}
		offset := interval * time.Duration(index) / time.Duration(len(network.hosts))
		for at := offset; at < duration; at += interval {
			id := identifier.JobID(fmt.Sprintf("job-%d-%v-%v", index, network.now, at))
			network.at(at, func() { network.called.submit(host, id, 4) })
		}
	}
}

// restartMany kills a number of entry hosts at once and starts them again a second later.
func (network *network) restartMany(count int) {
	var killed []*fakeHost
	for _, host := range network.hosts {
		if len(killed) < count && host.coordinator != nil && !host.keeperOnly && !host.leads[0] && !host.leads[1] {
			killed = append(killed, host)
			network.crashHost(host)
		}
	}
	network.advance(time.Second)
	for _, host := range killed {
		network.startHost(host)
	}
}

// leaveServers has a number of backend servers announce their end, one every 10 ms.
func (network *network) leaveServers(count int) {
	for index := range count {
		server := network.called.servers[network.called.incarnationOf(index, 1)]
		network.at(time.Duration(index)*10*time.Millisecond, func() {
			server.report.Gone = true
			server.announce()
			server.crash()
		})
	}
}
