package assembler

import (
	"context"
	"errors"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

const (
	// cellsFile is the name of the stored state of the cells within the data folder.
	cellsFile = "cells.cbor"
	// cellsInterval is the least time between two writes of the file. State that is lost costs
	// the time until servers announce themselves.
	cellsInterval = 500 * time.Millisecond
)

// cellStore stores a keeper's state of the cells in the data folder. It writes in the
// background, so that no tick waits for it, and keeps only the newest state.
type cellStore struct {
	*provider.Common
	newest  chan []messenger.StoredCell
	refusal refusal
}

func newCellStore(common *provider.Common) *cellStore {
	return &cellStore{Common: common, newest: make(chan []messenger.StoredCell, 1)}
}

func (cellStore *cellStore) path() string {
	return filepath.Join(cellStore.Settings.DataFolder, cellsFile)
}

// save queues a state for writing and replaces one that is still queued. Only the runner's
// goroutine may call it.
func (cellStore *cellStore) save(cells []messenger.StoredCell) {
	if cellStore.Settings.DataFolder == "" {
		return
	}
	select {
	case <-cellStore.newest:
	default:
	}
	cellStore.newest <- cells
}

// run writes queued states until ctx is done.
func (cellStore *cellStore) run(ctx context.Context) {
	writeNewest(ctx, cellStore.newest, cellsInterval, cellStore.write, cellStore.note)
}

func (cellStore *cellStore) note(err error) {
	if err != nil {
		if cellStore.refusal.refused() {
			cellStore.Log.Error("cells not remembered", "err", err)
		}
		return
	}
	if tries, began := cellStore.refusal.accepted(); tries > 0 {
		cellStore.Log.Info("cells remembered again", "tries", tries, "lasted", time.Since(began))
	}
}

func (cellStore *cellStore) write(cells []messenger.StoredCell) error {
	if err := writeChecked(cellStore.path(), cells); err != nil {
		return err
	}
	return syncPaths(cellStore.path(), cellStore.Settings.DataFolder)
}

// restore posts the stored state to the coordinator. An unreadable file is treated like a
// missing one, since servers announce themselves.
func (cellStore *cellStore) restore(ctx context.Context, daemon *Daemon) {
	if cellStore.Settings.DataFolder == "" {
		return
	}
	var cells []messenger.StoredCell
	err := readChecked(cellStore.path(), &cells)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		cellStore.Log.Error("remembered cells not read", "file", cellStore.path(), "err", err)
		return
	}
	daemon.runner.Post(ctx, &coordinator.CellsRestored{Cells: cells})
}
