package loader_test

import (
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/loader"
)

// TestConfigurationProblems shows the problems of shared configurations.
func TestConfigurationProblems(t *testing.T) {
	datadriven.RunTest(t, "testdata/configuration", func(_ *testing.T, data *datadriven.TestData) string {
		if _, err := loader.ParseConfiguration("config.json", []byte(data.Input)); err != nil {
			return err.Error()
		}
		return "right"
	})
}

// TestConfigurationFillsGivenSectionsOnly checks that a section which the document
// leaves out stays as the host has it, and that one which it has is taken whole.
func TestConfigurationFillsGivenSectionsOnly(t *testing.T) {
	configuration, err := loader.ParseConfiguration("config.json",
		[]byte(`{"teams":[],"limits":{"tasks-per-job":7}}`))
	if err != nil {
		t.Fatal(err)
	}
	settings := loader.Defaults()
	settings.Teams = []loader.Team{{Team: "old", Weight: 1}}
	settings.Classes = []loader.Class{{Class: "kept", Weight: 3}}
	settings.Limits.QueuedTasks = 3
	settings.Dispatch.EjectionFailures = 99
	configuration.Fill(&settings)
	want := loader.Defaults().Limits
	want.TasksPerJob = 7
	if settings.Limits != want {
		t.Errorf("limits = %+v, want %+v", settings.Limits, want)
	}
	if len(settings.Teams) != 0 || len(settings.Classes) != 1 || settings.Dispatch.EjectionFailures != 99 {
		t.Errorf("settings = %+v, want no teams, and classes and dispatch as they were", settings)
	}
}
