package reporter

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"
)

var outputFile = flag.String("report-file", "", "also write the example report to this file for inspection")

func exampleRows() []Row {
	return []Row{
		{Scenario: "calm", Policy: "two-choices", Load: 0.95, Mean: 1.4, P50: 1.1, P99: 3.2, Max: 7, WastedPerTask: 0.002},
		{Scenario: "calm", Policy: "two-choices", Load: 0.5, Mean: 1.01, P50: 1, P99: 1.1, Max: 1.3},
		{Scenario: "calm", Policy: "random", Load: 0.5, Mean: 1.3, P50: 1.1, P99: 2, Max: 5, Violations: 1},
		{Scenario: "calm", Policy: "random", Load: 0.95, Mean: 4, P50: 2, P99: 15, Max: 40, WastedPerTask: 0.02},
		{Scenario: "one <load> only", Policy: "<script>", Load: 0.8, Mean: 1, P50: 1, P99: 1, Max: 1},
	}
}

func render(t *testing.T) string {
	t.Helper()
	var buffer bytes.Buffer
	if err := Write(&buffer, "Policies & loads", exampleRows()); err != nil {
		t.Fatal(err)
	}
	return buffer.String()
}

// The page must be usable on a machine without network access: if it loaded its
// scripts or images from elsewhere, the charts would be blank there.
func TestPageLoadsNothingFromOutside(t *testing.T) {
	content := render(t)
	loading := regexp.MustCompile(`(?i)<script|<link|<img|<iframe|\bsrc=|@import|url\(`)
	if found := loading.FindString(content); found != "" {
		t.Errorf("the page holds %q", found)
	}
	if *outputFile != "" {
		if err := os.WriteFile(*outputFile, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

func TestPageHoldsEachScenarioAndPolicy(t *testing.T) {
	content := render(t)
	if count := strings.Count(content, "<svg"); count != 2*len(measures) {
		t.Errorf("%d charts", count)
	}
	for _, wanted := range []string{
		"<h1>Policies &amp; loads</h1>", "<h2>calm</h2>", "<h2>one &lt;load&gt; only</h2>",
		"<td>two-choices</td><td>0.95</td><td>1.400</td><td>1.100</td><td>3.200</td><td>7.000</td><td>0.0020</td>",
		`<td class="broken">1</td>`,
	} {
		if !strings.Contains(content, wanted) {
			t.Errorf("the page lacks %s", wanted)
		}
	}
	if strings.Contains(content, "ZgotmplZ") {
		t.Error("the template library refused a value as unsafe")
	}
	if content != render(t) {
		t.Error("the same rows gave two different pages")
	}
}

func TestNoRows(t *testing.T) {
	err := Write(&bytes.Buffer{}, "nothing", nil)
	var reportError *Error
	if !errors.As(err, &reportError) || reportError.Kind != ErrorNoRows {
		t.Errorf("got %v", err)
	}
}
