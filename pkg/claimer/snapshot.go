package claimer

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/wrapper"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors of this package.
const (
	// ErrorSnapshot means that a snapshot could not be encoded or decoded.
	ErrorSnapshot ErrorKind = iota
)

// Error is the error type of this package.
type Error = wrapper.Error[ErrorKind]

// snapshot is the serialized form of a register.
type snapshot struct {
	Claims       []snapshotClaim `cbor:"1,keyasint,omitempty"`
	Fingerprints []uint64        `cbor:"2,keyasint,omitempty"`
}

type snapshotClaim struct {
	Claim
	Index identifier.LogIndex `cbor:"9,keyasint"`
}

// Snapshot serializes the whole state. Keepers that have applied the same entries return
// the same bytes.
func (register *Register) Snapshot() ([]byte, error) {
	register.prepare()
	state := snapshot{}
	register.claims.Each(func(key jobKey, held *heldClaim) bool {
		claim := Claim{Caller: key.caller, Job: key.job, Submission: held.submission, Home: held.home}
		state.Claims = append(state.Claims, snapshotClaim{Claim: claim, Index: held.index})
		return true
	})
	for value := range register.fingerprints {
		state.Fingerprints = append(state.Fingerprints, value)
	}
	slices.Sort(state.Fingerprints)
	content, err := cbor.Marshal(&state)
	if err != nil {
		return nil, &Error{Operation: "encode snapshot", Kind: ErrorSnapshot, Err: eris.Wrap(err, "cbor")}
	}
	return content, nil
}

// Restore replaces the whole state with a snapshot. On an error the state is unchanged.
func (register *Register) Restore(content []byte) error {
	var state snapshot
	if err := cbor.Unmarshal(content, &state); err != nil {
		return &Error{Operation: "decode snapshot", Kind: ErrorSnapshot, Err: eris.Wrap(err, "cbor")}
	}
	register.claims = nil
	register.prepare()
	for _, claim := range state.Claims {
		key := jobKey{caller: claim.Caller, job: claim.Job}
		register.claims.Put(key, &heldClaim{submission: claim.Submission, home: claim.Home, index: claim.Index})
	}
	for _, value := range state.Fingerprints {
		register.fingerprints[value] = struct{}{}
	}
	return nil
}
