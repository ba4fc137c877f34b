package assembler

import (
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// checksumLength is the length in bytes of the xxHash checksum at the start of a file.
const checksumLength = 8

var errWrongChecksum = eris.New("its checksum is wrong")

// writeChecked replaces a file by a checksum and the CBOR encoding of a value. It doesn't sync:
// after a power loss the file may be torn, which readChecked detects.
func writeChecked(path string, value any) error {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	content := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(encoded))
	content = append(content, encoded...)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return eris.Wrap(err, "make the data folder")
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, content, 0o644); err != nil {
		return eris.Wrap(err, "write")
	}
	return eris.Wrap(os.Rename(temporary, path), "rename")
}

// readChecked reads a file that writeChecked wrote. It returns errWrongChecksum for a torn file.
func readChecked(path string, value any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if len(content) < checksumLength || binary.BigEndian.Uint64(content) != xxhash.Sum64(content[checksumLength:]) {
		return errWrongChecksum
	}
	return cbor.Unmarshal(content[checksumLength:], value)
}
