package membership

import (
	"encoding/binary"
	"errors"

	"foldslip/internal/fleet/view"
)

// MaxLocalityNameBytes bounds each name of a locality in metadata.
const MaxLocalityNameBytes = 48

// metadataSize is the size of metadata without a locality: version, incarnation, whether the gateway leaves.
const metadataSize = 1 + 8 + 1

var errMetadata = errors.New("metadata of another version")

// metadata is what a gateway sends about itself with the detector's messages, little-endian:
//
//	1 byte   ProtocolVersion
//	8 bytes  incarnation
//	1 byte   1 if it leaves, else 0
//	and, where it was given a locality: region, zone and site, each 1 byte length and that many bytes
//
// A build that knows no localities refuses a gateway that sends one, so localities are set once all gateways run a build that knows them
// (docs/fleet-broadcast-operators.md).
type metadata struct {
	incarnation uint64
	leaving     bool
	locality    view.Locality
}

// append writes the metadata after b.
func (m metadata) append(b []byte) []byte {
	b = append(b, ProtocolVersion)
	b = binary.LittleEndian.AppendUint64(b, m.incarnation)
	if m.leaving {
		b = append(b, 1)
	} else {
		b = append(b, 0)
	}
	if m.locality == (view.Locality{}) {
		return b
	}
	for _, name := range []string{m.locality.Region, m.locality.Zone, m.locality.Site} {
		b = append(b, byte(len(name)))
		b = append(b, name...)
	}
	return b
}

// parseMetadata reads metadata; all of it must be readable. Else it returns errMetadata.
func parseMetadata(b []byte) (metadata, error) {
	if len(b) < metadataSize || b[0] != ProtocolVersion || b[metadataSize-1] > 1 {
		return metadata{}, errMetadata
	}
	parsed := metadata{incarnation: binary.LittleEndian.Uint64(b[1:]), leaving: b[metadataSize-1] == 1}
	rest := b[metadataSize:]
	if len(rest) == 0 {
		return parsed, nil
	}
	for _, name := range []*string{&parsed.locality.Region, &parsed.locality.Zone, &parsed.locality.Site} {
		if len(rest) == 0 || rest[0] > MaxLocalityNameBytes || len(rest) < 1+int(rest[0]) {
			return metadata{}, errMetadata
		}
		end := 1 + int(rest[0])
		*name = string(rest[1:end])
		rest = rest[end:]
	}
	if len(rest) > 0 || parsed.locality == (view.Locality{}) {
		return metadata{}, errMetadata
	}
	return parsed, nil
}
