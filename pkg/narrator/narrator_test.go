package narrator_test

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/narrator"
)

// TestStories reconstructs stories from logs. "log NAME" creates or replaces a file, without
// its last line break if "cut" is given; "explain ID" and "summary" read all files.
func TestStories(t *testing.T) {
	datadriven.Walk(t, "testdata/stories", func(t *testing.T, path string) {
		folder := t.TempDir()
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			if data.Cmd == "log" {
				content := data.Input + "\n"
				if data.HasArg("cut") {
					content = data.Input
				}
				if err := os.WriteFile(filepath.Join(folder, data.CmdArgs[0].Key+".log"), []byte(content), 0o600); err != nil {
					t.Fatal(err)
				}
				return ""
			}
			logs, err := narrator.Read([]string{folder})
			if err != nil {
				return strings.ReplaceAll(err.Error(), folder, "FOLDER") + "\n"
			}
			var text strings.Builder
			for _, warning := range logs.Warnings {
				fmt.Fprintln(&text, strings.ReplaceAll(warning, folder, "FOLDER"))
			}
			if data.Cmd == "summary" {
				for _, failures := range logs.SummariseFailures() {
					fmt.Fprintf(&text, "%s: %d, unnamed %v\n", failures.Outcome, failures.Count, failures.Unnamed)
				}
				return text.String()
			}
			if story := logs.Explain(identifier.JobID(data.CmdArgs[0].Key)); story != nil {
				return text.String() + story.String()
			}
			return text.String() + "nothing is known\n"
		})
	})
}

// TestMissingLog checks that a missing path is distinguished from an unreadable one.
func TestMissingLog(t *testing.T) {
	for _, path := range []string{filepath.Join(t.TempDir(), "none.log"), t.TempDir()} {
		if _, err := narrator.Read([]string{path}); err == nil || !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("reading %s: %v", path, err)
		}
	}
}
