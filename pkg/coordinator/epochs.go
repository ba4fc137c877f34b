package coordinator

import (
	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// hostBits is how many low bits of a fencing epoch tell the host that took it.
const hostBits = 32

// fencingEpoch returns the epoch that backend servers and other hosts compare. The
// high bits are the elector's epoch and the low bits are a hash of the host.
//
// Two hosts that lose sight of each other take the same cell after the same
// epoch. If both came with the same number, backend servers would accept the starts
// of both and a task could run twice; it would show as two hosts that report to
// lead under one epoch. With the host in it, one of the two is higher and fences
// the other until the elector has settled who stays.
func fencingEpoch(elected identifier.Epoch, host identifier.HostID) identifier.Epoch {
	if elected == 0 {
		return 0
	}
	return elected<<hostBits | identifier.Epoch(uint32(xxhash.Sum64String(string(host))))
}

// electedEpoch returns the elector's part of a fencing epoch.
func electedEpoch(fencing identifier.Epoch) identifier.Epoch { return fencing >> hostBits }
