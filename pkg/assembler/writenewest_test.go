package assembler

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// Guards against a state that is lost for good because the disk refused it at the moment when it was
// saved. The data folder can't be used at first, as a file stands in its place.
func TestRefusedFilesAreWrittenAgain(t *testing.T) {
	settings := loader.Defaults()
	settings.DataFolder = filepath.Join(t.TempDir(), "data")
	if err := os.WriteFile(settings.DataFolder, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	common := provider.New(&settings, io.Discard)
	configs, cells, founders := newConfigStore(common), newCellStore(common), newFounderStore(common)
	configs.saveTimeout, configs.retryInterval, founders.retryInterval = time.Minute, testRetryInterval, testRetryInterval
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go configs.run(ctx)
	go cells.run(ctx)
	go founders.run(ctx)
	configs.save(configurer.Version{Version: 8})
	configs.save(configurer.Version{Version: 7})
	cells.save([]messenger.StoredCell{{Epoch: 9}})
	founders.save([]identifier.HostID{"keeper-1", "keeper-2"})
	for _, refusal := range []*refusal{&configs.refusal, &cells.refusal, &founders.refusal} {
		waitUntil(t, "the disk has refused", func() bool { return !refusal.since().IsZero() })
	}
	if err := os.Remove(settings.DataFolder); err != nil {
		t.Fatal(err)
	}
	for _, refusal := range []*refusal{&configs.refusal, &cells.refusal, &founders.refusal} {
		waitUntil(t, "the disk takes writes again", func() bool { return refusal.since().IsZero() })
	}
	if version, err := configs.read(); err != nil || version.Version != 8 {
		t.Errorf("version %d is remembered, %v", version.Version, err)
	}
	var stored []messenger.StoredCell
	if err := readChecked(cells.path(), &stored); err != nil || len(stored) != 1 || stored[0].Epoch != 9 {
		t.Errorf("remembered cells: %+v, %v", stored, err)
	}
	if hosts, err := readFounders(filepath.Join(settings.DataFolder, foundersFile)); err != nil || len(hosts) != 2 {
		t.Errorf("remembered founders: %v, %v", hosts, err)
	}
}
