// What a member says of itself in the detector's own messages: build, place and incarnation, in a fixed binary form.

package membership

import (
	"encoding/binary"
	"errors"

	"foldslip/internal/fleet/view"
)

// meta is what a gateway tells of itself with the detector's messages: form, stamp, whether it goes; and, where it was told one, its
// place: region, zone and site, each a length and that many bytes. A build that knows no places refuses a gateway that tells one, so
// places are set once all gateways run a build that knows them (docs/fleet-broadcast-operators.md).
const (
	metadataSize = 1 + 8 + 1
	// MostPlace bounds each part of a place, in bytes.
	MaxLocalityNameBytes = 48
)

var errMetadata = errors.New("meta of another form")

type metadata struct {
	incarnation uint64
	leaving     bool
	locality    view.Locality
}

func (m metadata) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(append(b, ProtocolVersion), m.incarnation)
	going := byte(0)
	if m.leaving {
		going = 1
	}
	b = append(b, going)
	if m.locality == (view.Locality{}) {
		return b
	}
	for _, part := range []string{m.locality.Region, m.locality.Zone, m.locality.Site} {
		b = append(append(b, byte(len(part))), part...)
	}
	return b
}

func parseMetadata(b []byte) (m metadata, err error) {
	if len(b) < metadataSize || b[0] != ProtocolVersion || b[metadataSize-1] > 1 {
		return metadata{}, errMetadata
	}
	m.incarnation, m.leaving = binary.LittleEndian.Uint64(b[1:]), b[metadataSize-1] == 1
	rest := b[metadataSize:]
	if len(rest) == 0 {
		return m, nil
	}
	for _, part := range []*string{&m.locality.Region, &m.locality.Zone, &m.locality.Site} {
		if len(rest) == 0 || rest[0] > MaxLocalityNameBytes || len(rest) < 1+int(rest[0]) {
			return metadata{}, errMetadata
		}
		*part, rest = string(rest[1:1+rest[0]]), rest[1+rest[0]:]
	}
	if len(rest) > 0 || m.locality == (view.Locality{}) {
		return metadata{}, errMetadata
	}
	return m, nil
}
