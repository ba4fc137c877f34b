// Package configurer keeps the shared configuration: the one accepted version
// after the other, through the keepers' replicated log, and how it spreads to
// every host.
//
// Register is the state machine that every keeper applies. Follower, on every
// host, holds the version in force there and never goes back to an older one.
// Both are pure.
package configurer

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

//go:generate enumer -type=Verdict,ErrorKind -trimprefix=Verdict,Error -transform=kebab -text -output=enums_enumer.go

// Verdict is the decision on a change.
type Verdict int

// The verdicts on changes.
const (
	// VerdictAccepted means that the change is the newest version now.
	VerdictAccepted Verdict = iota
	// VerdictConflict means that another change was accepted first.
	VerdictConflict
	// VerdictSuperseded means that the newest version has the change's revision or a
	// higher one. Nothing has changed and nothing needs to.
	VerdictSuperseded
)

// Change asks for a new version.
type Change struct {
	// Request makes the change idempotent.
	Request identifier.RequestID `cbor:"1,keyasint"`
	// Expected is the version that the operator has seen; the change is accepted
	// only if it is still the newest.
	Expected identifier.ConfigVersion `cbor:"2,keyasint"`
	// Operator is who asks.
	Operator string `cbor:"3,keyasint"`
	// Document is the whole configuration as JSON, checked before it is proposed.
	Document []byte `cbor:"4,keyasint"`
	// At is the wall clock of the proposer in RFC 3339, for display only.
	At string `cbor:"5,keyasint,omitempty"`
	// Revision is set by a source that numbers its documents itself. Such a change is
	// accepted if its revision is higher than the newest version's, whatever Expected
	// says, so that documents may arrive out of order and more than once.
	Revision identifier.ConfigRevision `cbor:"6,keyasint,omitempty"`
}

// Version is one accepted configuration, with the evacuations that are in force. It has no
// document where a failure domain was evacuated before the first configuration.
type Version struct {
	Version  identifier.ConfigVersion `cbor:"1,keyasint" json:"version"`
	Operator string                   `cbor:"2,keyasint" json:"operator"`
	Request  identifier.RequestID     `cbor:"3,keyasint" json:"request"`
	At       string                   `cbor:"4,keyasint,omitempty" json:"at"`
	Document []byte                   `cbor:"5,keyasint" json:"-"`
	// Revision is the outside source's number of the document, if it has one.
	Revision identifier.ConfigRevision `cbor:"6,keyasint,omitempty" json:"revision,omitempty"`
	// Evacuations are those of the failure domains that an order has ever named, in the
	// order of their names.
	Evacuations []EvacuationState `cbor:"7,keyasint,omitempty" json:"evacuations,omitempty"`
}

// Result is the answer to a change.
type Result struct {
	Request identifier.RequestID `cbor:"1,keyasint" json:"request"`
	Verdict Verdict              `cbor:"2,keyasint" json:"verdict"`
	// Newest is the newest version after the change: the accepted one, or the one
	// that won.
	Newest identifier.ConfigVersion `cbor:"3,keyasint" json:"version"`
	// Winner is the operator of the newest version and WonAt its moment.
	Winner string `cbor:"4,keyasint,omitempty" json:"winner,omitempty"`
	WonAt  string `cbor:"5,keyasint,omitempty" json:"won-at,omitempty"`
}

// Register is the state machine of the configuration. Set the exported fields
// before the first Apply; they must be the same on every keeper.
type Register struct {
	// HistoryBound is how many versions are kept.
	HistoryBound int
	// ResultBound is how many results are kept for resent requests.
	ResultBound int

	versions []Version
	results  *tabulator.Table[identifier.RequestID, Result]
}

// Apply carries out one change and returns its result. A request that was
// answered before gets that answer again and changes nothing.
func (register *Register) Apply(change *Change) Result {
	return register.once(change.Request, func() Result { return register.decide(change) })
}

// once decides on a request, unless it was decided on before.
func (register *Register) once(request identifier.RequestID, decide func() Result) Result {
	register.prepare()
	if known := register.results.Get(request); known != nil {
		return *known
	}
	result := decide()
	register.remember(result)
	return result
}

// Newest returns the newest version, or a zero Version where there is none.
func (register *Register) Newest() Version {
	if len(register.versions) == 0 {
		return Version{}
	}
	return register.versions[len(register.versions)-1]
}

// History returns the kept versions, the oldest first.
func (register *Register) History() []Version { return slices.Clone(register.versions) }

func (register *Register) prepare() {
	if register.results == nil {
		register.results = tabulator.New[identifier.RequestID, Result]()
	}
}

func (register *Register) decide(change *Change) Result {
	if verdict, rejected := register.rejection(change); rejected {
		return register.rejected(change.Request, verdict)
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
	})
}

// accept makes a version the newest one.
func (register *Register) accept(accepted Version) Result {
	register.versions = append(register.versions, accepted)
	if excess := len(register.versions) - register.HistoryBound; excess > 0 {
		register.versions = slices.Delete(register.versions, 0, excess)
	}
	return Result{
		Request: accepted.Request, Verdict: VerdictAccepted,
		Newest: accepted.Version, Winner: accepted.Operator, WonAt: accepted.At,
	}
}

// rejected answers a request that changes nothing.
func (register *Register) rejected(request identifier.RequestID, verdict Verdict) Result {
	newest := register.Newest()
	return Result{
		Request: request, Verdict: verdict,
		Newest: newest.Version, Winner: newest.Operator, WonAt: newest.At,
	}
}

// rejection tells why a change does not become the newest version, if it doesn't.
func (register *Register) rejection(change *Change) (Verdict, bool) {
	newest := register.Newest()
	switch {
	case change.Revision > 0:
		return VerdictSuperseded, change.Revision <= newest.Revision
	default:
		return VerdictConflict, change.Expected != newest.Version
	}
}

func (register *Register) remember(result Result) {
	register.results.Put(result.Request, &result)
	if register.results.Len() <= register.ResultBound {
		return
	}
	register.results.Each(func(oldest identifier.RequestID, _ *Result) bool {
		register.results.Remove(oldest)
		return false
	})
}
