package configurer_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/configurer"
)

// Guards against a document that is read back otherwise than it was sent, or stored beyond the bound.
func TestLargeDocumentIsStoredCompressed(t *testing.T) {
	const most = 1000
	for _, size := range []int{1, most, most + 1, 100 * most} {
		content := bytes.Repeat([]byte("a"), size)
		packed, err := configurer.PackDocument(content, most)
		if err != nil {
			t.Fatal(err)
		}
		if len(packed) > most || size <= most && !bytes.Equal(packed, content) {
			t.Errorf("%d bytes are stored as %d", size, len(packed))
		}
		version := configurer.Version{Document: packed}
		if read, err := version.Content(); err != nil || !bytes.Equal(read, content) {
			t.Errorf("%d bytes are read back as %d, err %v", size, len(read), err)
		}
	}
}

// Guards against a document beyond the bound that is neither stored nor refused.
func TestDocumentThatCannotBeStoredIsRefused(t *testing.T) {
	_, err := configurer.PackDocument([]byte("a{0}b"), 4)
	var refused *configurer.Error
	if !errors.As(err, &refused) || refused.Kind != configurer.ErrorTooLarge {
		t.Errorf("got %v", err)
	}
}

// Guards against a keeper that ends over a damaged document.
func TestDamagedCompressedDocumentIsAnError(t *testing.T) {
	packed, err := configurer.PackDocument(bytes.Repeat([]byte("a"), 1000), 100)
	if err != nil {
		t.Fatal(err)
	}
	version := configurer.Version{Document: packed[:len(packed)-3]}
	if _, err := version.Content(); err == nil {
		t.Error("a document that was cut short is read")
	}
}
