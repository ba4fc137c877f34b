package configurer

import (
	"bytes"
	"encoding/binary"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// maxUnpackedBytes bounds the memory that a compressed document may take once it is read.
const maxUnpackedBytes = 16 << 20

// PackDocument returns the form in which a document is stored: itself if it has at most so many bytes,
// and compressed otherwise. Programs that know no compression never get one that they could have stored.
// It returns an error of kind ErrorTooLarge if the compressed form has more bytes too.
func PackDocument(content []byte, most int) ([]byte, error) {
	if len(content) <= most {
		return content, nil
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, &Error{Operation: "compress document", Kind: ErrorTooLarge, Err: eris.Wrap(err, "zstd")}
	}
	defer func() { _ = encoder.Close() }()
	packed := encoder.EncodeAll(content, nil)
	if len(packed) > most {
		return nil, &Error{Operation: "compress document", Kind: ErrorTooLarge, Err: eris.Errorf("%d bytes, and %d compressed; at most %d can be stored", len(content), len(packed), most)}
	}
	return packed, nil
}

// Content returns the document of a version as it was submitted.
func (version *Version) Content() ([]byte, error) {
	if !isPacked(version.Document) {
		return version.Document, nil
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		return nil, &Error{Operation: "decompress document", Kind: ErrorPacked, Err: eris.Wrap(err, "zstd")}
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(version.Document, nil)
	if err != nil {
		return nil, &Error{Operation: "decompress document", Kind: ErrorPacked, Err: eris.Wrap(err, "zstd")}
	}
	return content, nil
}

// isPacked reports whether a document begins as a compressed one does. No JSON begins so.
func isPacked(document []byte) bool {
	return bytes.HasPrefix(document, binary.LittleEndian.AppendUint32(nil, zstdMagic))
}

// zstdMagic is the number that each zstd frame begins with.
const zstdMagic = 0xFD2FB528
