package assembler

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// rememberedFile is the file of the configuration in force, in the data folder.
const rememberedFile = "in-force.cbor"

// memory keeps the configuration in force in the data folder. Without it, a host
// that starts again would serve under the limits of its settings file until it
// hears from others, in a cut-off failure domain perhaps for minutes: an operator
// would see the version go back, and teams would run under withdrawn quotas.
type memory struct {
	*provider.Common
	// unsynced holds a token when the file has not been synced yet.
	unsynced chan struct{}
	// patience is how long a tick waits for the file to be replaced.
	patience time.Duration

	mutex sync.Mutex
	// written is the version in the file, as far as this process wrote it.
	written identifier.ConfigVersion
}

func newMemory(common *provider.Common) *memory {
	return &memory{Common: common, unsynced: make(chan struct{}, 1), patience: rememberPatience}
}

func (memory *memory) path() string {
	return filepath.Join(memory.Settings.DataFolder, rememberedFile)
}

// rememberPatience is the patience of a daemon. The file takes well under a millisecond;
// a disk that stalls takes seconds, in which this host would be silent and count as dead.
const rememberPatience = 20 * time.Millisecond

// remember replaces the file before anybody is told of the version, so that the
// death of the process loses nothing that was seen. The sync follows behind the
// tick, which must not wait for a disk; a power loss in between leaves an older
// file, or one whose checksum is wrong. So does the death of the process while the
// disk stalls.
func (memory *memory) remember(version configurer.Version) {
	if memory.Settings.DataFolder == "" {
		return
	}
	replaced := make(chan struct{})
	go func() {
		defer close(replaced)
		memory.replace(version)
	}()
	select {
	case <-replaced:
	case <-time.After(memory.patience):
		memory.Log.Warn("configuration not remembered yet, the disk is slow", "version", version.Version)
	}
}

// replace writes a version unless a newer one was written meanwhile.
func (memory *memory) replace(version configurer.Version) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if version.Version < memory.written {
		return
	}
	if err := writeChecked(memory.path(), &version); err != nil {
		memory.Log.Error("configuration not remembered", "version", version.Version, "err", err)
		return
	}
	memory.written = version.Version
	select {
	case memory.unsynced <- struct{}{}:
	default:
	}
}

// run syncs what was written until ctx is done.
func (memory *memory) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-memory.unsynced:
			if err := memory.sync(); err != nil {
				memory.Log.Error("remembered configuration not synced", "err", err)
			}
		}
	}
}

func (memory *memory) sync() error {
	return syncPaths(memory.path(), memory.Settings.DataFolder)
}

// syncPaths makes files, and the names in folders, outlive a loss of power.
func syncPaths(paths ...string) error {
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return eris.Wrap(err, "open")
		}
		err = file.Sync()
		_ = file.Close()
		if err != nil {
			return eris.Wrap(err, "sync")
		}
	}
	return nil
}

// recall hands the remembered configuration to the coordinator. A file that can't
// be read is as good as none: the others know what is in force.
func (memory *memory) recall(ctx context.Context, daemon *Daemon) {
	if memory.Settings.DataFolder == "" {
		return
	}
	version, err := memory.read()
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		memory.Log.Error("remembered configuration not read", "file", memory.path(), "err", err)
		return
	}
	daemon.runner.Post(ctx, &coordinator.ConfigRestored{Version: version})
}

func (memory *memory) read() (configurer.Version, error) {
	var version configurer.Version
	err := readChecked(memory.path(), &version)
	return version, err
}
