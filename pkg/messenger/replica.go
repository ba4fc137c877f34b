package messenger

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Replica is all that a host knows of a submission. It goes to another host of the
// failure domain when one of the two that knew the submission is gone.
type Replica struct {
	Record CopyRecord `cbor:"1,keyasint"`
	// Answer is the submission's answer where the sender keeps it.
	Answer *JobAnswer `cbor:"2,keyasint,omitempty"`
}

// ReplicaReceipt tells that a host holds replicas.
type ReplicaReceipt struct {
	// Submissions came without an answer.
	Submissions []identifier.SubmissionID `cbor:"1,keyasint,omitempty"`
	// Answered came with their answers.
	Answered []identifier.SubmissionID `cbor:"2,keyasint,omitempty"`
	// Differing came with another answer than the host holds, which keeps its own.
	Differing []identifier.SubmissionID `cbor:"3,keyasint,omitempty"`
}
