package connector

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
)

// maxNesting is the maximum nesting depth of a message from another host.
const maxNesting = 16

// peerDecMode rejects duplicate keys and deep nesting in messages from other hosts.
var peerDecMode = newPeerDecMode()

func newPeerDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		panic(err) // The options are constants; they can't be wrong at run time.
	}
	return mode
}

func encodeBatch(batch *coordinator.PeerBatch) ([]byte, error) {
	payload, err := cbor.Marshal(batch)
	if err != nil {
		return nil, newError("encode peer batch", ErrorCodec, err)
	}
	return payload, nil
}

func decodeBatch(payload []byte) (coordinator.PeerBatch, error) {
	var batch coordinator.PeerBatch
	if err := peerDecMode.Unmarshal(payload, &batch); err != nil {
		return batch, newError("decode peer batch", ErrorCodec, err)
	}
	return batch, nil
}
