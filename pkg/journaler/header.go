package journaler

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// Each file begins with a header, whose layout is the same in every later format version:
//
//	magic     8 bytes  segmentMagic or snapshotMagic
//	version   4 bytes  little endian
//	number    8 bytes  a segment's sequence number, a snapshot's payload length
//	checksum  4 bytes  CRC-32C of the above and of a snapshot's payload
const (
	segmentMagic  = "stoajrnl"
	snapshotMagic = "stoasnap"
	formatVersion = 1
	headerBytes   = 24
)

func encodeHeader(magic string, number uint64, payload []byte) []byte {
	header := make([]byte, headerBytes)
	copy(header, magic)
	binary.LittleEndian.PutUint32(header[8:], formatVersion)
	binary.LittleEndian.PutUint64(header[12:], number)
	binary.LittleEndian.PutUint32(header[20:], headerChecksum(header, payload))
	return header
}

// checkHeader validates the header of a file together with the payload that its checksum covers.
// An intact header of another format version gives an error of the kind unsupported-format.
func checkHeader(file string, content []byte, magic string, number uint64, payload []byte) error {
	if len(content) < headerBytes || string(content[:8]) != magic {
		return corruptError(file, 0, "the file doesn't begin with a header of its type")
	}
	if binary.LittleEndian.Uint32(content[20:]) != headerChecksum(content, payload) {
		return corruptError(file, 0, "the header's checksum doesn't match")
	}
	if version := binary.LittleEndian.Uint32(content[8:]); version != formatVersion {
		err := eris.Errorf("format version %d, this program reads %d", version, formatVersion)
		return &Error{Operation: "recover", Kind: UnsupportedFormat, File: file, Err: err}
	}
	if binary.LittleEndian.Uint64(content[12:]) != number {
		return corruptError(file, 0, "the header's number doesn't match the file")
	}
	return nil
}

func headerChecksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:20], castagnoli), castagnoli, payload)
}
