// Package trier runs the whole system in one process: daemons of three failure
// domains and stand-in backend servers on loopback, jobs over real HTTP and gRPC.
package trier

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/executor"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// The size of a trial.
const (
	hostsPerFailureDomain   = 2
	serversPerFailureDomain = 4
	slotsPerServer          = 8
	concurrentJobs          = 6
)

// Trier runs one trial. Set the exported fields before Run.
type Trier struct {
	// Jobs is how many jobs are run.
	Jobs int
	// Timeout bounds the trial.
	Timeout time.Duration
	// Logs takes the daemons' logs; nil drops them.
	Logs io.Writer
	// Progress takes a line for each job's answer; nil drops them.
	Progress io.Writer

	settings []*loader.Settings
	group    sync.WaitGroup
}

// Run starts everything, runs the jobs, stops everything and reports.
func (trier *Trier) Run(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, trier.Timeout)
	defer cancel()
	if trier.Logs == nil {
		trier.Logs = io.Discard
	}
	dataFolder, err := os.MkdirTemp("", "stoathitch-try-")
	if err != nil {
		return nil, eris.Wrap(err, "no folder for the keepers' data")
	}
	defer func() { _ = os.RemoveAll(dataFolder) }()
	settings, err := trialSettings(dataFolder)
	if err != nil {
		return nil, err
	}
	trier.settings = settings
	running, stop := context.WithCancel(ctx)
	defer trier.group.Wait()
	defer stop()
	trier.startDaemons(running)
	trier.startServers(running)
	if err := trier.waitUntilServing(ctx); err != nil {
		return nil, err
	}
	return trier.runJobs(ctx), nil
}

func (trier *Trier) startDaemons(ctx context.Context) {
	for _, settings := range trier.settings {
		daemon := &assembler.Daemon{Common: provider.New(settings, trier.Logs)}
		trier.group.Go(func() {
			// The trial is over when ctx is: there is nothing left to drain.
			if err := daemon.Run(ctx, ctx); err != nil {
				daemon.Log.Error("daemon ended", "err", err)
			}
		})
	}
}

func (trier *Trier) startServers(ctx context.Context) {
	for _, failureDomain := range failureDomains() {
		var addresses []string
		for _, settings := range trier.settings {
			if settings.FailureDomain == failureDomain {
				addresses = append(addresses, settings.BackendServersAddress.String())
			}
		}
		for number := range serversPerFailureDomain {
			standIn := &executor.Executor{
				Name:          fmt.Sprintf("%s-%d", failureDomain, number),
				FailureDomain: string(failureDomain),
				Rack:          string(failureDomain) + "-rack-0",
				Slots:         slotsPerServer,
				EntryHosts:    addresses,
				Log:           log.New(trier.Logs),
			}
			trier.group.Go(func() { standIn.Run(ctx) })
		}
	}
}

// waitUntilServing sends a small job to each host until it is answered: the
// hosts find each other and the backend servers attach in any order.
func (trier *Trier) waitUntilServing(ctx context.Context) error {
	for index, settings := range trier.settings {
		attempt := 0
		for {
			attempt++
			probe := newJob(fmt.Sprintf("probe-%d-%d", index, attempt), 1, index)
			if outcome := trier.submit(ctx, settings, probe); outcome.complete {
				break
			}
			if ctx.Err() != nil {
				return eris.Errorf("host %s did not serve in time", settings.Host)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// runJobs runs the jobs a few at a time, over all hosts in turn.
func (trier *Trier) runJobs(ctx context.Context) *Report {
	report := newReport()
	numbers := make(chan int)
	var workers sync.WaitGroup
	for range concurrentJobs {
		workers.Go(func() {
			for number := range numbers {
				settings := trier.settings[number%len(trier.settings)]
				job := newJob(fmt.Sprintf("job-%d", number), widthOf(number), number)
				report.add(trier.submit(ctx, settings, job), trier.Progress)
			}
		})
	}
	for number := range trier.Jobs {
		numbers <- number
	}
	close(numbers)
	workers.Wait()
	return report
}
