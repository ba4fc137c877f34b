package assembler

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// TestRememberedConfiguration. Symptom: a host serves under a configuration that
// never was. Sequence: the file of the configuration in force is cut, at every
// byte, by a power loss. Cause guarded against: a torn file taken for whole.
func TestRememberedConfiguration(t *testing.T) {
	settings := loader.Defaults()
	settings.DataFolder = filepath.Join(t.TempDir(), "made-when-missing")
	memory := newMemory(provider.New(&settings, io.Discard))
	memory.patience = time.Minute
	wanted := configurer.Version{Version: 7, Operator: "anke", Request: "r-7", Document: []byte(`{"teams":[]}`)}
	memory.remember(configurer.Version{Version: 6})
	memory.remember(wanted)
	if err := memory.sync(); err != nil {
		t.Fatal(err)
	}
	read, err := memory.read()
	if err != nil || read.Version != 7 || string(read.Document) != string(wanted.Document) {
		t.Fatalf("read() = %+v, %v", read, err)
	}
	whole, err := os.ReadFile(memory.path())
	if err != nil {
		t.Fatal(err)
	}
	for length := range len(whole) {
		if err := os.WriteFile(memory.path(), whole[:length], 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := memory.read(); !errors.Is(err, errWrongChecksum) {
			t.Errorf("cut to %d bytes: %v", length, err)
		}
	}
}

// Symptom: a host with a disk is silent for seconds and counts as dead.
// Sequence: its disk stalls, and a configuration comes into force.
// Cause: the tick that puts it into force waits for the file to be replaced.
func TestStalledDiskHoldsNoTickUp(t *testing.T) {
	settings := loader.Defaults()
	settings.DataFolder = t.TempDir()
	memory := newMemory(provider.New(&settings, io.Discard))
	// The write before it is under way for as long as the disk stalls.
	memory.mutex.Lock()
	memory.remember(configurer.Version{Version: 3})
	memory.mutex.Unlock()
	memory.patience = time.Minute
	memory.remember(configurer.Version{Version: 4})
	if read, err := memory.read(); err != nil || read.Version != 4 {
		t.Errorf("after the stall version %d is remembered, %v", read.Version, err)
	}
}
