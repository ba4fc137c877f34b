package messenger

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Replica is everything that a host knows about a submission. It is sent to another host of
// the failure domain when one of the two hosts that knew the submission is lost.
type Replica struct {
	Record CopyRecord `cbor:"1,keyasint"`
	// Answer is the submission's answer if the sender stores it.
	Answer *JobAnswer `cbor:"2,keyasint,omitempty"`
}

// ReplicaReceipt confirms that the sender has stored replicas.
type ReplicaReceipt struct {
	// Submissions are the ids of the replicas that came without an answer.
	Submissions []identifier.SubmissionID `cbor:"1,keyasint,omitempty"`
	// Answered are the ids of the replicas that came with their answer.
	Answered []identifier.SubmissionID `cbor:"2,keyasint,omitempty"`
	// DifferingAnswers are the ids of the replicas whose answer differs from the one that the sender
	// of the receipt had stored; it keeps its own.
	DifferingAnswers []identifier.SubmissionID `cbor:"3,keyasint,omitempty"`
}
