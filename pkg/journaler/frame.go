package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// A frame holds all records that are written before one sync:
//
//	marker    4 bytes  frameMarker
//	length    4 bytes  of the payload, little endian
//	checksum  4 bytes  CRC-32C, little endian
//	payload   CBOR of a group
//
// The checksum also covers the segment's sequence number and the frame's offset. Without them, a
// frame inside an entry's data, or one that an old file left in a reused block, would count as a
// valid frame of the log.
const (
	frameMarker      = "\xf7jfr"
	frameHeaderBytes = 12
	maxPayloadBytes  = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame encodes records as the frame at an offset of a segment.
func encodeFrame(records []record, sequence uint64, offset int64) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, frameHeaderBytes))
	if err := cbor.MarshalToBuffer(group{Records: records}, &buffer); err != nil {
		return nil, eris.Wrap(err, "encode the records")
	}
	frame := buffer.Bytes()
	payload := frame[frameHeaderBytes:]
	if len(payload) > maxPayloadBytes {
		return nil, eris.Errorf("%d bytes exceed the maximum size of a frame", len(payload))
	}
	copy(frame, frameMarker)
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[8:], frameChecksum(payload, sequence, offset))
	return frame, nil
}

// readFrame returns the payload of the frame at offset and the offset after the frame.
func readFrame(content []byte, sequence uint64, offset int64) (payload []byte, next int64, valid bool) {
	rest := content[offset:]
	if len(rest) < frameHeaderBytes || string(rest[:4]) != frameMarker {
		return nil, 0, false
	}
	length := int64(binary.LittleEndian.Uint32(rest[4:]))
	if length > int64(len(rest)-frameHeaderBytes) {
		return nil, 0, false
	}
	payload = rest[frameHeaderBytes : frameHeaderBytes+length]
	if binary.LittleEndian.Uint32(rest[8:]) != frameChecksum(payload, sequence, offset) {
		return nil, 0, false
	}
	return payload, offset + frameHeaderBytes + length, true
}

// findFrame searches for a valid frame at or after offset from.
func findFrame(content []byte, sequence uint64, from int64) (offset int64, found bool) {
	for from < int64(len(content)) {
		distance := bytes.Index(content[from:], []byte(frameMarker))
		if distance < 0 {
			return 0, false
		}
		from += int64(distance)
		if _, _, valid := readFrame(content, sequence, from); valid {
			return from, true
		}
		from++
	}
	return 0, false
}

func frameChecksum(payload []byte, sequence uint64, offset int64) uint32 {
	var place [20]byte
	binary.LittleEndian.PutUint64(place[0:], sequence)
	binary.LittleEndian.PutUint64(place[8:], uint64(offset))
	binary.LittleEndian.PutUint32(place[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, payload)
}
