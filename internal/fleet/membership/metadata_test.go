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

// Metadata with a locality is read as it was written, within the detector's bound. Without one it has the bytes of builds that know no
// localities.
func TestMetadataCarriesTheLocality(t *testing.T) {
	for _, c := range []struct {
		metadata metadata
		want     []byte
	}{
		{metadata{incarnation: 0x0102030405060708, leaving: true}, []byte{1, 8, 7, 6, 5, 4, 3, 2, 1, 1}},
		{metadata{incarnation: 1}, []byte{1, 1, 0, 0, 0, 0, 0, 0, 0, 0}},
	} {
		if got := c.metadata.append(nil); !bytes.Equal(got, c.want) {
			t.Errorf("without a locality: %v, builds that know none write %v", got, c.want)
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
			t.Errorf("%+v is read as %+v, %v", m, got, err)
		}
		if len(b) > memberlist.MetaMaxSize {
			t.Errorf("%d bytes, at most %d can be sent", len(b), memberlist.MetaMaxSize)
		}
	}
}

// Metadata that is cut short, too long or of another version is refused as a whole.
func TestUnreadableMetadataIsRefused(t *testing.T) {
	good := metadata{incarnation: 7, locality: view.Locality{Region: "r", Zone: "z", Site: "s"}}.append(nil)
	for n := range good {
		if _, err := parseMetadata(good[:n]); err == nil && n != metadataSize {
			t.Errorf("its first %d bytes are read", n)
		}
	}
	tooLong := strings.Repeat("x", MaxLocalityNameBytes+1)
	for what, b := range map[string][]byte{
		"another version":             append([]byte{ProtocolVersion + 1}, good[1:]...),
		"bytes after it":              append(bytes.Clone(good), 0),
		"a locality of empty names":   append(bytes.Clone(good[:metadataSize]), 0, 0, 0),
		"neither leaving nor staying": append(append(bytes.Clone(good[:metadataSize-1]), 2), good[metadataSize:]...),
		"a region that is too long":   metadata{locality: view.Locality{Region: tooLong, Zone: "z", Site: "s"}}.append(nil),
		"a site that is too long":     metadata{locality: view.Locality{Region: "r", Zone: "z", Site: tooLong}}.append(nil),
	} {
		if m, err := parseMetadata(b); err == nil || m != (metadata{}) {
			t.Errorf("%s: read %+v, %v", what, m, err)
		}
	}
}

// Datagrams of gateways differ by their first byte alone.
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
			t.Errorf("%s and %q are %d", name, other, kind)
		}
		names[kind] = name
	}
}
