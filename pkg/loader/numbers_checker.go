package loader

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maximalWeight keeps the sums of weights far from overflow.
const maximalWeight = 1_000_000

// maximalCells is the most cells that one failure domain's slots may form.
const maximalCells = 64

func atLeast[T cmp.Ordered](checker *checker, path string, value, least T) {
	if value < least {
		checker.reporter.add(path, "%v is too small; it must be at least %v", value, least)
	}
}

func between[T cmp.Ordered](checker *checker, path string, value, least, most T) {
	if value < least || value > most {
		checker.reporter.add(path, "%v is out of range; it must be from %v to %v", value, least, most)
	}
}

// notBelow checks that the value at path isn't less than the one at otherPath.
func notBelow[T cmp.Ordered](checker *checker, path string, value T, otherPath string, other T, reason string) {
	if value < other {
		checker.reporter.add(path, "%v is less than %s (%v); %s", value, otherPath, other, reason)
	}
}

func (checker *checker) checkNumbers() {
	checker.checkCapacity()
	checker.checkLimits()
	checker.checkTimeouts()
	checker.checkDispatch()
}

func (checker *checker) checkLimits() {
	limits := &checker.settings.Limits
	atLeast(checker, "limits.request-body-bytes", limits.RequestBody, 1)
	between(checker, "limits.request-header-bytes", limits.RequestHeader, 4<<10, 1<<20)
	atLeast(checker, "limits.payload-bytes", limits.Payload, 1)
	between(checker, "limits.tasks-per-job", limits.TasksPerJob, 1, 100_000)
	atLeast(checker, "limits.queued-tasks", limits.QueuedTasks, 1)
	atLeast(checker, "limits.queued-bytes", limits.QueuedPayload, 1)
	atLeast(checker, "limits.jobs-in-memory", limits.JobsInMemory, 1)
	notBelow(checker, "limits.request-body-bytes", limits.RequestBody, "limits.payload-bytes", limits.Payload,
		"no payload of that size could arrive")
	notBelow(checker, "limits.queued-bytes", limits.QueuedPayload, "limits.payload-bytes", limits.Payload,
		"a task of that size could never wait")
	notBelow(checker, "limits.queued-bytes", limits.QueuedPayload, "limits.request-body-bytes", limits.RequestBody,
		"a job of that size could never wait")
	notBelow(checker, "limits.queued-tasks", limits.QueuedTasks, "limits.tasks-per-job", limits.TasksPerJob,
		"a job of that size could never wait")
}

func (checker *checker) checkTimeouts() {
	timeouts := &checker.settings.Timeouts
	between(checker, "timeouts.unknown-task-wait", timeouts.UnknownTaskWait, 0, Duration(time.Hour))
	between(checker, "timeouts.answer-retention", timeouts.AnswerRetention, Duration(time.Second), Duration(24*time.Hour))
	between(checker, "timeouts.claim-retention", timeouts.ClaimRetention, Duration(time.Minute), Duration(90*24*time.Hour))
	notBelow(checker, "timeouts.claim-retention", timeouts.ClaimRetention, "timeouts.answer-retention", timeouts.AnswerRetention,
		"a job whose answer is still remembered could run a second time")
	between(checker, "timeouts.heartbeat-interval", timeouts.HeartbeatInterval, Duration(50*time.Millisecond), Duration(10*time.Second))
	between(checker, "timeouts.heartbeat-missed", timeouts.HeartbeatMissed, 2, 100)
	between(checker, "timeouts.shutdown-deadline", timeouts.ShutdownDeadline, Duration(time.Second), Duration(time.Hour))
	between(checker, "timeouts.header-timeout", timeouts.HeaderTimeout, Duration(100*time.Millisecond), Duration(5*time.Minute))
	between(checker, "timeouts.body-timeout", timeouts.BodyTimeout, Duration(100*time.Millisecond), Duration(time.Hour))
	between(checker, "timeouts.idle-timeout", timeouts.IdleTimeout, Duration(100*time.Millisecond), Duration(time.Hour))
}

func (checker *checker) checkDispatch() {
	dispatch := &checker.settings.Dispatch
	checker.checkPolicy(dispatch.Policy)
	between(checker, "dispatch.cells", dispatch.Cells, 1, maximalCells)
	between(checker, "dispatch.retry-budget-ratio", dispatch.RetryBudgetRatio, 0, 1)
	between(checker, "dispatch.spill-margin", dispatch.SpillMargin, 0, Duration(time.Minute))
	// A fraction of 1 would let a bad release empty a failure domain.
	between(checker, "dispatch.ejection-fraction-max", dispatch.EjectionFractionMax, 0, 0.9)
	between(checker, "dispatch.ejection-failures", dispatch.EjectionFailures, 1, 1000)
	between(checker, "dispatch.ejection-time", dispatch.EjectionTime, Duration(100*time.Millisecond), Duration(time.Hour))
}

func (checker *checker) checkPolicy(policy PolicyName) {
	if slices.Contains(Policies(), policy) {
		return
	}
	names := make([]string, 0, len(Policies()))
	for _, known := range Policies() {
		names = append(names, fmt.Sprint(known))
	}
	checker.reporter.add("dispatch.policy", "%q is no policy; it must be %s%s", policy, oneOf(names), didYouMean(string(policy), names))
}
