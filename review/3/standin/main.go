// Command standin plays a small deployment in which clients cancel jobs that are at work, and records
// which tasks run on after the cancellation was acknowledged.
//
// It starts the daemon of the deploy file as separate processes on loopback addresses. The executors,
// the operator and the clients are stand-ins in this process.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes of the command, as run.sh passes them on.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// The bounds of the deployment that the check needs. They are in the settings of every process too.
const (
	cancelBound = 3 * time.Second
	stopTimeout = 50 * time.Millisecond
	maxHold     = time.Second
)

// What the clients do. A job is at work well before it is cancelled, and its tasks would end well after
// the bound on cancelled work.
const (
	jobCount    = 6
	tasksEach   = 2
	taskCPU     = 4000
	workTime    = 5 * time.Second
	deadline    = 9 * time.Second
	cancelDelay = 500 * time.Millisecond
	// stableTime lets the core be stable and all machines be in touch before the jobs arrive.
	stableTime = 5 * time.Second
)

var errNotRun = errors.New("the case could not run")

func main() {
	daemon := flag.String("daemon", "", "the daemon to start, as the deploy file names it")
	recordPath := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cancel the jobs while they are at work")
	flag.Parse()
	// The kernel kills the processes when the thread that started them ends; the main thread never does.
	runtime.LockOSThread()
	events, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	violations, err := play(*daemon, *trouble, events)
	switch {
	case err != nil:
		events.add("not run: %v", err)
		os.Exit(exitNotRun)
	case violations > 0:
		events.add("UNASKED broken by %d tasks", violations)
		os.Exit(exitBroken)
	default:
		events.add("held")
		os.Exit(exitHeld)
	}
}

// play runs the deployment once and returns the number of tasks that ran on for too long.
func play(daemon string, trouble bool, events *record) (int, error) {
	folder, err := os.MkdirTemp("", "stoathitch-review-")
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errNotRun, err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	deployed, err := newDeployment(daemon, folder)
	if err != nil {
		return 0, err
	}
	defer deployed.stop()
	if err := deployed.start(); err != nil {
		return 0, err
	}
	executors, err := startExecutors(deployed, events)
	if err != nil {
		return 0, err
	}
	defer func() {
		for _, executor := range executors {
			executor.stop()
		}
	}()
	if err := deployed.configure(events); err != nil {
		return 0, err
	}
	if err := deployed.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(stableTime)
	jobs := submitJobs(deployed.fronts(), trouble, events)
	return judge(jobs, executors, trouble, events)
}

// judge counts the tasks of cancelled jobs that ran past the bound. Without cancellations every job has
// to be completed.
func judge(jobs []*job, executors []*executor, trouble bool, events *record) (int, error) {
	violations := 0
	for _, job := range jobs {
		if !trouble {
			if job.postStatus != 200 || job.state != "completed" {
				return 0, fmt.Errorf("%w: job %s ended with %d %q", errNotRun, job.id, job.postStatus, job.state)
			}
			continue
		}
		if job.acknowledgedAt.IsZero() {
			return 0, fmt.Errorf("%w: the cancellation of job %s got %d", errNotRun, job.id, job.deleteStatus)
		}
		limit := job.acknowledgedAt.Add(cancelBound)
		for _, executor := range executors {
			for _, ran := range executor.runsOf(job.id) {
				if ran.startedAt.After(limit) || ran.endedAt.After(limit.Add(stopTimeout)) {
					violations++
					events.add("task %s run %d on %s ran until %d ms after the acknowledgement of its cancellation (%d)",
						ran.task, ran.run, executor.id, ran.endedAt.Sub(job.acknowledgedAt).Milliseconds(), job.deleteStatus)
				}
			}
		}
	}
	return violations, nil
}
