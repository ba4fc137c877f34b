package gossiper

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

var long = flag.Bool("long", false, "measure 200 hosts and fuzz longer")

// TestMeasurements computes the table of docs/dev/MEMBERSHIP.md in virtual time with fixed seeds.
// -rewrite updates the figures, -long adds the larger networks.
func TestMeasurements(t *testing.T) {
	measureFile(t, "testdata/measurements")
	if *long {
		measureFile(t, "testdata/measurements-long")
	}
}

func measureFile(t *testing.T, path string) {
	datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
		var hosts, domains, late, minutes int
		rounds := 30
		var loss float64
		data.ScanArgs(t, "hosts", &hosts)
		data.ScanArgs(t, "domains", &domains)
		data.MaybeScanArgs(t, "late", &late)
		data.MaybeScanArgs(t, "rounds", &rounds)
		data.MaybeScanArgs(t, "minutes", &minutes)
		if data.HasArg("loss-percent") {
			data.ScanArgs(t, "loss-percent", &loss)
		}
		net := newNetwork(hosts, domains, 7)
		if data.Cmd == "start" {
			return measureStart(net)
		}
		net.startAll(30 * time.Second)
		if err := net.converged(); err != nil {
			return "not converged after the start: " + err.Error()
		}
		net.loss = loss / 100
		if late > 0 {
			net.nodes[1].lateness = time.Duration(late) * time.Millisecond
		}
		switch data.Cmd {
		case "detection":
			return measureDetection(net, domains, rounds)
		case "spread":
			return measureSpread(net, rounds)
		case "cost":
			return measureCost(net, minutes)
		case "false-alarms":
			return measureFalseAlarms(net, time.Duration(minutes)*time.Minute)
		case "domain-loss":
			return measureDomainLoss(net, domains)
		}
		return "unknown command"
	})
}

// measureStart starts all hosts within a second and measures the time until all know all.
func measureStart(net *network) string {
	net.startAll(0)
	for net.converged() != nil && net.now < 5*time.Minute {
		net.run(100 * time.Millisecond)
	}
	return fmt.Sprintf("all know all after %s: %t\n", net.now, net.converged() == nil)
}

// measureDetection kills single hosts and measures the time until each peer of the failure domain,
// and each host elsewhere, has declared them dead.
func measureDetection(net *network, domains, rounds int) string {
	var local, remote, hinted samples
	for round := range rounds {
		victim := net.nodes[(round*7)%len(net.nodes)]
		net.run(time.Duration(net.random.Int64N(int64(time.Second))))
		net.watchDeath(victim, &local, &remote)
		net.kill(victim)
		net.run(15 * time.Second)
		net.restart(victim, false)
		net.run(10 * time.Second)
		net.watchDeath(victim, &hinted, &samples{})
		net.kill(victim)
		for _, peer := range net.nodes {
			if peer.up && peer.index%domains == victim.index%domains {
				net.tick(peer, PeerConnectionClosed{Host: victim.member.Host})
			}
		}
		net.run(10 * time.Second)
		net.restart(victim, false)
		net.run(10 * time.Second)
	}
	net.observe = nil
	return fmt.Sprintf("own domain:   %s\nelsewhere:    %s\nwith a hint:  %s\n", local, remote, hinted)
}

func (net *network) watchDeath(victim *node, local, remote *samples) {
	since := net.now
	net.observe = func(of *node, output Output) {
		changed, isChange := output.(MemberChanged)
		if !isChange || changed.New.Member.Host != victim.member.Host || changed.New.Status != StatusDead {
			return
		}
		if of.member.FailureDomain == victim.member.FailureDomain {
			*local = append(*local, net.now-since)
			return
		}
		*remote = append(*remote, net.now-since)
	}
}

func measureDomainLoss(net *network, domains int) string {
	var seen samples
	lost := func(current *node) bool { return current.index%domains == 1 }
	since := net.now
	net.observe = func(of *node, output Output) {
		changed, isChange := output.(MemberChanged)
		if isChange && changed.New.Status == StatusDead && !lost(of) {
			seen = append(seen, net.now-since)
		}
	}
	for _, current := range net.nodes {
		if lost(current) {
			net.kill(current)
		}
	}
	net.run(30 * time.Second)
	return fmt.Sprintf("each host's loss at each host: %s\n", seen)
}

// measureSpread publishes records one after the other and measures the time until each other host
// has them.
func measureSpread(net *network, rounds int) string {
	var local, remote, cluster samples
	missed := 0
	for round := range rounds {
		source := net.nodes[(round*13)%len(net.nodes)]
		since := net.now
		received := 0
		net.observe = func(of *node, output Output) {
			changed, isChange := output.(RecordChanged)
			if !isChange || of == source {
				return
			}
			received++
			switch {
			case changed.Host == "":
				cluster = append(cluster, net.now-since)
			case of.member.FailureDomain == source.member.FailureDomain:
				local = append(local, net.now-since)
			default:
				remote = append(remote, net.now-since)
			}
		}
		net.tick(source, RecordPublished{Key: "load", Value: []byte(fmt.Sprintf("%032d", round))})
		net.tick(source, ClusterRecordPublished{Record: configurationRecord(uint64(round + 1))})
		net.run(20 * time.Second)
		missed += 2*(len(net.nodes)-1) - received
	}
	return fmt.Sprintf("record, own domain:  %s\nrecord, elsewhere:   %s\ncluster-wide record: %s\nnot heard in 20 s:   %d\n",
		local, remote, cluster, missed)
}

func configurationRecord(version uint64) Record {
	return Record{Key: "config", Version: version, Value: []byte("0123456789abcdef0123456789abcdef")}
}

// measureCost counts the bytes of the messages sent, first without changes, then with the load of an
// ordinary day at full size: 60 failures and 1,700 restarts, 4,400 configurations that each host
// confirms with a record of its own, and a load record of each failure domain every three seconds.
func measureCost(net *network, minutes int) string {
	quiet := net.measureBytes(time.Minute)
	events := make([]time.Duration, 3)
	var version uint64
	lastConfirmed := make([]uint64, len(net.nodes))
	busy := net.measureBytesWith(time.Duration(minutes)*time.Minute, func(second int) {
		at := time.Duration(second) * time.Second
		scale := time.Duration(len(net.nodes))
		if at-events[0] >= 24*time.Hour/1760*200/scale {
			events[0] = at
			net.restart(net.nodes[net.random.IntN(len(net.nodes))], second%2 == 0)
		}
		if at-events[1] >= 24*time.Hour/4400 {
			events[1] = at
			version++
			net.tick(net.nodes[net.random.IntN(len(net.nodes))], ClusterRecordPublished{Record: configurationRecord(version)})
		}
		for _, current := range net.nodes {
			seen, _ := current.gossiper.ClusterRecord("config")
			if seen.Version != lastConfirmed[current.index] {
				lastConfirmed[current.index] = seen.Version
				net.tick(current, RecordPublished{Key: "config-version", Value: []byte(fmt.Sprint(seen.Version))})
			}
			isLead := strings.HasSuffix(string(current.member.Host), "-00")
			if isLead && (second+current.index)%3 == 0 {
				net.tick(current, RecordPublished{Key: "load", Value: []byte(fmt.Sprintf("%032d", second))})
			}
		}
	})
	return fmt.Sprintf("at rest:     %s\nbusy day:    %s\n", quiet, busy)
}

func (net *network) measureBytes(duration time.Duration) string {
	return net.measureBytesWith(duration, func(int) {})
}

func (net *network) measureBytesWith(duration time.Duration, everySecond func(int)) string {
	for _, current := range net.nodes {
		current.bytes, current.sent, current.sentByKind = 0, 0, [MessageSyncReply + 1]int{}
	}
	for second := range int(duration / time.Second) {
		everySecond(second)
		net.run(time.Second)
	}
	total, most, sent := 0, 0, 0
	var kinds [MessageSyncReply + 1]int
	for _, current := range net.nodes {
		total += current.bytes
		sent += current.sent
		most = max(most, current.bytes)
		for kind, count := range current.sentByKind {
			kinds[kind] += count
		}
	}
	hostSeconds := len(net.nodes) * int(duration/time.Second)
	line := fmt.Sprintf("%d B/s sent a host, busiest %d B/s, %.1f messages/s;", total/hostSeconds,
		most/int(duration/time.Second), float64(sent)/float64(hostSeconds))
	for kind, count := range kinds {
		line += fmt.Sprintf(" %s %d", MessageKind(kind), count/hostSeconds)
	}
	return line
}

// measureFalseAlarms counts living hosts that are suspected or declared dead.
func measureFalseAlarms(net *network, duration time.Duration) string {
	suspicions, deaths := 0, 0
	dead := make(map[identifier.HostID]bool)
	net.observe = func(_ *node, output Output) {
		changed, isChange := output.(MemberChanged)
		if !isChange {
			return
		}
		switch changed.New.Status {
		case StatusSuspect:
			suspicions++
		case StatusDead:
			deaths++
			dead[changed.New.Member.Host] = true
		}
	}
	net.run(duration)
	net.observe = nil
	net.loss = 0
	net.run(20 * time.Second)
	return fmt.Sprintf("in %s: %d views of a suspicion, %d views of a death, of %d hosts; converged: %t\n",
		duration, suspicions, deaths, len(dead), net.converged() == nil)
}

type samples []time.Duration

// String returns the percentiles in milliseconds.
func (times samples) String() string {
	if len(times) == 0 {
		return "none"
	}
	slices.Sort(times)
	at := func(fraction float64) int64 {
		return times[min(int(fraction*float64(len(times))), len(times)-1)].Milliseconds()
	}
	return fmt.Sprintf("p50 %d ms, p99 %d ms, max %d ms, of %d", at(0.5), at(0.99), at(1), len(times))
}

// BenchmarkHostSecond measures the processor time and memory of one host for one second at rest by
// running whole networks, codec and virtual network included. Memory is the live heap of the whole
// network divided by its hosts.
func BenchmarkHostSecond(b *testing.B) {
	for _, size := range []struct{ hosts, domains int }{{9, 3}, {50, 7}, {200, 21}} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			net := newNetwork(size.hosts, size.domains, 7)
			net.startAll(30 * time.Second)
			for b.Loop() {
				net.run(time.Second)
			}
			runtime.GC()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			b.ReportMetric(float64(memory.HeapAlloc)/float64(size.hosts), "heap-B/host")
			runtime.KeepAlive(net)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size.hosts), "ns/host-second")
		})
	}
}
