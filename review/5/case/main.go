// Command case is the script of case 5: all core machines are replaced, and then lose power several times.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/stoathitch/stoathitch/review/standin2"
)

const (
	edges = 3
	// replaceInterval is above catchUpS, and pause is the x of replace_core.
	replaceInterval = 8 * time.Second
	pause           = time.Second
	outages         = 4
	outage          = 5 * time.Second
	// applyTime is configApplyMs, contactTime is contactMs of the site; slack is beyond both.
	applyTime   = 2 * time.Second
	contactTime = 3 * time.Second
	slack       = 200 * time.Millisecond
	probeTime   = 5200 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: case DAEMON REPOSITORY RECORD")
		return 2
	}
	record, err := standin2.NewRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	deployment := &standin2.Deployment{Binary: os.Args[1], Repository: os.Args[2], Record: record, Jobs: standin2.NewJobs(), Edges: edges, Executors: 2}
	defer deployment.Stop()
	if err := play(deployment, record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken := record.Broken()
	for _, text := range broken {
		fmt.Println(text)
	}
	fmt.Printf("broken %d times\n", len(broken))
	if len(broken) > 0 {
		return 1
	}
	return 0
}

func play(deployment *standin2.Deployment, record *standin2.Record) error {
	if err := deployment.Start(); err != nil {
		return err
	}
	trouble := os.Getenv("TROUBLE") != "0"
	for _, zone := range standin2.Zones {
		if !trouble {
			break
		}
		record.Note("replace the core machine of %s", zone)
		if err := deployment.ReplaceCore(zone, pause); err != nil {
			return err
		}
		time.Sleep(replaceInterval - pause)
	}
	for turn := range outages {
		version := 10 * (turn + 1)
		if trouble {
			record.Note("all core machines lose power")
			if err := deployment.OutageOfCore(outage); err != nil {
				return err
			}
			record.Note("all core machines are back")
		}
		back := time.Now()
		if err := deployment.Configure(version, 15*time.Second); err != nil {
			return err
		}
		due := time.Now().Add(applyTime)
		if inTouch := back.Add(contactTime); inTouch.After(due) {
			due = inTouch
		}
		time.Sleep(time.Until(due.Add(slack)))
		probe(deployment, record, version)
	}
	return nil
}

// probe asks all edge machines for the new route for some time.
func probe(deployment *standin2.Deployment, record *standin2.Record, version int) {
	for end := time.Now().Add(probeTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, zone := range standin2.Zones {
			for _, machine := range deployment.EdgesIn(zone) {
				status := machine.ServesRoute(version)
				record.Note("route of version %d at %s: %d", version, machine.Name, status)
				if status == 404 {
					record.Break("CONFIG: %s refuses the route of version %d with 404", machine.Name, version)
				}
			}
		}
	}
}
