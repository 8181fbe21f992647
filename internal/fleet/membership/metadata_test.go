package membership

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/fleet/broadcast"
	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/purgesync"
	"foldslip/internal/fleet/view"
)

// Metadata with a locality must decode to the same values and must fit the detector's size limit. Without a locality,
// it must encode to the same bytes as in builds without support for localities.
func TestMetadataCarriesTheLocality(t *testing.T) {
	for _, c := range []struct {
		metadata metadata
		want     []byte
	}{
		{metadata{incarnation: 0x0102030405060708, leaving: true}, []byte{1, 8, 7, 6, 5, 4, 3, 2, 1, 1}},
		{metadata{incarnation: 1}, []byte{1, 1, 0, 0, 0, 0, 0, 0, 0, 0}},
	} {
		if got := c.metadata.append(nil); !bytes.Equal(got, c.want) {
			t.Errorf("metadata without a locality is %v, want %v as in builds without support for localities", got, c.want)
		}
	}
	longest := strings.Repeat("x", MaxLocalityNameBytes)
	for _, m := range []metadata{
		{incarnation: 1},
		{incarnation: 1<<64 - 1, leaving: true},
		{incarnation: 7, locality: view.Locality{Region: "north", Zone: "n-1", Site: "n-1-a"}},
		{incarnation: 7, leaving: true, locality: view.Locality{Region: longest, Zone: longest, Site: longest}},
		{locality: view.Locality{Region: "ö", Zone: "z", Site: "日本"}},
	} {
		b := m.append(nil)
		if got, err := parseMetadata(b); err != nil || got != m {
			t.Errorf("%+v decodes to %+v, error %v", m, got, err)
		}
		if len(b) > memberlist.MetaMaxSize {
			t.Errorf("encoded metadata has %d bytes, want at most %d", len(b), memberlist.MetaMaxSize)
		}
	}
}

// Metadata that is truncated, too long, malformed or of another version
// must be rejected, and no part of it may be returned.
func TestUnreadableMetadataIsRefused(t *testing.T) {
	good := metadata{incarnation: 7, locality: view.Locality{Region: "r", Zone: "z", Site: "s"}}.append(nil)
	for n := range good {
		if _, err := parseMetadata(good[:n]); err == nil && n != metadataSize {
			t.Errorf("metadata truncated to %d bytes is accepted", n)
		}
	}
	tooLong := strings.Repeat("x", MaxLocalityNameBytes+1)
	for what, b := range map[string][]byte{
		"another version":           append([]byte{ProtocolVersion + 1}, good[1:]...),
		"a trailing byte":           append(bytes.Clone(good), 0),
		"a locality of empty names": append(bytes.Clone(good[:metadataSize]), 0, 0, 0),
		"a leaving flag of 2":       append(append(bytes.Clone(good[:metadataSize-1]), 2), good[metadataSize:]...),
		"a region that is too long": metadata{locality: view.Locality{Region: tooLong, Zone: "z", Site: "s"}}.append(nil),
		"a site that is too long":   metadata{locality: view.Locality{Region: "r", Zone: "z", Site: tooLong}}.append(nil),
	} {
		if m, err := parseMetadata(b); err == nil || m != (metadata{}) {
			t.Errorf("%s: decoded %+v, error %v; want an error and no metadata", what, m, err)
		}
	}
}

// Each kind of datagram must have its own first byte that is not 0,
// because receivers tell datagrams apart only by that byte.
func TestKindsOfDatagramsDiffer(t *testing.T) {
	names := map[byte]string{}
	for name, kind := range map[string]byte{
		"heartbeat":      view.Kind,
		"limits":         limits.Kind,
		"purgesync":      purgesync.Kind,
		"refute request": refuteRequestKind,
		"leave notice":   view.LeaveNoticeKind,
		"broadcast":      broadcast.Kind,
	} {
		if other, taken := names[kind]; taken || kind == 0 {
			t.Errorf("kinds of %s and %q are both %d, or the kind is 0", name, other, kind)
		}
		names[kind] = name
	}
}
