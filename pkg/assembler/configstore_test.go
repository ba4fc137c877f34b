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

// TestTornConfigurationFileIsRejected guards against taking a torn file for a whole one, after which
// a host would serve under a configuration that never existed. A power loss may cut the file of the
// configuration in force at any byte.
func TestTornConfigurationFileIsRejected(t *testing.T) {
	settings := loader.Defaults()
	settings.DataFolder = filepath.Join(t.TempDir(), "made-when-missing")
	store := newConfigStore(provider.New(&settings, io.Discard))
	store.saveTimeout = time.Minute
	wanted := configurer.Version{Version: 7, Operator: "anke", Request: "r-7", Document: []byte(`{"teams":[]}`)}
	store.save(configurer.Version{Version: 6})
	store.save(wanted)
	if err := store.sync(); err != nil {
		t.Fatal(err)
	}
	read, err := store.read()
	if err != nil || read.Version != 7 || string(read.Document) != string(wanted.Document) {
		t.Fatalf("read() = %+v, %v", read, err)
	}
	whole, err := os.ReadFile(store.path())
	if err != nil {
		t.Fatal(err)
	}
	for length := range len(whole) {
		if err := os.WriteFile(store.path(), whole[:length], 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := store.read(); !errors.Is(err, errWrongChecksum) {
			t.Errorf("cut to %d bytes: %v", length, err)
		}
	}
}

// Guards against a host with a disk that is silent for seconds and is declared dead: its disk stalls,
// a configuration comes into force, and the tick that applies it waits for the file to be replaced.
func TestStalledDiskDoesNotBlockTicks(t *testing.T) {
	settings := loader.Defaults()
	settings.DataFolder = t.TempDir()
	store := newConfigStore(provider.New(&settings, io.Discard))
	// The previous write is in progress for as long as the disk stalls.
	store.mutex.Lock()
	store.save(configurer.Version{Version: 3})
	store.mutex.Unlock()
	store.saveTimeout = time.Minute
	store.save(configurer.Version{Version: 4})
	if read, err := store.read(); err != nil || read.Version != 4 {
		t.Errorf("after the stall version %d is remembered, %v", read.Version, err)
	}
}
