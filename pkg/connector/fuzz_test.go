package connector

import (
	"bytes"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
)

// FuzzDecodeBatch checks that any bytes from another host are either rejected or decode to a batch
// that survives encoding and decoding unchanged.
func FuzzDecodeBatch(f *testing.F) {
	empty, err := encodeBatch(&coordinator.PeerBatch{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(empty)
	f.Add([]byte{0xa1, 0x01, 0x80})
	f.Add([]byte{0x9f, 0x9f, 0x9f, 0xff})
	f.Add([]byte{0xbf, 0x01, 0x01, 0x01, 0x01, 0xff})
	f.Add(bytes.Repeat([]byte{0x81}, 100))
	f.Fuzz(func(t *testing.T, payload []byte) {
		batch, err := decodeBatch(payload)
		if err != nil {
			return
		}
		first, err := encodeBatch(&batch)
		if err != nil {
			t.Fatalf("%x decodes to a batch that can't be encoded: %v", payload, err)
		}
		again, err := decodeBatch(first)
		if err != nil {
			t.Fatalf("%x is encoded as %x, which is refused: %v", payload, first, err)
		}
		second, err := encodeBatch(&again)
		if err != nil || !bytes.Equal(first, second) {
			t.Errorf("%x is encoded as %x and then as %x, %v", payload, first, second, err)
		}
	})
}
