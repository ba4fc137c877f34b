package journaler

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/rotisserie/eris"
)

//go:generate enumer -type=ErrorKind -transform=kebab -text -output=errorkind_enumer.go

// ErrorKind tells what a caller can do about an Error.
type ErrorKind int

const (
	// Invalid is a request that would break the log; nothing was written.
	Invalid ErrorKind = iota
	// DiskFull is a write that found no room; nothing of it is left, and later
	// writes succeed once there is room.
	DiskFull
	// WriteFailed is a write that failed for another cause than a full disk.
	WriteFailed
	// SyncFailed is a sync that failed: what became of the data is unknown.
	SyncFailed
	// ReadFailed is a read that failed.
	ReadFailed
	// Broken is a write to a journal that an earlier failure has closed to
	// writes until it is opened anew.
	Broken
	// Locked is a data folder that another process uses.
	Locked
	// CorruptRecord is damage that no crash explains.
	CorruptRecord
	// MissingSegment is a gap in the segment files.
	MissingSegment
	// MissingSnapshot is a log whose beginning is covered by no readable
	// snapshot.
	MissingSnapshot
	// UnsupportedFormat is a file of a version that this code can't read.
	UnsupportedFormat
	// QueueFull is a batch that a Writer had no room for; nothing was written.
	QueueFull
	// Stopped is a batch that came to a Writer after its end.
	Stopped
)

// Error is the error of this package.
type Error struct {
	Operation string
	Kind      ErrorKind
	// File names the file concerned within the data folder, if there is one.
	File string
	// Offset is the place in File, for CorruptRecord.
	Offset int64
	Err    error
}

// Error tells the operation, the kind, the file with the offset, and the cause.
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

// KindOf returns the kind of the outermost Error in err's chain, and whether
// there is one.
func KindOf(err error) (ErrorKind, bool) {
	var journalError *Error
	if !errors.As(err, &journalError) {
		return 0, false
	}
	return journalError.Kind, true
}

// storageError wraps a failure of the file system; one for lack of room gets the
// kind disk-full.
func storageError(operation, file string, kind ErrorKind, err error) *Error {
	if kind == WriteFailed && isDiskFull(err) {
		kind = DiskFull
	}
	return &Error{Operation: operation, Kind: kind, File: file, Err: eris.Wrap(err, "file system")}
}

func corruptError(file string, offset int64, reason string) *Error {
	return &Error{Operation: "recover", Kind: CorruptRecord, File: file, Offset: offset, Err: eris.New(reason)}
}

func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
