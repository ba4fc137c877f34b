package narrator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Story is the reconstructed history of one request.
type Story struct {
	Job identifier.JobID `json:"job"`
	// Steps are the lines about the request and about the backend servers and hosts that
	// it depended on, in the order of events.
	Steps []Step `json:"steps"`
	// Cause says in one sentence why the request ended as it did.
	Cause string `json:"cause"`
	// Named reports whether the cause follows from the lines. If not, Cause says what is
	// missing.
	Named bool `json:"named"`
	// Notes list what makes the story less reliable: clock offsets and dropped lines.
	Notes []string `json:"notes,omitempty"`
}

// Step is one log line of a story.
type Step struct {
	// At is the time on the clock of the caller's host.
	At time.Time `json:"at"`
	Record
}

// Explain reconstructs the story of a request. It returns nil if no line is about it.
func (logs *Logs) Explain(job identifier.JobID) *Story {
	storyBuilder := &storyBuilder{logs: logs, story: &Story{Job: job}, own: logs.jobs[job], clockOffsets: make(map[identifier.HostID]time.Duration)}
	if len(storyBuilder.own) == 0 {
		return nil
	}
	storyBuilder.alignClocks()
	storyBuilder.collectSteps()
	storyBuilder.recordMissingLines()
	storyBuilder.story.Cause, storyBuilder.story.Named = storyBuilder.cause()
	return storyBuilder.story
}

// storyBuilder builds one story.
type storyBuilder struct {
	logs  *Logs
	story *Story
	// own holds the lines about the request itself, by time.
	own []*Record
	// clockOffsets are added to the times of the lines of each host to order the events.
	clockOffsets map[identifier.HostID]time.Duration
}

// first and last return the first and the last line of a kind about the request, or nil.
func (storyBuilder *storyBuilder) first(kind messenger.DecisionKind) *Record {
	for _, record := range storyBuilder.own {
		if record.is(kind) {
			return record
		}
	}
	return nil
}

func (storyBuilder *storyBuilder) last(kind messenger.DecisionKind) *Record {
	var found *Record
	for _, record := range storyBuilder.own {
		if record.is(kind) {
			found = record
		}
	}
	return found
}

func (storyBuilder *storyBuilder) count(kind messenger.DecisionKind) int {
	count := 0
	for _, record := range storyBuilder.own {
		if record.is(kind) {
			count++
		}
	}
	return count
}

// alignClocks shifts the lines of each lead after the request that it answers and before
// the caller's answer that follows from them. Clocks of hosts may differ by more than a
// request takes; sorted by time alone, a lead would decide before it received the request.
func (storyBuilder *storyBuilder) alignClocks() {
	answered := storyBuilder.last(messenger.DecisionAnswered)
	for _, asked := range storyBuilder.own {
		if !asked.is(messenger.DecisionAsked) {
			continue
		}
		if _, aligned := storyBuilder.clockOffsets[asked.To]; aligned || asked.To == asked.Host {
			continue
		}
		shift := time.Duration(0)
		for _, record := range storyBuilder.own {
			if record.Host != asked.To || record.is(messenger.DecisionArrived) {
				continue
			}
			if early := asked.At.Sub(record.At) + time.Microsecond; early > shift && !storyBuilder.requestedBefore(asked) {
				shift = early
			}
			if record.is(messenger.DecisionTurnedAway) && answered != nil {
				shift = min(shift, answered.At.Sub(record.At))
			}
			break
		}
		storyBuilder.clockOffsets[asked.To] = shift
		if shift.Abs() >= minReportedOffset {
			storyBuilder.addNote("the clock of %s is moved by %v to put its lines after the question", asked.To, shift)
		}
	}
}

// minReportedOffset is the smallest clock offset that a story mentions. Smaller ones mislead
// nobody.
const minReportedOffset = time.Millisecond

// requestedBefore reports whether an earlier request went to the same lead.
func (storyBuilder *storyBuilder) requestedBefore(asked *Record) bool {
	for _, record := range storyBuilder.own {
		if record == asked {
			return false
		}
		if record.is(messenger.DecisionAsked) && record.To == asked.To {
			return true
		}
	}
	return false
}

func (storyBuilder *storyBuilder) alignedTime(record *Record) time.Time {
	return record.At.Add(storyBuilder.clockOffsets[record.Host])
}

func (storyBuilder *storyBuilder) addNote(format string, arguments ...any) {
	storyBuilder.story.Notes = append(storyBuilder.story.Notes, fmt.Sprintf(format, arguments...))
}

// contextWindow is how long before a request a state change of a server or host may still
// affect it: recovery from a lost lead or a lapsed lease takes a second or two.
const contextWindow = 3 * time.Second

// collectSteps collects the lines about the request itself and those about backend servers
// that ran it and hosts that received requests for it.
func (storyBuilder *storyBuilder) collectSteps() {
	servers := make(map[identifier.ServerIncarnation]bool)
	hosts := make(map[string]bool)
	for _, record := range storyBuilder.own {
		if record.Server != "" {
			servers[record.Server] = true
		}
		if record.To != "" {
			hosts[string(record.To)] = true
		}
		storyBuilder.addStep(record)
	}
	for _, record := range storyBuilder.nearbyRecords() {
		if record.Job != "" || !storyBuilder.inContext(record) {
			continue
		}
		if servers[record.Server] || hosts[record.Peer] && record.Host == storyBuilder.own[0].Host {
			storyBuilder.addStep(record)
		}
	}
	slices.SortStableFunc(storyBuilder.story.Steps, func(first, second Step) int { return first.At.Compare(second.At) })
}

func (storyBuilder *storyBuilder) addStep(record *Record) {
	storyBuilder.story.Steps = append(storyBuilder.story.Steps, Step{At: storyBuilder.alignedTime(record), Record: *record})
}

// nearbyRecords returns all lines from contextWindow before the request until contextWindow
// after it.
func (storyBuilder *storyBuilder) nearbyRecords() []*Record {
	return storyBuilder.logs.between(storyBuilder.own[0].At.Add(-contextWindow), storyBuilder.own[len(storyBuilder.own)-1].At.Add(contextWindow))
}

// inContext reports whether a line lies within the request's time or shortly before it.
func (storyBuilder *storyBuilder) inContext(record *Record) bool {
	first, last := storyBuilder.own[0].At, storyBuilder.own[len(storyBuilder.own)-1].At
	at := storyBuilder.alignedTime(record)
	return at.After(first.Add(-contextWindow)) && !at.After(last)
}

// recordMissingLines adds a note for lines that a process dropped near the request, since the
// story may lack them.
func (storyBuilder *storyBuilder) recordMissingLines() {
	for _, record := range storyBuilder.nearbyRecords() {
		if record.Message == "lines-left-out" {
			storyBuilder.addNote("%s left out %s lines of kind %s about then", record.Host, record.LeftOut, record.LeftOutKind)
		}
	}
}

// String renders the story as text, one line per step, note and cause.
func (story *Story) String() string {
	var text strings.Builder
	for _, step := range story.Steps {
		fmt.Fprintf(&text, "%s  %-15s  %-13s  %s\n", step.At.Format("15:04:05.000000"), step.Host, step.Message, step.Text)
	}
	for _, note := range story.Notes {
		fmt.Fprintf(&text, "note: %s\n", note)
	}
	fmt.Fprintf(&text, "cause: %s\n", story.Cause)
	return text.String()
}
