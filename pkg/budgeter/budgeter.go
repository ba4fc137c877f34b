// Package budgeter decides how often a task may be started. One account counts both the runs that
// failed and the backend servers that crashed under the task.
//
// A task may crash every server that starts it. Restarted on one server after another, one such
// task in a hundred takes down all servers of a failure domain within seconds: servers disappear
// one after the other while the same job keeps receiving grants. The tasks that ran beside it are
// innocent, and servers also crash for other reasons, many at once when power or a rack is lost. So
// a crash counts as stronger evidence against a task the fewer tasks ran on the server and the
// fewer servers crashed at that moment. A suspect task is started where nothing else runs, if there
// is such a server. It is not started any more once two servers have crashed under it and the
// evidence suffices.
//
// The package is pure: its owner reports the events to it.
package budgeter

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	// minCrashes is how many servers must have crashed under a task before it is blocked.
	minCrashes = 2
	// maxCrashes is the number of crashes at which a task is blocked whatever else crashed with its
	// servers.
	maxCrashes = 3
	// minEvidence is the evidence that blocks a task: that of one crash of a server with nothing
	// else on it.
	minEvidence = 1.0
	// correlationWindow is the time within which crashes may have a common cause.
	correlationWindow = 500 * time.Millisecond
	// independentCrashes is how many crashes within the window count as independent of each other.
	independentCrashes = 2
)

// Account records the failures and crashes of one task. Its zero value is that of a task which was
// never started.
type Account struct {
	// Failures counts the runs that ended unsuccessfully.
	Failures int `cbor:"1,keyasint,omitempty"`
	// Crashes counts the servers that were lost while the task ran there, presumably by a crash.
	Crashes int `cbor:"2,keyasint,omitempty"`
	// Evidence is the sum of the evidence of the losses against the task: 1 is a crash of a server
	// with nothing else on it while no other server crashed.
	Evidence float64 `cbor:"3,keyasint,omitempty"`
}

// suspectEvidence is the evidence from which on a task starts alone: less than that of one crash of
// a server with eight tasks, more than that of the loss of a rack.
const suspectEvidence = 0.1

// IsSuspect reports whether the task should start where nothing else runs.
func (account *Account) IsSuspect() bool { return account.Evidence >= suspectEvidence }

// IsExhausted reports whether the task has used up this number of attempts.
func (account *Account) IsExhausted(attempts int) bool { return account.Failures >= attempts }

// IsBlocked reports whether the task is not started any more because servers were lost under it. A
// server that is partitioned off is lost in the same way as one that has crashed, so the job does
// not fail for it: it ends at its caller's deadline.
func (account *Account) IsBlocked() bool {
	return account.Crashes >= maxCrashes || account.Crashes >= minCrashes && account.Evidence >= minEvidence
}

// Merge raises the account to the values that another host knows of the same task.
func (account *Account) Merge(other Account) {
	account.Failures = max(account.Failures, other.Failures)
	account.Crashes = max(account.Crashes, other.Crashes)
	account.Evidence = max(account.Evidence, other.Evidence)
}

// Crashes derives the evidence of each crash among the servers of a cell.
type Crashes struct {
	// recent holds the times of the latest crashes, the earliest first.
	recent []identifier.Moment
}

// Record records the crash of a server with this number of tasks on it and returns the evidence
// against each of them.
func (crashes *Crashes) Record(now identifier.Moment, tasks int) float64 {
	recent := crashes.recent[:0]
	for _, moment := range crashes.recent {
		if now.Sub(moment) < correlationWindow {
			recent = append(recent, moment)
		}
	}
	crashes.recent = append(recent, now)
	causes := max(len(crashes.recent)-independentCrashes+1, 1)
	return 1 / float64(max(tasks, 1)*causes)
}

// Charge adds the loss of a server, with its evidence, to the account.
func (account *Account) Charge(evidence float64) {
	account.Crashes++
	account.Evidence += evidence
}
