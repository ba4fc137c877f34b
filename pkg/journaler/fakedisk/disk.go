// Package fakedisk implements an in-memory file system that loses, tears and refuses writes as
// disks and kernels do. It is for tests only.
package fakedisk

import (
	"errors"
	"io"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sort"
	"sync"
	"syscall"

	"github.com/stoathitch/stoathitch/pkg/journaler"
)

// Unlimited is a value of FreeBytes that never runs out.
const Unlimited = int64(1) << 60

// Errors that injected faults return.
var (
	// ErrCrashed is returned by every changing call after a crash, until Crash or Kill starts
	// a new process.
	ErrCrashed = errors.New("the machine has crashed")
	// ErrSync is returned by a failed sync.
	ErrSync = syscall.EIO
	// ErrLocked is returned by Lock while the lock is held.
	ErrLocked = errors.New("locked")
)

// Disk is a file system with one folder. When the machine crashes, each unsynced write is kept,
// lost or torn at any byte, as Random decides.
type Disk struct {
	// Random decides which unsynced changes survive a crash.
	Random *rand.Rand
	// FreeBytes is the number of bytes that can still be allocated.
	FreeBytes int64
	// FailSyncs is the number of next file syncs that fail. After that the kernel treats the
	// pages as clean: they can be read, but no later sync writes them.
	FailSyncs int
	// CallsToCrash is the number of changing calls until the machine crashes; zero means no
	// crash.
	CallsToCrash int

	mutex        sync.Mutex
	names        map[string]*node
	durableNames map[string]*node
	pending      []nameChange
	locked       bool
	crashed      bool
	generation   int
}

// New returns an empty disk with unlimited free space.
func New(seed uint64) *Disk {
	return &Disk{
		Random:       rand.New(rand.NewPCG(seed, 0)),
		FreeBytes:    Unlimited,
		names:        make(map[string]*node),
		durableNames: make(map[string]*node),
	}
}

// nameChange sets a name to a node, or removes it when the node is nil.
type nameChange struct {
	name string
	node *node
}

// Kill ends the process but not the machine: everything written can still be read.
func (disk *Disk) Kill() {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	disk.newProcess()
}

// Crash crashes the machine: each unsynced write is kept, lost or torn.
func (disk *Disk) Crash() {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	for _, change := range disk.pending {
		if disk.Random.IntN(2) == 0 {
			applyName(disk.durableNames, change)
		}
	}
	disk.pending = nil
	disk.names = make(map[string]*node)
	for _, name := range sortedNames(disk.durableNames) {
		file := disk.durableNames[name]
		file.crash(disk.Random)
		disk.names[name] = file
	}
	disk.newProcess()
}

func (disk *Disk) newProcess() {
	disk.locked = false
	disk.crashed = false
	disk.CallsToCrash = 0
	disk.FailSyncs = 0
	disk.generation++
}

// Contents returns a copy of the contents of all files by name.
func (disk *Disk) Contents() map[string][]byte {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	contents := make(map[string][]byte)
	for name, file := range disk.names {
		contents[name] = slices.Clone(file.content)
	}
	return contents
}

// Put creates or replaces a file durably.
func (disk *Disk) Put(name string, content []byte) {
	file := &node{content: slices.Clone(content), durable: slices.Clone(content)}
	disk.names[name] = file
	disk.durableNames[name] = file
}

// Delete removes a file durably.
func (disk *Disk) Delete(name string) {
	delete(disk.names, name)
	delete(disk.durableNames, name)
}

// countChange counts a changing call and returns ErrCrashed once the machine has crashed.
func (disk *Disk) countChange() error {
	if disk.crashed {
		return ErrCrashed
	}
	if disk.CallsToCrash > 0 {
		disk.CallsToCrash--
		disk.crashed = disk.CallsToCrash == 0
	}
	return nil
}

// MakeFolder does nothing, because there is only one folder.
func (disk *Disk) MakeFolder(string) error { return nil }

// Lock acquires the only lock, which all paths share.
func (disk *Disk) Lock(string) (io.Closer, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if disk.locked {
		return nil, ErrLocked
	}
	disk.locked = true
	return &lock{disk: disk, generation: disk.generation}, nil
}

// List returns all file names, sorted.
func (disk *Disk) List(string) ([]string, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return sortedNames(disk.names), nil
}

// Create opens a new empty file.
func (disk *Disk) Create(path string) (journaler.File, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.countChange(); err != nil {
		return nil, err
	}
	created := &node{}
	disk.rename(filepath.Base(path), created)
	return &handle{disk: disk, node: created, generation: disk.generation}, nil
}

// Open opens an existing file.
func (disk *Disk) Open(path string) (journaler.File, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	found := disk.names[filepath.Base(path)]
	if found == nil {
		return nil, syscall.ENOENT
	}
	return &handle{disk: disk, node: found, generation: disk.generation}, nil
}

// Read returns a copy of the contents of a file.
func (disk *Disk) Read(path string) ([]byte, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	found := disk.names[filepath.Base(path)]
	if found == nil {
		return nil, syscall.ENOENT
	}
	return slices.Clone(found.content), nil
}

// Rename replaces any file at newPath.
func (disk *Disk) Rename(oldPath, newPath string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.countChange(); err != nil {
		return err
	}
	moved := disk.names[filepath.Base(oldPath)]
	if moved == nil {
		return syscall.ENOENT
	}
	disk.rename(filepath.Base(newPath), moved)
	disk.rename(filepath.Base(oldPath), nil)
	return nil
}

// Remove removes a file and frees its space.
func (disk *Disk) Remove(path string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.countChange(); err != nil {
		return err
	}
	removed := disk.names[filepath.Base(path)]
	if removed == nil {
		return syscall.ENOENT
	}
	disk.FreeBytes += int64(len(removed.content))
	disk.rename(filepath.Base(path), nil)
	return nil
}

// SyncFolder makes all creations, renames and removals durable.
func (disk *Disk) SyncFolder(string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.countChange(); err != nil {
		return err
	}
	for _, change := range disk.pending {
		applyName(disk.durableNames, change)
	}
	disk.pending = nil
	return nil
}

func (disk *Disk) rename(name string, target *node) {
	change := nameChange{name: name, node: target}
	applyName(disk.names, change)
	disk.pending = append(disk.pending, change)
}

func applyName(names map[string]*node, change nameChange) {
	if change.node == nil {
		delete(names, change.name)
		return
	}
	names[change.name] = change.node
}

func sortedNames(names map[string]*node) []string {
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	return sorted
}

type lock struct {
	disk       *Disk
	generation int
}

// Close releases the lock, unless its process has ended.
func (held *lock) Close() error {
	held.disk.mutex.Lock()
	defer held.disk.mutex.Unlock()
	if held.generation == held.disk.generation {
		held.disk.locked = false
	}
	return nil
}
