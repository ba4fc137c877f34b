package messenger

import "testing"

// TestDigestOfIsThatOfTheProtocol guards against a change of the digest, which is part of the
// backend servers' protocol that others implement: the first 8 bytes of `printf s-1 | sha256sum`.
func TestDigestOfIsThatOfTheProtocol(t *testing.T) {
	if got := DigestOf("s-1"); got != 0x6a840baf5d8c3ff2 {
		t.Errorf("got %x", uint64(got))
	}
}
