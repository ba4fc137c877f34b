package forwarder_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// BenchmarkRecords reports the memory of an answered submission at its caller's host and of a
// second copy, each with an answer of four tasks of 100 bytes.
func BenchmarkRecords(b *testing.B) {
	answerOf := func(submission identifier.SubmissionID) *messenger.JobAnswer {
		answer := &messenger.JobAnswer{Submission: submission, Outcome: messenger.OutcomeComplete}
		for index := range 4 {
			answer.Answers = append(answer.Answers, messenger.TaskAnswer{
				Task: identifier.TaskID(fmt.Sprint(index)), Result: make([]byte, 100),
			})
		}
		return answer
	}
	b.Run("front", func(b *testing.B) {
		measureHeap(b, func(number int) []forwarder.Input {
			submission := identifier.SubmissionID(fmt.Sprintf("submission-%d", number))
			job := &messenger.Job{
				Submission: submission, Job: identifier.JobID(submission), Caller: "desk", Team: "team",
				MayRun: []identifier.FailureDomain{"leuven"},
			}
			for index := range 4 {
				job.Tasks = append(job.Tasks, messenger.Task{Task: identifier.TaskID(fmt.Sprint(index)), Payload: make([]byte, 1000)})
			}
			return []forwarder.Input{
				&forwarder.CallerSubmitted{Waiter: 1, Job: job, Deadline: identifier.Never},
				&forwarder.AnswerArrived{From: "lead", Answer: answerOf(submission)},
			}
		})
	})
	b.Run("copy", func(b *testing.B) {
		measureHeap(b, func(number int) []forwarder.Input {
			submission := identifier.SubmissionID(fmt.Sprintf("submission-%d", number))
			record := messenger.CopyRecord{Submission: submission, Job: identifier.JobID(submission), Caller: "desk"}
			return []forwarder.Input{
				&forwarder.CopiesRequested{From: "lead", Records: []messenger.CopyRecord{record}},
				&forwarder.AnswerCopyArrived{From: "lead", Copy: messenger.AnswerCopy{Answer: answerOf(submission)}},
			}
		})
	})
}

// measureHeap applies the inputs of b.N submissions and reports the heap that remains in use
// per submission.
func measureHeap(b *testing.B, inputsOf func(number int) []forwarder.Input) {
	tested := &forwarder.Forwarder{Self: "entry", FailureDomain: "leuven", Settings: forwarder.DefaultSettings()}
	tested.Tick(0, []forwarder.Input{&forwarder.LeadChanged{Notice: messenger.LeadNotice{FailureDomain: "leuven", Host: "lead", Epoch: 1}}})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for number := range b.N {
		tested.Tick(identifier.Moment(number), inputsOf(number))
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "heap-B/record")
	runtime.KeepAlive(tested)
}
