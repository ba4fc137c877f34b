// Package fakedisk is a file system in memory that loses, tears and refuses
// writes as disks and kernels do. It serves tests only.
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

// Unlimited is a Room that never runs out.
const Unlimited = int64(1) << 60

// Errors of the faults.
var (
	// ErrCrashed comes from every call from the crash on to the next Restart.
	ErrCrashed = errors.New("the machine has crashed")
	// ErrSync is a failed sync.
	ErrSync = syscall.EIO
	// ErrLocked is a lock file that is held.
	ErrLocked = errors.New("locked")
)

// Disk is a file system with one folder. What wasn't synced when the machine
// crashes is kept, lost or torn at any byte, as Random says.
type Disk struct {
	// Random decides what a crash leaves.
	Random *rand.Rand
	// Room is how many more bytes can be allocated.
	Room int64
	// FailSyncs is how many of the next syncs of files fail. The kernel takes
	// the pages for clean after that: they read back, and no later sync writes
	// them.
	FailSyncs int
	// CallsToCrash counts the changing calls down to a crash; zero means none.
	CallsToCrash int

	mutex        sync.Mutex
	names        map[string]*node
	durableNames map[string]*node
	pending      []nameChange
	locked       bool
	crashed      bool
	generation   int
}

// New returns an empty disk with unlimited room.
func New(seed uint64) *Disk {
	return &Disk{
		Random:       rand.New(rand.NewPCG(seed, 0)),
		Room:         Unlimited,
		names:        make(map[string]*node),
		durableNames: make(map[string]*node),
	}
}

// nameChange sets a name to a node, or removes it when the node is nil.
type nameChange struct {
	name string
	node *node
}

// Kill ends the process but not the machine: what was written reads back.
func (disk *Disk) Kill() {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	disk.newProcess()
}

// Crash ends the machine: what wasn't synced is kept, lost or torn.
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

// Contents returns a copy of all files.
func (disk *Disk) Contents() map[string][]byte {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	contents := make(map[string][]byte)
	for name, file := range disk.names {
		contents[name] = slices.Clone(file.content)
	}
	return contents
}

// Put sets the durable contents of a file.
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

// change counts a changing call and fails once the machine has crashed.
func (disk *Disk) change() error {
	if disk.crashed {
		return ErrCrashed
	}
	if disk.CallsToCrash > 0 {
		disk.CallsToCrash--
		disk.crashed = disk.CallsToCrash == 0
	}
	return nil
}

// MakeFolder does nothing: there is one folder.
func (disk *Disk) MakeFolder(string) error { return nil }

// Lock takes the one lock.
func (disk *Disk) Lock(string) (io.Closer, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if disk.locked {
		return nil, ErrLocked
	}
	disk.locked = true
	return &lock{disk: disk, generation: disk.generation}, nil
}

// List returns all names, sorted.
func (disk *Disk) List(string) ([]string, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return sortedNames(disk.names), nil
}

// Create opens a new empty file.
func (disk *Disk) Create(path string) (journaler.File, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.change(); err != nil {
		return nil, err
	}
	created := &node{}
	disk.rename(filepath.Base(path), created)
	return &handle{disk: disk, node: created, generation: disk.generation}, nil
}

// Open opens a file that exists.
func (disk *Disk) Open(path string) (journaler.File, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	found := disk.names[filepath.Base(path)]
	if found == nil {
		return nil, syscall.ENOENT
	}
	return &handle{disk: disk, node: found, generation: disk.generation}, nil
}

// Read returns a copy of the contents.
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
	if err := disk.change(); err != nil {
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

// Remove removes a file and frees its room.
func (disk *Disk) Remove(path string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.change(); err != nil {
		return err
	}
	removed := disk.names[filepath.Base(path)]
	if removed == nil {
		return syscall.ENOENT
	}
	disk.Room += int64(len(removed.content))
	disk.rename(filepath.Base(path), nil)
	return nil
}

// SyncFolder makes all changes of names durable.
func (disk *Disk) SyncFolder(string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.change(); err != nil {
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

// Close lets the lock go.
func (held *lock) Close() error {
	held.disk.mutex.Lock()
	defer held.disk.mutex.Unlock()
	if held.generation == held.disk.generation {
		held.disk.locked = false
	}
	return nil
}
