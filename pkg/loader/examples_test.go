package loader_test

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/loader"
)

// TestExamples loads every example with the code of the daemon, and checks that
// the files of one deployment agree: hosts with differing accounts of their
// deployment start well and then never find each other.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"phuc-tin", "bsv"} {
		t.Run(deployment, func(t *testing.T) {
			paths, err := filepath.Glob(filepath.Join("..", "..", "examples", deployment, "*.json"))
			if err != nil || len(paths) == 0 {
				t.Fatalf("no examples: %v", err)
			}
			checkDeployment(t, paths)
		})
	}
}

func checkDeployment(t *testing.T, paths []string) {
	t.Helper()
	var first *loader.Settings
	for _, path := range paths {
		settings, err := loader.Load(path)
		if err != nil {
			t.Error(err)
			continue
		}
		if first == nil {
			first = settings
		}
		if name := strings.TrimSuffix(filepath.Base(path), ".json"); name != string(settings.Host) {
			t.Errorf("%s holds the settings of %s", path, settings.Host)
		}
		if len(settings.Hosts) != len(paths) {
			t.Errorf("%s lists %d hosts, want one for each of the %d files", path, len(settings.Hosts), len(paths))
		}
		if !reflect.DeepEqual(shared(settings), shared(first)) {
			t.Errorf("%s and %s differ in what a deployment shares", path, paths[0])
		}
	}
}

// shared returns the settings without what belongs to one host.
func shared(settings *loader.Settings) loader.Settings {
	rest := *settings
	rest.Host, rest.FailureDomain, rest.Roles = "", "", nil
	rest.CallersAddress = loader.Host{}.CallersAddress
	rest.BackendServersAddress, rest.PeersAddress = rest.CallersAddress, rest.CallersAddress
	return rest
}
