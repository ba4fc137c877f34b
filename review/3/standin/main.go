// Command standin plays a small deployment in which the entry hosts of a zone are killed and start again
// while they have jobs, and records which tasks have two runs at work at the same time.
//
// It starts the daemon of the deploy file as separate processes on loopback addresses. The executors,
// the operator and the clients are stand-ins in this process.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
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

// Bounds of the deployment. They are in the settings of every process too.
const (
	maxHold        = 15 * time.Second
	retransmitTime = 1300 * time.Millisecond
)

// What the clients do. In each round the clients of one zone send their jobs, and the processes of that
// zone's entry hosts are killed while the jobs are at work.
const (
	jobsEach       = 3
	maxTries       = 3
	tasksEach      = 2
	taskCPU        = 4000
	workTime       = 3 * time.Second
	deadline       = 6 * time.Second
	workBeforeKill = 500 * time.Millisecond
	downTime       = 1100 * time.Millisecond
	// stableTime lets the core be stable and all machines be in touch before the jobs of a round.
	stableTime = 7 * time.Second
)

var errNotRun = errors.New("the case could not run")

func main() {
	daemon := flag.String("daemon", "", "the daemon to start, as the deploy file names it")
	recordPath := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "kill the entry hosts of a zone while jobs are at work")
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
		events.add("TWICE broken by %d tasks", violations)
		os.Exit(exitBroken)
	default:
		events.add("held")
		os.Exit(exitHeld)
	}
}

// play runs the deployment once and returns the number of tasks of which two runs were at work at once.
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
	violations := 0
	for round, zone := range zones {
		time.Sleep(stableTime)
		hosts := deployed.entryHosts(zone)
		other := deployed.entryHosts(zones[(round+1)%len(zones)])[0]
		jobs, err := submitJobs(round, deployed.front(hosts[0]), deployed.front(other), func() error {
			if !trouble {
				return nil
			}
			events.add("the entry hosts of %s are killed", zone)
			err := deployed.killAndRestart(hosts, downTime)
			events.add("the entry hosts of %s are started again", zone)
			return err
		}, events)
		if err != nil {
			return 0, err
		}
		broken, err := judge(jobs, executors, events)
		if err != nil {
			return 0, err
		}
		violations += broken
		if err := deployed.awaitReady(); err != nil {
			return 0, err
		}
	}
	return violations, nil
}

// judge counts the tasks of which two runs were at work at the same time. A job that isn't completed in
// the end makes the case unfit.
func judge(jobs []*job, executors []*executor, events *record) (int, error) {
	violations := 0
	for _, job := range jobs {
		if job.status != http.StatusOK || job.state != "completed" {
			return 0, fmt.Errorf("%w: job %s ended with %d %q after %d tries", errNotRun, job.id, job.status, job.state, job.tries)
		}
		runs := make(map[string][]run)
		for _, executor := range executors {
			for _, ran := range executor.runsOf(job.id) {
				runs[ran.task] = append(runs[ran.task], ran)
			}
		}
		for task, ran := range runs {
			if both := longestOverlap(ran); both > 0 {
				violations++
				events.add("two runs of task %s were at work at the same time for %d ms", task, both.Milliseconds())
			}
		}
	}
	return violations, nil
}

// longestOverlap returns the longest time for which two of the runs were at work.
func longestOverlap(runs []run) time.Duration {
	longest := time.Duration(0)
	for index, first := range runs {
		for _, second := range runs[index+1:] {
			from, until := first.startedAt, first.endedAt
			if second.startedAt.After(from) {
				from = second.startedAt
			}
			if second.endedAt.Before(until) {
				until = second.endedAt
			}
			longest = max(longest, until.Sub(from))
		}
	}
	return longest
}
