package configurer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/wrapper"
)

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors of this package.
const (
	// ErrorSnapshot means that a snapshot could not be encoded or decoded.
	ErrorSnapshot ErrorKind = iota
	// ErrorLayout means that a layout was refused.
	ErrorLayout
	// ErrorTooLarge means that a document can't be stored.
	ErrorTooLarge
	// ErrorPacked means that a stored document can't be decompressed.
	ErrorPacked
)

// Error is the error type of this package.
type Error = wrapper.Error[ErrorKind]

// snapshot is the serialized form of a register.
type snapshot struct {
	Versions []Version `cbor:"1,keyasint,omitempty"`
	Results  []Result  `cbor:"2,keyasint,omitempty"`
}

// Snapshot serializes the whole state. Keepers that have applied the same entries return
// the same bytes.
func (register *Register) Snapshot() ([]byte, error) {
	register.prepare()
	state := snapshot{Versions: register.versions}
	register.results.Each(func(_ identifier.RequestID, result *Result) bool {
		state.Results = append(state.Results, *result)
		return true
	})
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
	register.versions = state.Versions
	register.results = nil
	register.prepare()
	for index := range state.Results {
		register.results.Put(state.Results[index].Request, &state.Results[index])
	}
	return nil
}
