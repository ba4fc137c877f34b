package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// BenchmarkDriver runs a tenth of a second of a full failure domain per iteration: each
// worker runs 30 tasks and sends a heartbeat with their usage every one or three seconds,
// while the intents of 740 teams wait.
func BenchmarkDriver(b *testing.B) {
	for _, size := range []struct{ workers, ticks int }{{50, 10}, {250, 10}, {1000, 10}, {250, 30}} {
		workers := size.workers
		b.Run(fmt.Sprint("workers=", workers, "/beat=", size.ticks/10, "s"), func(b *testing.B) {
			const teams = 740
			now := identifier.Moment(1)
			driver := NewDriver(placer.DefaultScoredSample(), testDomain, 1, testLease, 0)
			var inputs []Input
			for number := range workers {
				inputs = append(inputs, WorkerAnnounced{Reading: 1, Worker: placer.Worker{
					ID: identifier.WorkerID(fmt.Sprint("w", number)), Rack: identifier.RackID(fmt.Sprint("r", number/8)),
					Capacity: identifier.Resources{MilliCPU: 32_000, Memory: 64 << 30},
				}})
			}
			for number := range teams {
				batch := Batch{
					Kind: "k", Count: 1000, Repeatable: true, RunTime: time.Hour,
					Need: identifier.Resources{MilliCPU: 1000, Memory: 1 << 30},
				}
				inputs = append(inputs, IntentAssigned{
					Name:       identifier.IntentName(fmt.Sprint("i", number)),
					Spec:       Spec{Team: identifier.TeamID(fmt.Sprint("t", number)), Urgency: placer.UrgencyNormal, Batches: []Batch{batch}},
					Allotments: []Allotment{{FailureDomain: testDomain, To: 1000}},
					Claims:     []ClaimMark{{FailureDomain: testDomain, To: 1000}},
				})
			}
			running := make(map[identifier.WorkerID][]RunningTask)
			recordStarts := func(outputs []Output) {
				for _, output := range outputs {
					if start, is := output.(StartTask); is {
						running[start.Worker] = append(running[start.Worker], RunningTask{Task: start.Grant.Task, Number: start.Grant.Number})
					}
				}
			}
			for range 40 {
				recordStarts(driver.Tick(now, inputs))
				inputs = nil
			}
			tick := 0
			b.ResetTimer()
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				tick++
				inputs = inputs[:0]
				for number := tick % size.ticks; number < workers; number += size.ticks {
					id := identifier.WorkerID(fmt.Sprint("w", number))
					beat := WorkerHeartbeat{Worker: id, Reading: leaser.HolderMoment(now), Running: running[id]}
					for _, task := range running[id] {
						beat.Reports = append(beat.Reports, guarder.Report{Task: task.Task, Used: identifier.Resources{MilliCPU: 950, Memory: 1 << 30}, Age: time.Second})
					}
					inputs = append(inputs, beat)
				}
				recordStarts(driver.Tick(now, inputs))
				driver.NextDeadline()
			}
		})
	}
}

// BenchmarkApply encodes, decodes and applies a creation, and applies a rejection.
func BenchmarkApply(b *testing.B) {
	machine := &Machine{}
	index := identifier.LogIndex(0)
	spec := &Spec{Team: "t", Batches: []Batch{{Kind: "k", Count: 100, RunTime: time.Second, Need: identifier.Resources{MilliCPU: 1000}}}}
	for b.Loop() {
		index++
		encoded, _ := EncodeCommand(Command{
			Kind: CommandCreate, Name: identifier.IntentName(fmt.Sprint("i", index)),
			Request: identifier.RequestID(fmt.Sprint("q", index)), Spec: spec, Operator: "an",
		})
		command, _ := DecodeCommand(encoded)
		machine.Apply(index, command)
		machine.Apply(index, Command{Kind: CommandReject, Name: command.Name, Revision: 1, Operator: "an"})
	}
}
