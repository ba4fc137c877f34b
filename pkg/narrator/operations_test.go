package narrator_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/narrator"
)

// shownRequests is how many requests the page on operations follows.
const shownRequests = 3

// TestOperationsPage tells the requests of the page on operations again, from lines of a
// real run, and compares them with what the page shows.
func TestOperationsPage(t *testing.T) {
	logs, err := narrator.Read([]string{"testdata/day"})
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	commands := regexp.MustCompile(`(?m)^    \$ stoathitch explain (\w+) --logs logs\n((?:    .*\n)+)`)
	shown := commands.FindAllStringSubmatch(string(page), -1)
	if len(shown) != shownRequests {
		t.Errorf("the page shows %d requests, want %d", len(shown), shownRequests)
	}
	for _, request := range shown {
		story := logs.Tell(identifier.JobID(request[1]))
		if story == nil {
			t.Errorf("nothing is known of %s", request[1])
			continue
		}
		indented := "    " + strings.ReplaceAll(strings.TrimSuffix(story.String(), "\n"), "\n", "\n    ") + "\n"
		if indented != request[2] {
			t.Errorf("the page shows of %s\n%s\nwant\n%s", request[1], request[2], indented)
		}
	}
}
