package messenger

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// SubmissionDigest identifies a submission in lists that may be long: the 42,000 that one backend
// server has acknowledged in ten minutes at 70 starts a second take 336 KB instead of about 1.7 MB.
// Among a million submissions, two share a digest with a probability of 3e-8.
type SubmissionDigest uint64

// DigestOf returns the first 8 bytes of the SHA-256 of the submission's id, most significant
// first, as the backend servers' protocol defines it.
func DigestOf(submission identifier.SubmissionID) SubmissionDigest {
	sum := sha256.Sum256([]byte(submission))
	return SubmissionDigest(binary.BigEndian.Uint64(sum[:]))
}

//go:generate enumer -type=DigestKind -trimprefix=Digest -transform=kebab -text -output=digest_enumer.go

// DigestKind is what a digest says of its submission.
type DigestKind int

// The kinds of digests. A later one replaces an earlier one.
const (
	// DigestNone means that there is no digest.
	DigestNone DigestKind = iota
	// DigestStarted means that a lead has started, spilled or completed the submission.
	DigestStarted
	// DigestEnded means that a lead has refused the submission as not run, or failed it. No answer
	// may be assembled from what backend servers have of it.
	DigestEnded
)

// DigestGroup lists digests of one kind and about the same age.
type DigestGroup struct {
	Kind DigestKind `cbor:"1,keyasint"`
	// Age is how long ago the oldest of the digests was recorded.
	Age     time.Duration      `cbor:"2,keyasint,omitempty"`
	Digests []SubmissionDigest `cbor:"3,keyasint"`
}

// DigestBatch lists submissions of a home that must not be started as new ones.
type DigestBatch struct {
	Home   identifier.FailureDomain `cbor:"1,keyasint"`
	Groups []DigestGroup            `cbor:"2,keyasint,omitempty"`
}

// DigestQuery requests all digests of a home that the receiver stores.
type DigestQuery struct {
	Home identifier.FailureDomain `cbor:"1,keyasint"`
}
