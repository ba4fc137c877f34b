package fakedisk

import (
	"math/rand/v2"
	"slices"
	"syscall"
)

// node is the contents of a file, whatever its names.
type node struct {
	// content is what reads back, durable what the disk holds.
	content []byte
	durable []byte
	pending []write
}

// write is a write at an offset, or a truncation to it when data is nil.
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

// crash leaves of each unsynced write all, nothing, a beginning or an end.
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

// change counts the call; a handle of a process that has ended is dead.
func (file *handle) change() error {
	if file.generation != file.disk.generation {
		return syscall.EBADF
	}
	return file.disk.change()
}

// WriteAt writes what there is room for.
func (file *handle) WriteAt(data []byte, offset int64) (int, error) {
	file.disk.mutex.Lock()
	defer file.disk.mutex.Unlock()
	if err := file.change(); err != nil {
		return 0, err
	}
	grown := max(offset+int64(len(data))-int64(len(file.node.content)), 0)
	missing := max(grown-max(file.disk.Room, 0), 0)
	written := data[:int64(len(data))-missing]
	file.disk.Room -= grown - missing
	if len(written) > 0 {
		file.record(write{offset: offset, data: slices.Clone(written)})
	}
	if missing > 0 {
		return len(written), syscall.ENOSPC
	}
	return len(written), nil
}

// Truncate sets the size.
func (file *handle) Truncate(size int64) error {
	file.disk.mutex.Lock()
	defer file.disk.mutex.Unlock()
	if err := file.change(); err != nil {
		return err
	}
	file.disk.Room += int64(len(file.node.content)) - size
	file.record(write{offset: size})
	return nil
}

func (file *handle) record(change write) {
	file.node.content = change.apply(file.node.content)
	file.node.pending = append(file.node.pending, change)
}

// Sync makes the writes durable, or fails and forgets that they weren't.
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

// Close does nothing.
func (file *handle) Close() error { return nil }
