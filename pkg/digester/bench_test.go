package digester_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/stoathitch/stoathitch/pkg/digester"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

const (
	// benchmarkRate is the number of submissions a second of one failure domain.
	benchmarkRate = 430
	// benchmarkRetained is the number of digests that fill a digester.
	benchmarkRetained = 250_000
)

// BenchmarkWireSize reports the encoded size of batches of 1, 10 and 100 digests.
func BenchmarkWireSize(b *testing.B) {
	for _, count := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			batch := newBatch(0, count)
			size := 0
			for range b.N {
				size = len(encode(b, &batch))
			}
			b.ReportMetric(float64(size), "B/batch")
			b.ReportMetric(float64(size)/float64(count), "B/digest")
		})
	}
}

// BenchmarkMemory reports the heap that 250,000 digests take at a receiver, received over the
// retention in batches of 10 ms.
func BenchmarkMemory(b *testing.B) {
	var heap uint64
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		tested := newFilled(b, benchmarkRetained)
		runtime.GC()
		runtime.ReadMemStats(&after)
		heap += after.HeapAlloc - before.HeapAlloc
		runtime.KeepAlive(tested)
	}
	b.ReportMetric(float64(heap)/float64(b.N)/benchmarkRetained, "heap-B/digest")
}

// BenchmarkSending reports the processor time that a lead takes to record and send the digests of
// 430 submissions a second. One operation is one second.
func BenchmarkSending(b *testing.B) {
	for _, receivers := range []int{2, 9, 19} {
		for _, interval := range []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond} {
			b.Run(fmt.Sprintf("receivers=%d/interval=%v", receivers, interval), func(b *testing.B) {
				benchmarkSending(b, receivers, interval)
			})
		}
	}
}

func benchmarkSending(b *testing.B, receivers int, interval time.Duration) {
	tested := newDigester()
	tested.Settings.BatchInterval = interval
	var hosts []digester.Host
	for number := range receivers {
		hosts = append(hosts, digester.Host{
			ID: identifier.HostID(fmt.Sprintf("leuven-%02d", number+1)), FailureDomain: "leuven", Incarnation: 1,
		})
	}
	tested.Tick(0, []digester.Input{&digester.HostsChanged{Hosts: hosts}, &digester.LeadTaken{}})
	now, batches, bytes, number := identifier.Moment(0), 0, 0, 0
	tick := func(inputs []digester.Input) {
		for _, output := range tested.Tick(now, inputs) {
			if sent, isBatch := output.(*digester.SendBatch); isBatch {
				batches++
				bytes += len(encode(b, &sent.Batch))
			}
		}
	}
	cpuBefore := processorTime(b)
	b.ResetTimer()
	for range b.N * benchmarkRate {
		arrival := now.Add(time.Second / benchmarkRate)
		for tested.NextDeadline() < arrival {
			now = tested.NextDeadline()
			tick(nil)
		}
		now = arrival
		number++
		tick([]digester.Input{&digester.SubmissionRecorded{Submission: submission(number), Kind: messenger.DigestStarted}})
	}
	b.StopTimer()
	cpu := processorTime(b) - cpuBefore
	b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-µs/s")
	b.ReportMetric(float64(batches)/float64(b.N), "batches/s")
	b.ReportMetric(float64(bytes)/float64(b.N), "B/s")
}

// BenchmarkReceiving reports the processor time that a receiver takes for the digests of 430
// submissions a second. One operation is one second.
func BenchmarkReceiving(b *testing.B) {
	for _, interval := range []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond} {
		b.Run(fmt.Sprintf("interval=%v", interval), func(b *testing.B) {
			tested := newDigester()
			now, number := identifier.Moment(0), 0
			perSecond := int(time.Second / interval)
			var cpu time.Duration
			for range b.N {
				var batches [][]byte
				for index := range perSecond {
					count := benchmarkRate*(index+1)/perSecond - benchmarkRate*index/perSecond
					batch := newBatch(number, count)
					number += count
					batches = append(batches, encode(b, &batch))
				}
				cpuBefore := processorTime(b)
				for _, encoded := range batches {
					now = now.Add(interval)
					tested.Tick(now, []digester.Input{&digester.BatchArrived{Batch: decode(b, encoded)}})
				}
				cpu += processorTime(b) - cpuBefore
			}
			b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-µs/s")
		})
	}
}

// BenchmarkFullReply reports the processor time from a query to the storage of the reply, without
// the network: at the replier, at a lead that stores its first reply, and at one that gets the same
// digests from the next host.
func BenchmarkFullReply(b *testing.B) {
	for _, count := range []int{129_000, benchmarkRetained} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			replier := newFilled(b, count)
			now := timeOf(count)
			var replying, storing, storingAgain time.Duration
			size := 0
			b.ResetTimer()
			for range b.N {
				started := processorTime(b)
				query := messenger.DigestQuery{Home: "leuven"}
				outputs := replier.Tick(now, []digester.Input{&digester.QueryArrived{From: "leuven-1", Query: query}})
				reply, isReply := outputs[0].(*digester.SendReply)
				if !isReply {
					b.Fatalf("replied with %T", outputs[0])
				}
				encoded := encode(b, &reply.Batch)
				size = len(encoded)
				replied := processorTime(b)
				receiver := newDigester()
				receiver.Tick(now, []digester.Input{&digester.ReplyArrived{From: "leuven-2", Batch: decode(b, encoded)}})
				stored := processorTime(b)
				receiver.Tick(now, []digester.Input{&digester.ReplyArrived{From: "leuven-3", Batch: decode(b, encoded)}})
				replying += replied - started
				storing += stored - replied
				storingAgain += processorTime(b) - stored
			}
			reportMilliseconds(b, replying, "reply-cpu-ms")
			reportMilliseconds(b, storing, "store-cpu-ms")
			reportMilliseconds(b, storingAgain, "store-again-cpu-ms")
			b.ReportMetric(float64(size), "B/reply")
		})
	}
}

// BenchmarkCatchUp reports what a lead sends to a host that joins, with 129,000 digests, and for how
// long at its batch interval.
func BenchmarkCatchUp(b *testing.B) {
	const count = 129_000
	var cpu time.Duration
	batches, bytes := 0, 0
	for range b.N {
		lead := newFilled(b, count)
		now := timeOf(count)
		lead.Tick(now, []digester.Input{&digester.LeadTaken{}})
		joined := []digester.Host{{ID: "leuven-1", FailureDomain: "leuven", Incarnation: 1}}
		started := processorTime(b)
		outputs := lead.Tick(now, []digester.Input{&digester.HostsChanged{Hosts: joined}})
		for len(outputs) > 0 {
			for _, output := range outputs {
				if sent, isBatch := output.(*digester.SendBatch); isBatch {
					batches++
					bytes += len(encode(b, &sent.Batch))
				}
			}
			now = now.Add(lead.Settings.BatchInterval)
			outputs = lead.Tick(now, nil)
		}
		cpu += processorTime(b) - started
	}
	reportMilliseconds(b, cpu, "cpu-ms")
	b.ReportMetric(float64(batches)/float64(b.N), "batches")
	b.ReportMetric(float64(bytes)/float64(b.N), "B")
}

func reportMilliseconds(b *testing.B, total time.Duration, unit string) {
	b.ReportMetric(total.Seconds()*1000/float64(b.N), unit)
}

// timeOf returns the time in which a number of submissions arrive.
func timeOf(submissions int) identifier.Moment {
	return identifier.Moment(submissions) * identifier.Moment(time.Second) / benchmarkRate
}

func newDigester() *digester.Digester {
	return &digester.Digester{Self: "leuven-0", FailureDomain: "leuven", Settings: digester.DefaultSettings(), HasPeers: true}
}

// newFilled returns a digester that has received digests at benchmarkRate in batches of 10 ms.
func newFilled(b *testing.B, digests int) *digester.Digester {
	const interval = identifier.Moment(10 * time.Millisecond)
	batches := int(timeOf(digests) / interval)
	tested := newDigester()
	for index := range batches {
		first, end := digests*index/batches, digests*(index+1)/batches
		tested.Tick(identifier.Moment(index)*interval, []digester.Input{&digester.BatchArrived{Batch: newBatch(first, end-first)}})
	}
	if kind := tested.KindOf(submission(digests - 1)); kind != messenger.DigestStarted {
		b.Fatalf("the last of %d digests is %v", digests, kind)
	}
	return tested
}

func newBatch(first, count int) messenger.DigestBatch {
	group := messenger.DigestGroup{Kind: messenger.DigestStarted, Age: 10 * time.Millisecond}
	for number := range count {
		group.Digests = append(group.Digests, messenger.DigestOf(submission(first+number)))
	}
	return messenger.DigestBatch{Home: "leuven", Groups: []messenger.DigestGroup{group}}
}

func submission(number int) identifier.SubmissionID {
	return identifier.SubmissionID(fmt.Sprintf("submission-%d", number))
}

func encode(b *testing.B, batch *messenger.DigestBatch) []byte {
	encoded, err := cbor.Marshal(batch)
	if err != nil {
		b.Fatal(err)
	}
	return encoded
}

func decode(b *testing.B, encoded []byte) messenger.DigestBatch {
	var batch messenger.DigestBatch
	if err := cbor.Unmarshal(encoded, &batch); err != nil {
		b.Fatal(err)
	}
	return batch
}

// processorTime returns the user and system time that this process has used. A busy machine moves
// it less than elapsed time.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
