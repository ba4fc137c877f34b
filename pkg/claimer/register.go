// Package claimer keeps the claims of not-repeatable jobs. A claim says which
// submission may run a job; it is granted through the keepers' replicated log
// before the first start, so that at most one submission of the job ever runs.
//
// Register is the state machine that every keeper applies; Requester asks for
// claims on the hosts that lead cells. Both are pure.
//
// A claim is kept whole for a time and then shrinks to a fingerprint, which is
// never dropped by itself: a job whose fingerprint is known is refused as not
// known to have run. Two jobs with the same fingerprint (one pair in 2^64) make
// the second one refused, which is true as well. When the fingerprints reach
// their bound, new claims are refused; forgetting one would allow a second run.
package claimer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Verdict is the decision on a claim.
type Verdict int

//go:generate enumer -type=Verdict -trimprefix=Verdict -transform=kebab -text

// The verdicts on claims.
const (
	// VerdictUnavailable means that no quorum could be asked in time.
	VerdictUnavailable Verdict = iota
	// VerdictGranted means that the submission may run the job.
	VerdictGranted
	// VerdictHeld means that another submission holds the claim.
	VerdictHeld
	// VerdictForgotten means that some submission had the claim so long ago that
	// only its fingerprint is left.
	VerdictForgotten
	// VerdictFull means that the register takes no further claims.
	VerdictFull
)

// Claim asks that a submission may run a not-repeatable job.
type Claim struct {
	Caller     identifier.CallerID     `cbor:"1,keyasint"`
	Job        identifier.JobID        `cbor:"2,keyasint"`
	Submission identifier.SubmissionID `cbor:"3,keyasint"`
	// Home is the failure domain whose lead answers for the submission.
	Home identifier.FailureDomain `cbor:"4,keyasint,omitempty"`
}

// Release gives back a claim under which nothing ran and nothing ever will.
type Release struct {
	Caller     identifier.CallerID     `cbor:"1,keyasint"`
	Job        identifier.JobID        `cbor:"2,keyasint"`
	Submission identifier.SubmissionID `cbor:"3,keyasint"`
}

// Command is one entry of the log for the register. Its parts are applied in the
// order of its fields.
type Command struct {
	Releases []Release `cbor:"1,keyasint,omitempty"`
	Claims   []Claim   `cbor:"2,keyasint,omitempty"`
	// ShrinkBelow shrinks the claims of log entries below it to fingerprints. The
	// leader proposes it by its own clock; applying it compares no clocks.
	ShrinkBelow identifier.LogIndex `cbor:"3,keyasint,omitempty"`
}

// Decision is the answer to one claim.
type Decision struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	Verdict    Verdict                 `cbor:"2,keyasint"`
	// Holder and HolderHome name the submission that holds the claim.
	Holder     identifier.SubmissionID  `cbor:"3,keyasint,omitempty"`
	HolderHome identifier.FailureDomain `cbor:"4,keyasint,omitempty"`
}

// jobKey names a job among all callers.
type jobKey struct {
	caller identifier.CallerID
	job    identifier.JobID
}

type heldClaim struct {
	submission identifier.SubmissionID
	home       identifier.FailureDomain
	index      identifier.LogIndex
}

// Register is the state machine of claims. Set the exported fields before the
// first Apply; they must be the same on every keeper.
type Register struct {
	// FingerprintBound is how many fingerprints are kept at most.
	FingerprintBound int

	claims       *tabulator.Table[jobKey, heldClaim]
	fingerprints map[uint64]struct{}
}

// Apply carries out one command of the log and returns a decision for each claim.
func (register *Register) Apply(index identifier.LogIndex, command *Command) []Decision {
	register.prepare()
	for _, release := range command.Releases {
		register.release(release)
	}
	decisions := make([]Decision, 0, len(command.Claims))
	for _, claim := range command.Claims {
		decisions = append(decisions, register.decide(index, claim))
	}
	register.shrink(command.ShrinkBelow)
	return decisions
}

// Len returns how many claims are kept whole.
func (register *Register) Len() int {
	register.prepare()
	return register.claims.Len()
}

// Fingerprints returns how many claims have shrunk to fingerprints.
func (register *Register) Fingerprints() int { return len(register.fingerprints) }

func (register *Register) prepare() {
	if register.claims != nil {
		return
	}
	register.claims = tabulator.New[jobKey, heldClaim]()
	register.fingerprints = make(map[uint64]struct{})
}

func (register *Register) decide(index identifier.LogIndex, claim Claim) Decision {
	key := jobKey{caller: claim.Caller, job: claim.Job}
	if held := register.claims.Get(key); held != nil {
		return decisionOnHeld(claim, held)
	}
	if _, known := register.fingerprints[fingerprint(key)]; known {
		return Decision{Submission: claim.Submission, Verdict: VerdictForgotten}
	}
	if register.claims.Len()+len(register.fingerprints) >= register.FingerprintBound {
		return Decision{Submission: claim.Submission, Verdict: VerdictFull}
	}
	register.claims.Put(key, &heldClaim{submission: claim.Submission, home: claim.Home, index: index})
	return Decision{Submission: claim.Submission, Verdict: VerdictGranted}
}

// decisionOnHeld grants the claim again to its own holder: the request is
// idempotent, because the answer to the first one may have been lost.
func decisionOnHeld(claim Claim, held *heldClaim) Decision {
	verdict := VerdictHeld
	if held.submission == claim.Submission {
		verdict = VerdictGranted
	}
	return Decision{Submission: claim.Submission, Verdict: verdict, Holder: held.submission, HolderHome: held.home}
}

func (register *Register) release(release Release) {
	key := jobKey{caller: release.Caller, job: release.Job}
	if held := register.claims.Get(key); held != nil && held.submission == release.Submission {
		register.claims.Remove(key)
	}
}

// shrink replaces old claims by their fingerprints. Claims stand in the order of
// their log entries, so the first young one ends the search.
func (register *Register) shrink(below identifier.LogIndex) {
	register.claims.Each(func(key jobKey, held *heldClaim) bool {
		if held.index >= below {
			return false
		}
		register.fingerprints[fingerprint(key)] = struct{}{}
		register.claims.Remove(key)
		return true
	})
}

func fingerprint(key jobKey) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// The length stops ("ab", "c") and ("a", "bc") from being the same.
	_, _ = digest.Write([]byte{byte(len(key.caller)), byte(len(key.caller) >> 8)})
	_, _ = digest.WriteString(string(key.caller))
	_, _ = digest.WriteString(string(key.job))
	return digest.Sum64()
}
