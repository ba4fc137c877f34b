package receiver

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// checkJob returns the first problem that it finds in a job, or nil.
func (receiver *Receiver) checkJob(body *jobBody) *problem {
	if problem := checkNames(body); problem != nil {
		return problem
	}
	if problem := receiver.checkFailureDomains(body); problem != nil {
		return problem
	}
	if len(body.Tasks) == 0 {
		return badRequest("no-tasks", "a job needs at least one task")
	}
	if most := receiver.limits.Load().TasksPerJob; len(body.Tasks) > most {
		return overLimit(http.StatusBadRequest, "too-many-tasks", fmt.Sprintf("a job has at most %d tasks, this one has %d", most, len(body.Tasks)))
	}
	return receiver.checkTasks(body.Tasks)
}

func checkNames(body *jobBody) *problem {
	names := []struct{ field, value string }{
		{"submission", string(body.Submission)},
		{"job", string(body.Job)},
		{"caller", string(body.Caller)},
		{"team", string(body.Team)},
		{"class", string(body.Class)},
	}
	for _, name := range names {
		if name.value == "" {
			return badRequest("missing-field", name.field+" must not be empty")
		}
		if len(name.value) > maxIDLength {
			return badRequest("field-too-long", fmt.Sprintf("%s is longer than %d bytes", name.field, maxIDLength))
		}
	}
	return nil
}

func (receiver *Receiver) checkFailureDomains(body *jobBody) *problem {
	known := receiver.sortedFailureDomains()
	if body.FailureDomain != "" && !slices.Contains(known, body.FailureDomain) {
		return badRequest("unknown-failure-domain", fmt.Sprintf("failure-domain is %q, which is none of %v",
			body.FailureDomain, known))
	}
	for index, failureDomain := range body.MayRun {
		if !slices.Contains(known, failureDomain) {
			return badRequest("unknown-failure-domain", fmt.Sprintf("may-run names %q, which is none of %v",
				failureDomain, known))
		}
		if slices.Contains(body.MayRun[:index], failureDomain) {
			return badRequest("duplicate-failure-domain", fmt.Sprintf("may-run names %q twice", failureDomain))
		}
	}
	return nil
}

func (receiver *Receiver) checkTasks(tasks []taskBody) *problem {
	seen := make(map[identifier.TaskID]bool, len(tasks))
	for _, task := range tasks {
		if problem := receiver.checkTask(&task); problem != nil {
			return problem
		}
		if seen[task.Task] {
			return badRequest("duplicate-task", fmt.Sprintf("task %q stands twice in the job", task.Task))
		}
		seen[task.Task] = true
	}
	return nil
}

func (receiver *Receiver) checkTask(task *taskBody) *problem {
	if task.Task == "" || len(task.Task) > maxIDLength {
		return badRequest("bad-task-id", fmt.Sprintf("a task id has 1 to %d bytes", maxIDLength))
	}
	if len(task.Payload) > int(receiver.limits.Load().Payload) {
		return overLimit(http.StatusBadRequest, "payload-too-large", fmt.Sprintf("the payload of task %q is over the limit", task.Task))
	}
	if task.DeclaredRunTime == "" {
		return nil
	}
	declared, err := time.ParseDuration(task.DeclaredRunTime)
	if err != nil || declared < 0 {
		return badRequest("bad-run-time", fmt.Sprintf("declared-run-time of task %q must be a duration such as \"120ms\"", task.Task))
	}
	return nil
}
