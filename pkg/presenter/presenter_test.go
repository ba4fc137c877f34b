package presenter_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/presenter"
)

// TestPage renders the page from an overview in JSON, the form in which hosts serve it, and
// compares it with the golden file. Names that callers choose must not become markup.
func TestPage(t *testing.T) {
	datadriven.RunTest(t, "testdata/page", func(t *testing.T, data *datadriven.TestData) string {
		var overview presenter.Overview
		if err := json.Unmarshal([]byte(data.Input), &overview); err != nil {
			t.Fatal(err)
		}
		var written bytes.Buffer
		if err := presenter.WritePage(&written, &overview); err != nil {
			t.Fatal(err)
		}
		for _, outside := range []string{"http:", "https:", "<script", "<img", "<link"} {
			if strings.Contains(written.String(), outside) {
				t.Errorf("the page has %q", outside)
			}
		}
		_, body, _ := strings.Cut(written.String(), "<body>\n")
		return body
	})
}
