// Package narrator reconstructs, from the logs of several processes alone, what happened
// to one request and why. It reads the lines that package logwriter and the general
// logger write.
package narrator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Record is one parsed log line.
type Record struct {
	// At is the time on the clock of the process that wrote the line.
	At   time.Time         `json:"-"`
	Host identifier.HostID `json:"host"`
	// Message names the decision or event.
	Message string                       `json:"message"`
	Job     identifier.JobID             `json:"-"`
	Server  identifier.ServerIncarnation `json:"-"`
	// To is the host that something was sent to.
	To identifier.HostID `json:"-"`
	// Peer is the host whose state the line reports, and Status that state.
	Peer      string        `json:"-"`
	Status    string        `json:"-"`
	Reason    string        `json:"-"`
	Elapsed   time.Duration `json:"-"`
	Predicted time.Duration `json:"-"`
	// LeftOut is how many lines of LeftOutKind were dropped before this one.
	LeftOut     string `json:"-"`
	LeftOutKind string `json:"-"`
	// Text is the line without the hiddenKeys.
	Text string `json:"text"`
}

// is reports whether the line is about a decision of the given kind.
func (record *Record) is(kind messenger.DecisionKind) bool { return record.Message == kind.String() }
