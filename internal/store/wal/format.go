package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A file is a header and entries. The header is the magic, the format version (4 bytes), the generation (8 bytes) and their checksum
// (8 bytes). An entry is its length (4 bytes), its checksum (8 bytes) and its content. Numbers are little-endian, checksums xxhash. The
// first entry is the snapshot.
const (
	magic           = "foldslip"
	checksumSize    = 8
	headerSize      = len(magic) + 4 + 8 + checksumSize
	entryHeaderSize = 4 + checksumSize
)

// FormatVersion is the version of the file format. An older one is read, a newer one refused.
const FormatVersion = 1

// MaxEntrySize is how many bytes one snapshot or change may have.
const MaxEntrySize = 16 << 20

// ErrNewerFormat reports files of a newer format than this program reads. Run a program that does, or remove them.
var ErrNewerFormat = errors.New("the files are of a newer form than this program reads")

// Reasons why a generation's file cannot be used.
var (
	errNoHeader       = errors.New("no head of a record")
	errHeaderChecksum = errors.New("the head's checksum does not hold")
	errNoSnapshot     = errors.New("the snapshot is not whole")
)

// wrongGenerationError is a file whose header has another generation than its name.
type wrongGenerationError uint64

func (e wrongGenerationError) Error() string {
	return fmt.Sprintf("the head is of generation %d", uint64(e))
}

func appendHeader(b []byte, generation uint64) []byte {
	return append(b, Header(FormatVersion, generation)...)
}

// Header returns the header of a generation's file.
func Header(version uint32, generation uint64) (b []byte) {
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, version)
	b = binary.LittleEndian.AppendUint64(b, generation)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// checkHeader checks the header of a file that should be of a generation.
func checkHeader(content []byte, generation uint64) error {
	if len(content) < headerSize || string(content[:len(magic)]) != magic {
		return errNoHeader
	}
	header := content[:headerSize]
	if xxhash.Sum64(header[:headerSize-checksumSize]) != binary.LittleEndian.Uint64(header[headerSize-checksumSize:]) {
		return errHeaderChecksum
	}
	if version := binary.LittleEndian.Uint32(header[len(magic):]); version > FormatVersion {
		return ErrNewerFormat
	}
	if got := binary.LittleEndian.Uint64(header[len(magic)+4:]); got != generation {
		return wrongGenerationError(got)
	}
	return nil
}

func appendEntry(b []byte, generation, index uint64, entry []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(entry)))
	b = binary.LittleEndian.AppendUint64(b, entryChecksum(generation, index, entry))
	return append(b, entry...)
}

// entryChecksum covers the entry and its place, so that bytes of an older file at the same place are not taken for it.
func entryChecksum(generation, index uint64, entry []byte) uint64 {
	var place [20]byte
	binary.LittleEndian.PutUint64(place[:], generation)
	binary.LittleEndian.PutUint64(place[8:], index)
	binary.LittleEndian.PutUint32(place[16:], uint32(len(entry)))
	hash := xxhash.New()
	hash.Write(place[:])
	hash.Write(entry)
	return hash.Sum64()
}

// parseGeneration returns the entries of a file up to the first that is not complete, and how many bytes follow the last of them. A file
// without a complete first entry is an error.
func parseGeneration(content []byte, generation uint64) (entries [][]byte, lostBytes int, err error) {
	if err := checkHeader(content, generation); err != nil {
		return nil, 0, err
	}
	rest := content[headerSize:]
	for len(rest) >= entryHeaderSize {
		size := int(binary.LittleEndian.Uint32(rest))
		if size > MaxEntrySize || len(rest) < entryHeaderSize+size {
			break
		}
		entry := rest[entryHeaderSize : entryHeaderSize+size]
		if entryChecksum(generation, uint64(len(entries)), entry) != binary.LittleEndian.Uint64(rest[4:]) {
			break
		}
		entries = append(entries, slices.Clip(entry))
		rest = rest[entryHeaderSize+size:]
	}
	if len(entries) == 0 {
		return nil, 0, errNoSnapshot
	}
	return entries, len(rest), nil
}
