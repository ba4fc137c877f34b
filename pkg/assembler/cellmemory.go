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
	// cellsFile is the file of what is remembered of the cells, in the data folder.
	cellsFile = "cells.cbor"
	// cellsInterval is the least time between two writes of it. What is lost with it
	// costs the time until servers announce themselves.
	cellsInterval = 500 * time.Millisecond
)

// cellMemory keeps what a keeper remembers of the cells in the data folder. It is
// written aside: no tick waits for it, and only the newest state counts.
type cellMemory struct {
	*provider.Common
	newest chan []messenger.StoredCell
}

func newCellMemory(common *provider.Common) *cellMemory {
	return &cellMemory{Common: common, newest: make(chan []messenger.StoredCell, 1)}
}

func (memory *cellMemory) path() string {
	return filepath.Join(memory.Settings.DataFolder, cellsFile)
}

// remember takes what is to be written next, in place of what has not been written yet.
// Only the runner calls it.
func (memory *cellMemory) remember(cells []messenger.StoredCell) {
	if memory.Settings.DataFolder == "" {
		return
	}
	select {
	case <-memory.newest:
	default:
	}
	memory.newest <- cells
}

// run writes until ctx is done.
func (memory *cellMemory) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case cells := <-memory.newest:
			if err := memory.write(cells); err != nil {
				memory.Log.Error("cells not remembered", "err", err)
			}
			sleep(ctx, cellsInterval)
		}
	}
}

func (memory *cellMemory) write(cells []messenger.StoredCell) error {
	if err := writeChecked(memory.path(), cells); err != nil {
		return err
	}
	return syncPaths(memory.path(), memory.Settings.DataFolder)
}

// recall hands what was remembered to the coordinator. A file that can't be read is as
// good as none: servers announce themselves.
func (memory *cellMemory) recall(ctx context.Context, daemon *Daemon) {
	if memory.Settings.DataFolder == "" {
		return
	}
	var cells []messenger.StoredCell
	err := readChecked(memory.path(), &cells)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		memory.Log.Error("remembered cells not read", "file", memory.path(), "err", err)
		return
	}
	daemon.runner.Post(ctx, &coordinator.CellsRestored{Cells: cells})
}
