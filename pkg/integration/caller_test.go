package integration_test

import (
	"math/rand/v2"
	"time"
)

// Timing of a caller.
const (
	attemptTimeout = 5 * time.Second
	attemptPause   = 100 * time.Millisecond
)

// caller submits jobs and sends them again, to any host, when a connection
// breaks, no answer comes, or an answer tells to ask again.
type caller struct {
	cluster *cluster
	oracle  *oracle
	random  *rand.Rand
}

// finish sends a job until an answer settles it, and returns that answer, or nil
// when none came within the time.
func (caller *caller) finish(job *job, within time.Duration) *answer {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		daemon := caller.cluster.daemons[caller.random.IntN(len(caller.cluster.daemons))]
		received, err := send(daemon, job, attemptTimeout)
		if err != nil {
			time.Sleep(attemptPause)
			continue
		}
		caller.oracle.note(job, daemon.name, received)
		if received.final() {
			return received
		}
		time.Sleep(attemptPause)
	}
	return nil
}

// resend sends an answered job once more, to any host that answers.
func (caller *caller) resend(job *job) {
	for range 3 {
		daemon := caller.cluster.daemons[caller.random.IntN(len(caller.cluster.daemons))]
		if received, err := send(daemon, job, attemptTimeout); err == nil {
			caller.oracle.note(job, daemon.name, received)
			return
		}
	}
}
