package journaler

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/rotisserie/eris"
)

//go:generate enumer -type=ErrorKind -transform=kebab -text -output=errorkind_enumer.go

// ErrorKind classifies an Error by how a caller can react to it.
type ErrorKind int

const (
	// Invalid is a request that would corrupt the log; nothing was written.
	Invalid ErrorKind = iota
	// DiskFull is a write that failed for lack of disk space. Nothing of it remains, and
	// later writes succeed once there is space.
	DiskFull
	// WriteFailed is a write that failed for another reason than a full disk.
	WriteFailed
	// SyncFailed is a failed sync: it is unknown whether the data is durable.
	SyncFailed
	// ReadFailed is a read that failed.
	ReadFailed
	// Broken is a write to a journal that refuses writes after an earlier failure, until it
	// is reopened.
	Broken
	// Locked means that another process uses the data folder.
	Locked
	// CorruptRecord is damage that a crash can't have caused.
	CorruptRecord
	// MissingSegment is a gap in the sequence of segment files.
	MissingSegment
	// MissingSnapshot is a log whose beginning isn't covered by any readable snapshot.
	MissingSnapshot
	// UnsupportedFormat is a file of a format version that this code can't read.
	UnsupportedFormat
	// QueueFull is a batch that exceeds the queue of a Writer; nothing was written.
	QueueFull
	// Stopped is a batch that was submitted after a Writer had stopped.
	Stopped
)

// Error is the error type of this package.
type Error struct {
	Operation string
	Kind      ErrorKind
	// File is the name of the affected file in the data folder, if there is one.
	File string
	// Offset is the position of the damage in File, for CorruptRecord.
	Offset int64
	Err    error
}

// Error formats the operation, the kind, the file with the offset, and the cause.
func (err *Error) Error() string {
	text := fmt.Sprintf("journal %s: %s", err.Operation, err.Kind)
	if err.File != "" {
		text += " in " + err.File
	}
	if err.Kind == CorruptRecord {
		text += fmt.Sprintf(" at offset %d", err.Offset)
	}
	if err.Err != nil {
		text += ": " + err.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Err }

// KindOf returns the kind of the outermost Error in err's chain, and whether there is one.
func KindOf(err error) (ErrorKind, bool) {
	var journalError *Error
	if !errors.As(err, &journalError) {
		return 0, false
	}
	return journalError.Kind, true
}

// storageError wraps a file system error. A failed write for lack of space gets the kind
// disk-full.
func storageError(operation, file string, kind ErrorKind, err error) *Error {
	if kind == WriteFailed && IsDiskFull(err) {
		kind = DiskFull
	}
	return &Error{Operation: operation, Kind: kind, File: file, Err: eris.Wrap(err, "file system")}
}

func corruptError(file string, offset int64, reason string) *Error {
	return &Error{Operation: "recover", Kind: CorruptRecord, File: file, Offset: offset, Err: eris.New(reason)}
}

// IsDiskFull reports whether an error of the file system means that a file may not grow now: no space, a
// quota or a limit on its size.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}
