package sizer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
)

// framingBytes is what gRPC and HTTP/2 put around one message.
const framingBytes = 5 + 9

// heapGrowth returns how many bytes of heap build leaves in use.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkClaimBytes measures the heap of one claim kept whole.
func BenchmarkClaimBytes(b *testing.B) {
	for _, count := range []int{10_000, 100_000, 400_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				grown := heapGrowth(func() any { return claimed(count) })
				b.ReportMetric(grown/float64(count), "bytes/claim")
			}
		})
	}
}

func claimed(count int) *claimer.Register {
	register := &claimer.Register{FingerprintBound: count}
	for number := range count {
		claim := claimer.Claim{
			Caller:     identifier.CallerID(fmt.Sprintf("garage-%d", number%100)),
			Job:        identifier.JobID(fmt.Sprintf("job-%d", number)),
			Submission: identifier.SubmissionID(fmt.Sprintf("submission-%d", number)),
		}
		register.Apply(identifier.LogIndex(number+1), &claimer.Command{Claims: []claimer.Claim{claim}})
	}
	return register
}

// BenchmarkHeartbeatBytes measures the size of a backend server's heartbeat.
func BenchmarkHeartbeatBytes(b *testing.B) {
	message := &backendv1.ServerMessage{Heartbeat: &backendv1.Heartbeat{Sequence: 1 << 20, Busy: 8}}
	for b.Loop() {
		b.ReportMetric(float64(proto.Size(message)+framingBytes), "bytes/heartbeat")
	}
}

// BenchmarkTeamBytes measures the heap of one team with one waiting job at the
// lead of a cell.
func BenchmarkTeamBytes(b *testing.B) {
	for _, count := range []int{100, 740, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				grown := heapGrowth(func() any { return waitingTeams(count) })
				b.ReportMetric(grown/float64(count), "bytes/team")
			}
		})
	}
}

func waitingTeams(count int) *dispatcher.Dispatcher {
	lead := &dispatcher.Dispatcher{Self: "a-entry-0", FailureDomain: "a", Settings: dispatcher.DefaultSettings()}
	lead.Settings.Limits.NoServerWait = time.Hour
	lead.Tick(0, []dispatcher.Input{&dispatcher.LeadTaken{Epoch: 1}})
	for number := range count {
		job := &messenger.Job{
			Submission: identifier.SubmissionID(fmt.Sprintf("submission-%d", number)), Job: "job", Caller: "garage-7",
			Team: identifier.TeamID(fmt.Sprintf("team-%d", number)), Class: "counter", Repeatable: true,
			MayRun: []identifier.FailureDomain{"a"},
			Tasks:  []messenger.Task{{Task: "t-0", DeclaredRunTime: time.Second}},
		}
		lead.Tick(identifier.Moment(number), []dispatcher.Input{
			&dispatcher.JobForwarded{From: "a-entry-0", Job: job, Deadline: identifier.Never},
		})
	}
	return lead
}
