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
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// configFile is the name of the stored configuration in force within the data folder.
const configFile = "in-force.cbor"

// configStore stores the configuration in force in the data folder. Without it, a restarted host
// would serve under the limits of its settings file until it receives the configuration from others,
// in a cut-off failure domain perhaps for minutes: an operator would see the version go back, and
// teams would run under withdrawn quotas.
type configStore struct {
	*provider.Common
	// unsynced holds a token while the file has not been written or synced yet.
	unsynced chan struct{}
	// retryInterval is the wait until a refused write is tried again.
	retryInterval time.Duration
	// saveTimeout is how long a tick waits for the file to be replaced.
	saveTimeout time.Duration

	mutex sync.Mutex
	// newest is the newest version to be stored, and unwritten reports that the file doesn't hold it, or
	// that its sync failed: a second sync could succeed without writing anything.
	newest    configurer.Version
	unwritten bool
	refusal   refusal
}

func newConfigStore(common *provider.Common) *configStore {
	return &configStore{Common: common, unsynced: make(chan struct{}, 1), saveTimeout: defaultSaveTimeout, retryInterval: fileRetryInterval}
}

func (configStore *configStore) path() string {
	return filepath.Join(configStore.Settings.DataFolder, configFile)
}

// defaultSaveTimeout is the saveTimeout of a daemon. Replacing the file takes well under a
// millisecond; on a disk that stalls it takes seconds, in which this host would be silent and be
// declared dead.
const defaultSaveTimeout = 20 * time.Millisecond

// save replaces the file before the version is announced to anybody, so that a crash of the process
// loses nothing that was visible. The sync runs in the background, since the tick must not wait for a
// disk; a power loss in between leaves an older file, or one with a wrong checksum. A crash of the
// process while the disk stalls does the same.
func (configStore *configStore) save(version configurer.Version) {
	if configStore.Settings.DataFolder == "" {
		return
	}
	replaced := make(chan struct{})
	go func() {
		defer close(replaced)
		configStore.write(version)
	}()
	select {
	case <-replaced:
	case <-time.After(configStore.saveTimeout):
		configStore.Log.Warn("configuration not remembered yet, the disk is slow", "version", version.Version)
	}
}

// write replaces the file unless a newer version was saved in the meantime. If the disk refuses, run
// tries again.
func (configStore *configStore) write(version configurer.Version) {
	configStore.mutex.Lock()
	defer configStore.mutex.Unlock()
	if version.Version < configStore.newest.Version {
		return
	}
	configStore.newest = version
	configStore.unwritten = true
	configStore.replaceFile()
	select {
	case configStore.unsynced <- struct{}{}:
	default:
	}
}

// replaceFile writes the newest version if the file doesn't hold it, and reports whether it does now.
// The mutex must be held.
func (configStore *configStore) replaceFile() bool {
	if !configStore.unwritten {
		return true
	}
	if err := writeChecked(configStore.path(), &configStore.newest); err != nil {
		if configStore.refusal.refused() {
			configStore.Log.Error("configuration not remembered", "version", configStore.newest.Version, "err", err)
		}
		return false
	}
	configStore.unwritten = false
	return true
}

// run syncs written files, and writes again what the disk refused, until ctx is done.
func (configStore *configStore) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-configStore.unsynced:
		}
		for ctx.Err() == nil && !configStore.makeDurable() {
			sleep(ctx, configStore.retryInterval)
		}
	}
}

// makeDurable writes and syncs the newest version and reports whether that succeeded.
func (configStore *configStore) makeDurable() bool {
	configStore.mutex.Lock()
	replaced := configStore.replaceFile()
	configStore.mutex.Unlock()
	if !replaced {
		return false
	}
	err := configStore.sync()
	if err != nil {
		configStore.mutex.Lock()
		configStore.unwritten = true
		configStore.mutex.Unlock()
		if configStore.refusal.refused() {
			configStore.Log.Error("remembered configuration not synced", "err", err)
		}
		return false
	}
	if tries, began := configStore.refusal.accepted(); tries > 0 {
		configStore.Log.Info("configuration remembered again", "tries", tries, "lasted", time.Since(began))
	}
	return true
}

func (configStore *configStore) sync() error {
	return syncPaths(configStore.path(), configStore.Settings.DataFolder)
}

// syncPaths syncs files, and the entries of folders, so that they survive a power loss.
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

// restore posts the stored configuration to the coordinator. An unreadable file is treated like a
// missing one, since other hosts know the configuration in force.
func (configStore *configStore) restore(ctx context.Context, daemon *Daemon) {
	if configStore.Settings.DataFolder == "" {
		return
	}
	version, err := configStore.read()
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		configStore.Log.Error("remembered configuration not read", "file", configStore.path(), "err", err)
		return
	}
	daemon.runner.Post(ctx, &coordinator.ConfigRestored{Version: version})
}

func (configStore *configStore) read() (configurer.Version, error) {
	var version configurer.Version
	err := readChecked(configStore.path(), &version)
	return version, err
}
