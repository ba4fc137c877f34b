package messenger

import "testing"

// The digest is part of the backend servers' protocol, which others implement: the first 8 bytes
// of `printf s-1 | sha256sum`.
func TestDigestOfIsThatOfTheProtocol(t *testing.T) {
	if got := DigestOf("s-1"); got != 0x6a840baf5d8c3ff2 {
		t.Errorf("got %x", uint64(got))
	}
}
