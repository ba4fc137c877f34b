package planner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=State -transform=kebab -trimprefix=State -text

// State is the phase of an intent.
type State int

// The states.
const (
	// StateNone is that of a name without an intent.
	StateNone State = iota
	// StateCreated waits for a plan.
	StateCreated
	// StatePlanned waits for a confirmation.
	StatePlanned
	// StateConfirmed may start tasks.
	StateConfirmed
	// StateRunning has started tasks.
	StateRunning
	// StateCancelling waits for running tasks to stop.
	StateCancelling
	// StateImpossible means that the intent can never run; nothing ran.
	StateImpossible
	// StateRejected means that an operator rejected the intent; nothing ran.
	StateRejected
	// StateCancelled means that the intent was cancelled; its tally shows what ran.
	StateCancelled
	// StateComplete means that every task succeeded.
	StateComplete
	// StateFailed means that at least one task did not succeed.
	StateFailed
)

// Ended reports whether the state is final.
func (state State) Ended() bool { return state >= StateImpossible }

// Bounds of what a record keeps.
const (
	// firstSteps and lastSteps are the numbers of first and last steps that are kept.
	firstSteps = 24
	lastSteps  = 72
	// maxChanges bounds the changes that are kept to identify the winner of a conflict.
	maxChanges = 16
)

// Step is one step of an intent's history, with the reason for it.
type Step struct {
	Index  identifier.LogIndex `cbor:"1,keyasint,omitempty" json:"index"`
	Wall   WallTime            `cbor:"2,keyasint,omitempty" json:"wall"`
	Kind   CommandKind         `cbor:"3,keyasint,omitempty" json:"kind"`
	Reason string              `cbor:"4,keyasint,omitempty" json:"reason"`
}

// ClaimMark records that a failure domain has claimed a batch up to, not including, To.
type ClaimMark struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	Batch         int                      `cbor:"2,keyasint,omitempty"`
	To            int                      `cbor:"3,keyasint,omitempty"`
	// From and Epoch are those of the last claim, which may be repeated.
	From  int              `cbor:"4,keyasint,omitempty"`
	Epoch identifier.Epoch `cbor:"5,keyasint,omitempty"`
}

// Record is the state and history of an intent.
type Record struct {
	Name     identifier.IntentName `cbor:"1,keyasint,omitempty"`
	Spec     Spec                  `cbor:"2,keyasint,omitempty"`
	State    State                 `cbor:"3,keyasint,omitempty"`
	Revision uint64                `cbor:"4,keyasint,omitempty"`
	Plan     *Plan                 `cbor:"5,keyasint,omitempty"`
	// Plans is the number of plans made so far.
	Plans   uint64      `cbor:"6,keyasint,omitempty"`
	Changes []Change    `cbor:"7,keyasint,omitempty"`
	Steps   []Step      `cbor:"8,keyasint,omitempty"`
	Dropped int         `cbor:"9,keyasint,omitempty"`
	Claims  []ClaimMark `cbor:"10,keyasint,omitempty"`
	// Ranges are the outcomes by batch and index. They don't overlap and can't be merged further.
	Ranges []Range `cbor:"11,keyasint,omitempty"`
}

// dropRacks removes the racks from the plan of an ended intent. They are the bulk of a
// record that spans many failure domains. The plan is copied, since an answer may share it.
func (record *Record) dropRacks() {
	if record.Plan == nil {
		return
	}
	plan := *record.Plan
	plan.Allotments = slices.Clone(plan.Allotments)
	for position := range plan.Allotments {
		plan.Allotments[position].Racks = nil
	}
	record.Plan = &plan
}

// Tally counts tasks by outcome.
type Tally [outcomeCount]int

// Sum returns the number of tasks that have an outcome.
func (tally Tally) Sum() int {
	sum := 0
	for _, count := range tally {
		sum += count
	}
	return sum
}

// String lists the outcomes with a count above 0.
func (tally Tally) String() string {
	text := ""
	for outcome, count := range tally {
		if count > 0 {
			text += fmt.Sprintf("%s=%d ", Outcome(outcome), count)
		}
	}
	return text[:max(len(text)-1, 0)]
}

// Tally returns the number of tasks by outcome.
func (record *Record) Tally() Tally {
	var tally Tally
	for _, ended := range record.Ranges {
		tally[ended.Outcome] += ended.To - ended.From
	}
	return tally
}

// addStep appends a step and drops one from the middle if there are too many.
func (record *Record) addStep(step Step) {
	if len(record.Steps) >= firstSteps+lastSteps {
		record.Steps = slices.Delete(record.Steps, firstSteps, firstSteps+1)
		record.Dropped++
	}
	record.Steps = append(record.Steps, step)
}

// claimMark returns the failure domain's claim on a batch that it is allotted from index
// from on. If there is none yet, it adds an empty one.
func (record *Record) claimMark(domain identifier.FailureDomain, batch, from int) *ClaimMark {
	for position := range record.Claims {
		mark := &record.Claims[position]
		if mark.FailureDomain == domain && mark.Batch == batch {
			return mark
		}
	}
	record.Claims = append(record.Claims, ClaimMark{FailureDomain: domain, Batch: batch, From: from, To: from})
	return &record.Claims[len(record.Claims)-1]
}

// settle sets the outcome of those tasks that have none yet.
func (record *Record) settle(ended Range) {
	if ended.Batch < 0 || ended.Batch >= len(record.Spec.Batches) {
		return
	}
	from := max(ended.From, 0)
	end := min(ended.To, record.Spec.Batches[ended.Batch].Count)
	var added []Range
	for _, known := range record.Ranges {
		if known.Batch != ended.Batch || known.To <= from || from >= end {
			continue
		}
		if known.From > from {
			added = append(added, Range{Batch: ended.Batch, From: from, To: min(known.From, end), Outcome: ended.Outcome})
		}
		from = known.To
	}
	if from < end {
		added = append(added, Range{Batch: ended.Batch, From: from, To: end, Outcome: ended.Outcome})
	}
	record.Ranges = mergeRanges(append(record.Ranges, added...))
}

// mergeRanges sorts ranges that don't overlap and merges adjacent ones of equal outcome.
func mergeRanges(ranges []Range) []Range {
	slices.SortFunc(ranges, func(one, other Range) int {
		return cmp.Or(cmp.Compare(one.Batch, other.Batch), cmp.Compare(one.From, other.From))
	})
	merged := ranges[:0]
	for _, next := range ranges {
		if next.From >= next.To {
			continue
		}
		last := len(merged) - 1
		if last >= 0 && merged[last].Batch == next.Batch && merged[last].To == next.From && merged[last].Outcome == next.Outcome {
			merged[last].To = next.To
			continue
		}
		merged = append(merged, next)
	}
	return merged
}
