package fakedisk

import (
	"math/rand/v2"
	"slices"
	"syscall"
)

// node holds the contents of a file independently of its names, like an inode.
type node struct {
	// content is what reads return and durable what is on the disk.
	content []byte
	durable []byte
	pending []write
}

// write is a write at an offset, or a truncation to it if data is nil.
type write struct {
	offset int64
	data   []byte
}

func (change write) apply(content []byte) []byte {
	if change.data == nil {
		return resize(content, change.offset)
	}
	end := change.offset + int64(len(change.data))
	if int64(len(content)) < end {
		content = resize(content, end)
	}
	copy(content[change.offset:], change.data)
	return content
}

func resize(content []byte, size int64) []byte {
	if size <= int64(len(content)) {
		return content[:size:size]
	}
	return append(slices.Clip(content), make([]byte, size-int64(len(content)))...)
}

// crash keeps all, nothing, a prefix or a suffix of each unsynced write.
func (file *node) crash(random *rand.Rand) {
	for _, change := range file.pending {
		if random.IntN(3) == 0 {
			continue
		}
		file.durable = change.tear(random).apply(file.durable)
	}
	file.pending = nil
	file.content = slices.Clone(file.durable)
}

func (change write) tear(random *rand.Rand) write {
	if len(change.data) == 0 {
		return change
	}
	place := random.IntN(len(change.data) + 1)
	switch random.IntN(3) {
	case 0:
		return write{offset: change.offset, data: slices.Clip(change.data[:place:place])}
	case 1:
		return write{offset: change.offset + int64(place), data: change.data[place:]}
	}
	return change
}

type handle struct {
	disk       *Disk
	node       *node
	generation int
}

// change counts a changing call. It fails on a handle of a process that has ended.
func (file *handle) change() error {
	if file.generation != file.disk.generation {
		return syscall.EBADF
	}
	return file.disk.countChange()
}

// WriteAt writes as much as the free space allows and returns ENOSPC if that isn't everything.
func (file *handle) WriteAt(data []byte, offset int64) (int, error) {
	file.disk.mutex.Lock()
	defer file.disk.mutex.Unlock()
	if err := file.change(); err != nil {
		return 0, err
	}
	grown := max(offset+int64(len(data))-int64(len(file.node.content)), 0)
	missing := max(grown-max(file.disk.FreeBytes, 0), 0)
	written := data[:int64(len(data))-missing]
	file.disk.FreeBytes -= grown - missing
	if len(written) > 0 {
		file.record(write{offset: offset, data: slices.Clone(written)})
	}
	if missing > 0 {
		return len(written), syscall.ENOSPC
	}
	return len(written), nil
}

// Truncate sets the size of the file.
func (file *handle) Truncate(size int64) error {
	file.disk.mutex.Lock()
	defer file.disk.mutex.Unlock()
	if err := file.change(); err != nil {
		return err
	}
	file.disk.FreeBytes += int64(len(file.node.content)) - size
	file.record(write{offset: size})
	return nil
}

func (file *handle) record(change write) {
	file.node.content = change.apply(file.node.content)
	file.node.pending = append(file.node.pending, change)
}

// Sync makes the writes durable. If it fails, the writes no longer count as pending, although they
// may not be durable.
func (file *handle) Sync() error {
	file.disk.mutex.Lock()
	defer file.disk.mutex.Unlock()
	if err := file.change(); err != nil {
		return err
	}
	if file.disk.FailSyncs > 0 {
		file.disk.FailSyncs--
		kept := slices.Clone(file.node.content)
		file.node.crash(file.disk.Random)
		file.node.content = kept
		return ErrSync
	}
	for _, change := range file.node.pending {
		file.node.durable = change.apply(file.node.durable)
	}
	file.node.pending = nil
	return nil
}

// Close always succeeds; the file needs no cleanup.
func (file *handle) Close() error { return nil }
