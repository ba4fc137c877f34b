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

// shownRequests is the number of requests explained on the operations page.
const shownRequests = 3

// TestOperationsPage explains the requests of the operations page from the logs of a real run
// and compares the output with the page.
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
		story := logs.Explain(identifier.JobID(request[1]))
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
