package coordinator

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
)

// hostBits is the number of low bits of an epoch that identify the host that took the cell.
const hostBits = 32

// nextEpoch returns the epoch under which host takes a cell after epoch seen. The high bits count
// how often the cell was taken, the low bits are a hash of the host.
//
// Two hosts that are partitioned from each other take the same cell after the same epoch. If both
// got the same number, backend servers would accept starts from both and a task could run twice;
// the symptom would be two hosts that report to lead under one epoch. With the hash of the host in
// it, one epoch is higher and fences the other.
func nextEpoch(seen identifier.Epoch, host identifier.HostID) identifier.Epoch {
	taking := seen>>hostBits + 1
	return taking<<hostBits | identifier.Epoch(uint32(xxhash.Sum64String(string(host))))
}

// firstNonce returns the number from which a process numbers its requests to the keepers.
//
// A keeper may answer a request after the requesting host has restarted. If both processes counted
// from 1, that answer would be matched to a different request: a report would count as applied that
// never was, and its intent would not end.
func firstNonce(incarnation identifier.Incarnation) keeper.Nonce {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], uint64(incarnation))
	return keeper.Nonce(xxhash.Sum64(bytes[:]) << nonceBits)
}

// nonceBits is the number of low bits of a nonce that count the requests of one process.
const nonceBits = 32
