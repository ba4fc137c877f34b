// Package claimer implements the claims of not-repeatable jobs. A claim states which
// submission may run a job. It is granted through the keepers' replicated log before the
// first start, so that at most one submission of the job ever runs.
//
// Register is the state machine that every keeper applies. Requester requests claims on
// the hosts that lead cells. Both are pure: they do no I/O and read no clock.
//
// A claim is stored in full for the retention time and is then reduced to a fingerprint,
// which is never evicted. A job whose fingerprint is known is refused as not known to have
// run. If two jobs collide on a fingerprint (one pair in 2^64), the second one is refused
// in the same way, and that statement is true for it too. When the number of fingerprints
// reaches its bound, new claims are refused, because evicting a fingerprint would allow a
// second run of its job.
package claimer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Verdict is the outcome of a claim.
type Verdict int

//go:generate enumer -type=Verdict -trimprefix=Verdict -transform=kebab -text

// The outcomes of a claim.
const (
	// VerdictUnavailable means that no quorum could be reached in time.
	VerdictUnavailable Verdict = iota
	// VerdictGranted means that the submission may run the job.
	VerdictGranted
	// VerdictHeld means that another submission holds the claim.
	VerdictHeld
	// VerdictForgotten means that some submission held the claim so long ago that only its
	// fingerprint is left, so the holder is unknown.
	VerdictForgotten
	// VerdictFull means that the register has reached its bound and accepts no new claims.
	VerdictFull
)

// Claim requests the right of a submission to run a not-repeatable job.
type Claim struct {
	Caller     identifier.CallerID     `cbor:"1,keyasint"`
	Job        identifier.JobID        `cbor:"2,keyasint"`
	Submission identifier.SubmissionID `cbor:"3,keyasint"`
	// Home is the failure domain whose lead is responsible for the submission.
	Home identifier.FailureDomain `cbor:"4,keyasint,omitempty"`
}

// Release gives up a claim under which nothing has run and nothing ever will.
type Release struct {
	Caller     identifier.CallerID     `cbor:"1,keyasint"`
	Job        identifier.JobID        `cbor:"2,keyasint"`
	Submission identifier.SubmissionID `cbor:"3,keyasint"`
}

// Command is one log entry for the register. Its fields are applied in their order.
type Command struct {
	Releases []Release `cbor:"1,keyasint,omitempty"`
	Claims   []Claim   `cbor:"2,keyasint,omitempty"`
	// ShrinkBelow reduces the claims from log entries below this index to fingerprints. The
	// leader chooses the index by its own clock; applying the command reads no clock.
	ShrinkBelow identifier.LogIndex `cbor:"3,keyasint,omitempty"`
}

// Decision is the result of one claim.
type Decision struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	Verdict    Verdict                 `cbor:"2,keyasint"`
	// Holder and HolderHome name the submission that holds the claim.
	Holder     identifier.SubmissionID  `cbor:"3,keyasint,omitempty"`
	HolderHome identifier.FailureDomain `cbor:"4,keyasint,omitempty"`
}

// jobKey identifies a job; job ids are unique only within their caller.
type jobKey struct {
	caller identifier.CallerID
	job    identifier.JobID
}

type heldClaim struct {
	submission identifier.SubmissionID
	home       identifier.FailureDomain
	index      identifier.LogIndex
}

// Register is the replicated state machine of claims. Set the exported fields before the
// first Apply; they must be the same on every keeper.
type Register struct {
	// FingerprintBound is the maximum number of claims and fingerprints together.
	FingerprintBound int

	claims       *tabulator.Table[jobKey, heldClaim]
	fingerprints map[uint64]struct{}
}

// Apply executes one command of the log and returns one decision per claim, in order.
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

// ClaimCount returns the number of claims stored in full.
func (register *Register) ClaimCount() int {
	register.prepare()
	return register.claims.Len()
}

// FingerprintCount returns the number of claims that are reduced to fingerprints.
func (register *Register) FingerprintCount() int { return len(register.fingerprints) }

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

// decisionOnHeld decides on a job that has a claim. The holder itself is granted the claim
// again: requests are idempotent, because the answer to the first one may have been lost.
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

// shrink replaces old claims with their fingerprints. Claims are ordered by log index, so
// the first one at or above the bound ends the iteration.
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
	// The length prefix keeps ("ab", "c") and ("a", "bc") apart.
	_, _ = digest.Write([]byte{byte(len(key.caller)), byte(len(key.caller) >> 8)})
	_, _ = digest.WriteString(string(key.caller))
	_, _ = digest.WriteString(string(key.job))
	return digest.Sum64()
}
