package documenter_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/documenter"
)

var update = flag.Bool("update", false, "write docs/SETTINGS.md anew")

// TestSettingsPage compares docs/SETTINGS.md with the code.
func TestSettingsPage(t *testing.T) {
	path := filepath.Join("..", "..", "docs", "SETTINGS.md")
	want, err := documenter.Render(filepath.Join("..", "loader"))
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s is not what the code says; run: go test ./pkg/documenter -update", path)
	}
}
