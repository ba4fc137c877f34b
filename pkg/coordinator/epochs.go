package coordinator

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
)

// hostBits is how many low bits of an epoch tell the host that took it.
const hostBits = 32

// nextEpoch returns the epoch under which host takes a cell after seen. The high
// bits count the takings and the low bits are a hash of the host.
//
// Two hosts that lose sight of each other take the same cell after the same
// epoch. If both got the same number, backend servers would accept the starts of
// both and a task could run twice; it would show as two hosts that report to lead
// under one epoch. With the host in it, one of the two is higher and fences the
// other.
func nextEpoch(seen identifier.Epoch, host identifier.HostID) identifier.Epoch {
	taking := seen>>hostBits + 1
	return taking<<hostBits | identifier.Epoch(uint32(xxhash.Sum64String(string(host))))
}

// firstNonce returns where a process begins to number its requests to the keepers.
//
// A keeper may answer a request after its host has started anew. If both processes
// counted from 1, that answer would be taken for the one to another request: a report
// would count as applied that never was, and show as an intent that does not end.
func firstNonce(incarnation identifier.Incarnation) keeper.Nonce {
	var bytes [8]byte
	binary.BigEndian.PutUint64(bytes[:], uint64(incarnation))
	return keeper.Nonce(xxhash.Sum64(bytes[:]) << nonceBits)
}

// nonceBits is how many low bits of a nonce count the requests of one process.
const nonceBits = 32
