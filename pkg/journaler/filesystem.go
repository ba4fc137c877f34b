package journaler

import "io"

// FileSystem is what the journal needs of a disk. Tests put a faulty one in its
// place.
type FileSystem interface {
	// MakeFolder creates a folder, durably, unless it is there.
	MakeFolder(folder string) error
	// Lock takes the lock file for this process until the result is closed. It
	// fails at once when another holds it.
	Lock(path string) (io.Closer, error)
	// List returns the names of the files in a folder, sorted.
	List(folder string) ([]string, error)
	// Create opens a new empty file, in place of any old one.
	Create(path string) (File, error)
	// Open opens a file that exists, for reading and writing.
	Open(path string) (File, error)
	// Read returns the contents of a file, and changes nothing.
	Read(path string) ([]byte, error)
	// Rename replaces any file at newPath.
	Rename(oldPath, newPath string) error
	Remove(path string) error
	// SyncFolder makes creations, renames and removals in a folder durable.
	SyncFolder(folder string) error
}

// File is an open file. Written bytes are durable only after Sync.
type File interface {
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	Sync() error
}
