package integration_test

import (
	"os"
	"strings"
	"testing"
)

// shownLogLines is how many of the last lines of each process a failed test shows:
// a minute of a process that is not under load.
const shownLogLines = 60

// showLogs prints the ends of all processes' logs when the test has failed. Its
// folder is gone afterwards, and with it what could have told the cause.
func (cluster *cluster) showLogs(t *testing.T) {
	t.Helper()
	if !t.Failed() {
		return
	}
	for _, process := range cluster.processes() {
		content, err := os.ReadFile(process.log)
		if err != nil {
			t.Logf("%s: %v", process.name, err)
			continue
		}
		t.Logf("the log of %s ends with:\n%s", process.name, lastLines(string(content), shownLogLines))
	}
}

func lastLines(content string, count int) string {
	lines := strings.Split(strings.TrimSpace(content), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}
