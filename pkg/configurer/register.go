// Package configurer implements the shared configuration: how versions are accepted one after
// the other through the keepers' replicated log, and how they spread to every host.
//
// Register is the state machine that every keeper applies. Follower runs on every host, holds
// the version in force there and never returns to an older one. Both are pure: they do no I/O
// and read no clock.
package configurer

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

//go:generate enumer -type=Verdict,ErrorKind -trimprefix=Verdict,Error -transform=kebab -text -output=enums_enumer.go

// Verdict is the outcome of a change or an evacuation order.
type Verdict int

// The outcomes of changes and evacuation orders.
const (
	// VerdictAccepted means that the change is now the newest version.
	VerdictAccepted Verdict = iota
	// VerdictConflict means that another change was accepted first.
	VerdictConflict
	// VerdictSuperseded means that the newest version has the change's revision or a higher
	// one, or that the failure domain is already in the ordered state. Nothing was changed
	// and nothing needs to be.
	VerdictSuperseded
	// VerdictInvalid means that a layout has no failure domain or an impossible number of cells.
	VerdictInvalid
)

// Change requests a new version of the document.
type Change struct {
	// Request identifies the change, so that a resend has no second effect.
	Request identifier.RequestID `cbor:"1,keyasint"`
	// Expected is the version that the operator has seen. The change is accepted only if
	// that is still the newest.
	Expected identifier.ConfigVersion `cbor:"2,keyasint"`
	// Operator is the name of the operator who submitted the change.
	Operator string `cbor:"3,keyasint"`
	// Document is the whole configuration as JSON, validated before it is proposed.
	Document []byte `cbor:"4,keyasint"`
	// At is the proposer's wall-clock time in RFC 3339, for display only.
	At string `cbor:"5,keyasint,omitempty"`
	// Revision is set by a source that numbers its documents itself. Such a change is
	// accepted if its revision is higher than the newest version's, regardless of Expected,
	// so that documents may arrive out of order and more than once.
	Revision identifier.ConfigRevision `cbor:"6,keyasint,omitempty"`
}

// Version is one accepted configuration with the state of the evacuations. Its document is
// empty if a failure domain was evacuated before the first configuration.
type Version struct {
	Version  identifier.ConfigVersion `cbor:"1,keyasint" json:"version"`
	Operator string                   `cbor:"2,keyasint" json:"operator"`
	Request  identifier.RequestID     `cbor:"3,keyasint" json:"request"`
	At       string                   `cbor:"4,keyasint,omitempty" json:"at"`
	Document []byte                   `cbor:"5,keyasint" json:"-"`
	// Revision is the number that an external source gave the document, or 0.
	Revision identifier.ConfigRevision `cbor:"6,keyasint,omitempty" json:"revision,omitempty"`
	// Evacuations holds one state for each failure domain that an order has ever named,
	// sorted by name.
	Evacuations []EvacuationState `cbor:"7,keyasint,omitempty" json:"evacuations,omitempty"`
	// Layouts holds the agreed layout of each failure domain that has one, sorted by name.
	Layouts []Layout `cbor:"8,keyasint,omitempty" json:"layouts,omitempty"`
}

// Result is the answer to a change or an evacuation order.
type Result struct {
	Request identifier.RequestID `cbor:"1,keyasint" json:"request"`
	Verdict Verdict              `cbor:"2,keyasint" json:"verdict"`
	// Newest is the newest version after the request: the accepted one, or the one that
	// took precedence.
	Newest identifier.ConfigVersion `cbor:"3,keyasint" json:"version"`
	// Winner is the operator of the newest version and WonAt is its At.
	Winner string `cbor:"4,keyasint,omitempty" json:"winner,omitempty"`
	WonAt  string `cbor:"5,keyasint,omitempty" json:"won-at,omitempty"`
	// Layout is the layout in force after a SetLayout.
	Layout *Layout `cbor:"6,keyasint,omitempty" json:"layout,omitempty"`
}

// Register is the replicated state machine of the configuration. Set the exported fields
// before the first Apply; they must be the same on every keeper.
type Register struct {
	// HistoryBound is the maximum number of retained versions.
	HistoryBound int
	// HistoryBytes bounds the documents of all retained versions together, of which the newest
	// is always retained; 0 means no bound.
	HistoryBytes int
	// ResultBound is the maximum number of results retained for resent requests.
	ResultBound int

	versions []Version
	results  *tabulator.Table[identifier.RequestID, Result]
}

// Apply executes one change and returns its result. A request that was answered before gets
// the same answer again and changes nothing.
func (register *Register) Apply(change *Change) Result {
	return register.decideOnce(change.Request, func() Result { return register.decide(change) })
}

// ResultOf returns the recorded result of a request, and whether there is one.
func (register *Register) ResultOf(request identifier.RequestID) (Result, bool) {
	register.prepare()
	known := register.results.Get(request)
	if known == nil {
		return Result{}, false
	}
	return *known, true
}

// decideOnce returns the recorded result of a request, or decides on it and records the result.
func (register *Register) decideOnce(request identifier.RequestID, decide func() Result) Result {
	if known, found := register.ResultOf(request); found {
		return known
	}
	result := decide()
	register.recordResult(result)
	return result
}

// Newest returns the newest version, or a zero Version if there is none.
func (register *Register) Newest() Version {
	if len(register.versions) == 0 {
		return Version{}
	}
	return register.versions[len(register.versions)-1]
}

// History returns a copy of the retained versions, oldest first.
func (register *Register) History() []Version { return slices.Clone(register.versions) }

func (register *Register) prepare() {
	if register.results == nil {
		register.results = tabulator.New[identifier.RequestID, Result]()
	}
}

func (register *Register) decide(change *Change) Result {
	if verdict, rejected := register.rejection(change); rejected {
		return register.rejectedResult(change.Request, verdict)
	}
	newest := register.Newest()
	return register.accept(Version{
		Version:     newest.Version + 1,
		Operator:    change.Operator,
		Request:     change.Request,
		At:          change.At,
		Document:    change.Document,
		Revision:    change.Revision,
		Evacuations: newest.Evacuations,
		Layouts:     newest.Layouts,
	})
}

// accept appends a version as the newest and drops the oldest ones beyond the bounds.
func (register *Register) accept(accepted Version) Result {
	register.versions = append(register.versions, accepted)
	if excess := register.excessVersions(); excess > 0 {
		register.versions = slices.Delete(register.versions, 0, excess)
	}
	return Result{
		Request: accepted.Request, Verdict: VerdictAccepted,
		Newest: accepted.Version, Winner: accepted.Operator, WonAt: accepted.At,
	}
}

// excessVersions returns how many of the oldest versions are beyond the bounds.
func (register *Register) excessVersions() int {
	newest := len(register.versions) - 1
	retained := len(register.versions[newest].Document)
	for index := newest - 1; index >= 0; index-- {
		retained += len(register.versions[index].Document)
		if newest-index >= register.HistoryBound || register.HistoryBytes > 0 && retained > register.HistoryBytes {
			return index + 1
		}
	}
	return 0
}

// rejectedResult returns the result of a request that changes nothing.
func (register *Register) rejectedResult(request identifier.RequestID, verdict Verdict) Result {
	newest := register.Newest()
	return Result{
		Request: request, Verdict: verdict,
		Newest: newest.Version, Winner: newest.Operator, WonAt: newest.At,
	}
}

// rejection reports whether a change is rejected, and with which verdict.
func (register *Register) rejection(change *Change) (Verdict, bool) {
	newest := register.Newest()
	switch {
	case change.Revision > 0:
		return VerdictSuperseded, change.Revision <= newest.Revision
	default:
		return VerdictConflict, change.Expected != newest.Version
	}
}

func (register *Register) recordResult(result Result) {
	register.results.Put(result.Request, &result)
	if register.results.Len() <= register.ResultBound {
		return
	}
	register.results.Each(func(oldest identifier.RequestID, _ *Result) bool {
		register.results.Remove(oldest)
		return false
	})
}
