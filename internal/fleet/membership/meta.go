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
	metaSize = 1 + 8 + 1
	// MostPlace bounds each part of a place, in bytes.
	MostPlace = 48
)

var errMeta = errors.New("meta of another form")

type meta struct {
	stamp   uint64
	leaving bool
	place   view.Place
}

func (m meta) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(append(b, Speaks), m.stamp)
	going := byte(0)
	if m.leaving {
		going = 1
	}
	b = append(b, going)
	if m.place == (view.Place{}) {
		return b
	}
	for _, part := range []string{m.place.Region, m.place.Zone, m.place.Site} {
		b = append(append(b, byte(len(part))), part...)
	}
	return b
}

func readMeta(b []byte) (m meta, err error) {
	if len(b) < metaSize || b[0] != Speaks || b[metaSize-1] > 1 {
		return meta{}, errMeta
	}
	m.stamp, m.leaving = binary.LittleEndian.Uint64(b[1:]), b[metaSize-1] == 1
	rest := b[metaSize:]
	if len(rest) == 0 {
		return m, nil
	}
	for _, part := range []*string{&m.place.Region, &m.place.Zone, &m.place.Site} {
		if len(rest) == 0 || rest[0] > MostPlace || len(rest) < 1+int(rest[0]) {
			return meta{}, errMeta
		}
		*part, rest = string(rest[1:1+rest[0]]), rest[1+rest[0]:]
	}
	if len(rest) > 0 || m.place == (view.Place{}) {
		return meta{}, errMeta
	}
	return m, nil
}
