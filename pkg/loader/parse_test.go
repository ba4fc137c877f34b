package loader_test

import (
	"encoding/json"
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/loader"
)

// TestProblems shows the problems of broken settings as golden files.
func TestProblems(t *testing.T) {
	base, err := os.ReadFile("testdata/base.json")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/problems", func(t *testing.T, data *datadriven.TestData) string {
		content := data.Input
		if data.Cmd == "edit" {
			content = edit(t, data, string(base))
		}
		return outcome(content)
	})
}

// edit applies "old => new" lines; each old text must stand in the file.
func edit(t *testing.T, data *datadriven.TestData, content string) string {
	t.Helper()
	for line := range strings.Lines(data.Input) {
		line = strings.ReplaceAll(strings.TrimRight(line, "\n"), `\n`, "\n")
		before, after, isEdit := strings.Cut(line, " =>")
		if !isEdit || !strings.Contains(content, before) {
			data.Fatalf(t, "nothing to replace: %q", line)
		}
		content = strings.Replace(content, before, strings.TrimPrefix(after, " "), 1)
	}
	return content
}

func outcome(content string) string {
	_, err := loader.Parse("settings.json", []byte(content))
	if err != nil {
		return err.Error()
	}
	return "right"
}

// TestParseKeepsDefaults checks that a partly given section keeps the defaults of
// its other keys, that list entries have theirs, and that this host is added to a
// list that leaves it out.
func TestParseKeepsDefaults(t *testing.T) {
	content := `{"host":"a","failure-domain":"b","callers-address":"127.0.0.1:1","backend-servers-address":"127.0.0.1:2",
		"peers-address":"[::1]:3","limits":{"queued-tasks":5000},"teams":[{"team":"t"}]}`
	settings, err := loader.Parse("settings.json", []byte(content))
	if err != nil {
		t.Fatal(err)
	}
	want := loader.Defaults()
	want.Limits.QueuedTasks = 5000
	if settings.Limits != want.Limits || settings.Timeouts != want.Timeouts || settings.Dispatch != want.Dispatch {
		t.Errorf("Parse() = %+v, want the defaults but for queued-tasks", settings)
	}
	if got := settings.Teams[0].Weight; got != 1 {
		t.Errorf("weight of a team = %d, want 1", got)
	}
	if !reflect.DeepEqual(settings.Hosts, []loader.Host{settings.Self()}) {
		t.Errorf("hosts = %+v, want just this one", settings.Hosts)
	}
}

// TestLimitsFitTheCapacity guards against a small host that runs out of memory or descriptors under
// limits that are meant for a larger one.
func TestLimitsFitTheCapacity(t *testing.T) {
	settings := loader.Defaults()
	settings.Capacity = loader.Capacity{Memory: 144 << 20, Descriptors: 3075}
	settings.FitCapacity()
	limits := settings.Limits
	if settings.Connections.PerListener != 1537 || limits.QueuedPayload != 36<<20 || limits.JobsInMemory != 28212 {
		t.Errorf("limits %+v, %d connections", limits, settings.Connections.PerListener)
	}
	document, err := loader.ParseConfiguration("document", []byte(`{"limits": {"queued-bytes": 268435456}}`))
	if err != nil {
		t.Fatal(err)
	}
	document.Fill(&settings)
	if settings.Limits != limits {
		t.Errorf("the configuration sets limits %+v", settings.Limits)
	}
}

func TestLoadNamesUnreadableFile(t *testing.T) {
	_, err := loader.Load("testdata/no-such-file.json")
	var failure *loader.Error
	if !errors.As(err, &failure) || failure.Kind != loader.ErrorKindUnreadable {
		t.Fatalf("Load() = %v, want an unreadable file", err)
	}
	if !errors.Is(err, os.ErrNotExist) || !strings.Contains(err.Error(), "no-such-file.json") {
		t.Errorf("Load() = %v, want the cause and the file's name", err)
	}
}

// FuzzParse checks that no content crashes the reader, that each problem names a
// line of the file, and that accepted settings survive being written and read.
func FuzzParse(f *testing.F) {
	base, err := os.ReadFile("testdata/base.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(base)
	for _, seed := range []string{`{}`, `[`, `{"hosts":[{"roles":[null]}],"log":7}`, `{"callers-address":"a:1","x":{"x":[]}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, err := loader.Parse("settings.json", content)
		if err != nil {
			checkProblems(t, err, content)
			return
		}
		written, err := json.Marshal(settings)
		if err != nil {
			t.Fatal(err)
		}
		again, err := loader.Parse("settings.json", written)
		if err != nil {
			t.Fatalf("written settings are refused: %v\n%s", err, written)
		}
		rewritten, err := json.Marshal(again)
		if err != nil || string(rewritten) != string(written) {
			t.Fatalf("settings changed from\n%s\nto\n%s (%v)", written, rewritten, err)
		}
	})
}

func checkProblems(t *testing.T, err error, content []byte) {
	t.Helper()
	var failure *loader.Error
	if !errors.As(err, &failure) || len(failure.Problems) == 0 {
		t.Fatalf("Parse() = %v, want an *Error with problems", err)
	}
	lines := 1 + strings.Count(string(content), "\n")
	for _, problem := range failure.Problems {
		if problem.Line < 1 || problem.Line > lines || problem.Message == "" {
			t.Errorf("problem %q of a file of %d lines", problem, lines)
		}
	}
}
