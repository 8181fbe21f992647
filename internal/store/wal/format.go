package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A file consists of a header and entries. The header contains the magic string, the format version (4 bytes), the
// generation (8 bytes) and the checksum of these fields (8 bytes). An entry contains its length (4 bytes), its checksum
// (8 bytes) and its content. Numbers are little-endian. Checksums are computed with xxhash. The first entry is the
// snapshot.
const (
	magic           = "foldslip"
	checksumSize    = 8
	headerSize      = len(magic) + 4 + 8 + checksumSize
	entryHeaderSize = 4 + checksumSize
)

// FormatVersion is the version of the file format. Files of older versions are read. Files of newer versions are
// rejected with ErrNewerFormat.
const FormatVersion = 1

// MaxEntrySize is the maximum size in bytes of one snapshot or change.
const MaxEntrySize = 16 << 20

// ErrNewerFormat reports a file whose format version is newer than FormatVersion. The remedy is to run a program that
// supports it or to remove the files.
var ErrNewerFormat = errors.New("the file format is newer than this program supports")

// Errors of a generation's file that cannot be used.
var (
	errNoHeader       = errors.New("the file header is truncated or lacks the magic string \"foldslip\"")
	errHeaderChecksum = errors.New("the checksum of the file header does not match")
	errNoSnapshot     = errors.New("the snapshot is truncated or its checksum does not match")
)

// wrongGenerationError reports a file whose header has a different generation than the file name. Its value is the
// generation in the header.
type wrongGenerationError uint64

func (e wrongGenerationError) Error() string {
	return fmt.Sprintf("the file header has generation %d, which differs from the file name", uint64(e))
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

// checkHeader returns an error unless content begins with a valid header of the given generation.
func checkHeader(content []byte, generation uint64) error {
	if len(content) < headerSize || string(content[:len(magic)]) != magic {
		return errNoHeader
	}
	header := content[:headerSize]
	if xxhash.Sum64(header[:headerSize-checksumSize]) != binary.LittleEndian.Uint64(header[headerSize-checksumSize:]) {
		return errHeaderChecksum
	}
	if version := binary.LittleEndian.Uint32(header[len(magic):]); version > FormatVersion {
		return fmt.Errorf("format version %d, expected at most %d: %w", version, FormatVersion, ErrNewerFormat)
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

// entryChecksum returns the checksum of an entry and its place, which is its generation, index and length. The place is
// included so that bytes of an older file at the same offset are not accepted as this entry.
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

// parseGeneration returns the entries of a file up to the first one that is truncated or damaged, and the number of
// bytes after the last entry returned. It fails if the first entry is truncated or damaged.
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
