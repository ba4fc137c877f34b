package journaler

import (
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Disk is the host's own file system.
type Disk struct{}

// MakeFolder creates a folder with its parents and syncs its parent folder.
func (disk Disk) MakeFolder(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	return disk.SyncFolder(filepath.Dir(folder))
}

// Lock locks the file with flock. The kernel releases the lock when the process ends, however it
// ends, so that a stale lock can never prevent the restart of a keeper.
func (disk Disk) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close() // nothing was written
		return nil, eris.Wrap(err, "flock")
	}
	return file, nil
}

// List returns the sorted names of the files in a folder, without subfolders.
func (disk Disk) List(folder string) ([]string, error) {
	found, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, file := range found {
		if !file.IsDir() {
			names = append(names, file.Name())
		}
	}
	return names, nil
}

// Create opens a new empty file and replaces an existing one.
func (disk Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Open opens an existing file for reading and writing.
func (disk Disk) Open(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR, fileMode)
}

// Read returns the whole contents of a file.
func (disk Disk) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Rename moves a file and replaces any file at newPath.
func (disk Disk) Rename(oldPath, newPath string) error { return os.Rename(oldPath, newPath) }

// Remove removes a file; only SyncFolder makes that durable.
func (disk Disk) Remove(path string) error { return os.Remove(path) }

// SyncFolder syncs the directory entries of a folder.
func (disk Disk) SyncFolder(folder string) error {
	opened, err := os.Open(folder)
	if err != nil {
		return err
	}
	err = opened.Sync()
	return firstError(err, opened.Close())
}
