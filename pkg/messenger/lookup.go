package messenger

import "github.com/stoathitch/stoathitch/pkg/identifier"

// LookupNumber identifies a lookup among all lookups that one host has sent.
type LookupNumber uint64

// Lookup asks a lead for the state of a submission.
type Lookup struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	Caller     identifier.CallerID     `cbor:"2,keyasint"`
	Number     LookupNumber            `cbor:"3,keyasint"`
}

// LookupReply is the reply to a Lookup. A submission that is found without an answer is
// still running; another reply follows when it ends.
type LookupReply struct {
	Number LookupNumber `cbor:"1,keyasint"`
	Found  bool         `cbor:"2,keyasint,omitempty"`
	Answer *JobAnswer   `cbor:"3,keyasint,omitempty"`
}
