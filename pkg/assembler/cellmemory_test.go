package assembler

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// Symptom: a lead calls backend servers that never were.
// Sequence: the file of the remembered cells is cut, at every byte, by a loss of power.
// Cause guarded against: a torn file taken for whole.
func TestRememberedCells(t *testing.T) {
	settings := loader.Defaults()
	settings.DataFolder = filepath.Join(t.TempDir(), "made-when-missing")
	memory := newCellMemory(provider.New(&settings, io.Discard))
	wanted := []messenger.StoredCell{{
		Cell: messenger.CellRef{FailureDomain: "leuven", Cell: 1}, Epoch: 9,
		Reports: []messenger.ServerReport{{Server: "s1", Address: "10.0.0.1:80", Sequence: 3}},
	}}
	if err := memory.write(wanted); err != nil {
		t.Fatal(err)
	}
	var read []messenger.StoredCell
	if err := readChecked(memory.path(), &read); err != nil || !reflect.DeepEqual(read, wanted) {
		t.Fatalf("read %+v, %v, want %+v", read, err, wanted)
	}
	whole, err := os.ReadFile(memory.path())
	if err != nil {
		t.Fatal(err)
	}
	for length := range len(whole) {
		if err := os.WriteFile(memory.path(), whole[:length], 0o644); err != nil {
			t.Fatal(err)
		}
		if err := readChecked(memory.path(), &read); !errors.Is(err, errWrongChecksum) {
			t.Errorf("cut to %d bytes: %v", length, err)
		}
	}
}

// Symptom: a host is silent while its disk stalls.
// Sequence: the disk stalls in the middle of a write, and cells change several times.
// Cause guarded against: a tick that waits until what it hands over has been written.
func TestRememberingCellsHoldsNoTickUp(t *testing.T) {
	settings := loader.Defaults()
	settings.DataFolder = t.TempDir()
	memory := newCellMemory(provider.New(&settings, io.Discard))
	for count := range 3 {
		memory.remember(make([]messenger.StoredCell, count))
	}
	if newest := <-memory.newest; len(newest) != 2 {
		t.Errorf("kept to be written: %d cells, want the newest state with 2", len(newest))
	}
}
