package journaler

import "io"

// FileSystem is the set of file operations that the journal needs. Tests replace it with one that
// injects faults.
type FileSystem interface {
	// MakeFolder creates a folder durably unless it exists.
	MakeFolder(folder string) error
	// Lock locks a file for this process until the result is closed. It fails at once if
	// another process holds the lock.
	Lock(path string) (io.Closer, error)
	// List returns the sorted names of the files in a folder.
	List(folder string) ([]string, error)
	// Create opens a new empty file and replaces an existing one.
	Create(path string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(path string) (File, error)
	// Read returns the contents of a file without changing anything.
	Read(path string) ([]byte, error)
	// Rename moves a file and replaces any file at newPath.
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
