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

// Guards against taking a torn file for a whole one, after which a lead would call backend
// servers that never existed. A power loss may cut the file of the stored cells at any byte.
func TestTornCellFileIsRejected(t *testing.T) {
	settings := loader.Defaults()
	settings.DataFolder = filepath.Join(t.TempDir(), "made-when-missing")
	store := newCellStore(provider.New(&settings, io.Discard))
	wanted := []messenger.StoredCell{{
		Cell: messenger.CellRef{FailureDomain: "leuven", Cell: 1}, Epoch: 9,
		Reports: []messenger.ServerReport{{Server: "s1", Address: "10.0.0.1:80", Sequence: 3}},
	}}
	if err := store.write(wanted); err != nil {
		t.Fatal(err)
	}
	var read []messenger.StoredCell
	if err := readChecked(store.path(), &read); err != nil || !reflect.DeepEqual(read, wanted) {
		t.Fatalf("read %+v, %v, want %+v", read, err, wanted)
	}
	whole, err := os.ReadFile(store.path())
	if err != nil {
		t.Fatal(err)
	}
	for length := range len(whole) {
		if err := os.WriteFile(store.path(), whole[:length], 0o644); err != nil {
			t.Fatal(err)
		}
		if err := readChecked(store.path(), &read); !errors.Is(err, errWrongChecksum) {
			t.Errorf("cut to %d bytes: %v", length, err)
		}
	}
}

// Guards against a tick that waits until the cells it saves have been written: a host would be
// silent while its disk stalls in the middle of a write and the cells change several times.
func TestSavingCellsDoesNotBlockTicks(t *testing.T) {
	settings := loader.Defaults()
	settings.DataFolder = t.TempDir()
	store := newCellStore(provider.New(&settings, io.Discard))
	for count := range 3 {
		store.save(make([]messenger.StoredCell, count))
	}
	if newest := <-store.newest; len(newest) != 2 {
		t.Errorf("kept to be written: %d cells, want the newest state with 2", len(newest))
	}
}
