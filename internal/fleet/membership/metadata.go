package membership

import (
	"encoding/binary"
	"errors"

	"foldslip/internal/fleet/view"
)

// MaxLocalityNameBytes is the maximum length in bytes of each name of a locality.
const MaxLocalityNameBytes = 48

// metadataSize is the size of encoded metadata without a locality: the version, the incarnation and the leaving flag.
const metadataSize = 1 + 8 + 1

var errMetadata = errors.New("malformed metadata or metadata of another version")

// metadata is the information about itself that a gateway sends with the
// detector's messages. Its encoding is little-endian:
//
//	1 byte   ProtocolVersion
//	8 bytes  incarnation
//	1 byte   1 if the gateway leaves, otherwise 0
//
// If the gateway has a locality, its region, zone and site follow. Each
// is 1 byte that holds its length and that many bytes.
//
// A build without support for localities refuses a gateway that sends one. Localities must therefore not be set
// before all gateways run a build that supports them (docs/fleet-broadcast-operators.md).
type metadata struct {
	incarnation uint64
	leaving     bool
	locality    view.Locality
}

// append appends the encoded metadata to b.
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

// parseMetadata decodes metadata. It returns errMetadata unless all of b is valid metadata of ProtocolVersion.
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
