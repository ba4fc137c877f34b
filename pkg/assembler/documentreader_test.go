package assembler

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/loader"
)

// Guards against a host that decodes one configuration several times in the tick in which it comes
// into force, and against one that keeps the settings of an earlier document.
func TestDocumentIsReadOnce(t *testing.T) {
	settings := loader.Defaults()
	reader := newDocumentReader(&settings)
	first, err := reader.apply("first", []byte(`{"teams": [{"team": "quill", "weight": 3}]}`))
	if err != nil {
		t.Fatal(err)
	}
	again, err := reader.apply("again", []byte(`{"teams": [{"team": "quill", "weight": 3}]}`))
	if err != nil || again != first {
		t.Errorf("the same document was read twice, err %v", err)
	}
	if quotas, readable := reader.quotas([]byte(`{"teams": [{"team": "quill", "weight": 5}]}`)); !readable || len(quotas) != 1 || quotas[0].Quota.Weight != 5 {
		t.Errorf("quotas of the second document: %v, %v", quotas, readable)
	}
	if _, readable := reader.limits([]byte(`{"routes": []}`)); readable {
		t.Error("a document with an unknown section was accepted")
	}
	if _, readable := reader.limits([]byte(`{"teams": [{"team": "quill", "weight": 3}]}`)); !readable {
		t.Error("a valid document was refused after an invalid one")
	}
}
