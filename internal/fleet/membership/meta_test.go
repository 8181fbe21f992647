package membership

import (
	"bytes"
	"strings"
	"testing"

	"foldslip/internal/fleet/broadcast"
	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/purgesync"
	"foldslip/internal/fleet/view"
)

// A gateway tells its place with its stamp; one that was told none speaks byte for byte as the builds before places did.
func TestMetadataCarriesTheLocality(t *testing.T) {
	if got, was := (metadata{incarnation: 0x0102030405060708, leaving: true}).append(nil), []byte{1, 8, 7, 6, 5, 4, 3, 2, 1, 1}; !bytes.Equal(got, was) {
		t.Errorf("without a place: %v, the builds before say %v", got, was)
	}
	if got, was := (metadata{incarnation: 1}).append(nil), []byte{1, 1, 0, 0, 0, 0, 0, 0, 0, 0}; !bytes.Equal(got, was) {
		t.Errorf("without a place: %v, the builds before say %v", got, was)
	}
	long := strings.Repeat("x", MaxLocalityNameBytes)
	for _, m := range []metadata{{incarnation: 1}, {incarnation: 1<<64 - 1, leaving: true}, {incarnation: 7, locality: view.Locality{Region: "north", Zone: "n-1", Site: "n-1-a"}},
		{incarnation: 7, leaving: true, locality: view.Locality{Region: long, Zone: long, Site: long}}, {locality: view.Locality{Region: "ö", Zone: "z", Site: "日本"}}} {
		b := m.append(nil)
		if got, err := parseMetadata(b); err != nil || got != m {
			t.Errorf("%+v comes as %+v, %v", m, got, err)
		}
		if len(b) > 512 { // memberlist.MetaMaxSize
			t.Errorf("%d bytes", len(b))
		}
	}
}

func TestUnreadableMetadataIsRefused(t *testing.T) {
	good := metadata{incarnation: 7, locality: view.Locality{Region: "r", Zone: "z", Site: "s"}}.append(nil)
	for n := range good {
		if _, err := parseMetadata(good[:n]); err == nil && n != metadataSize {
			t.Errorf("its first %d bytes are read", n)
		}
	}
	long := strings.Repeat("x", MaxLocalityNameBytes+1)
	for what, b := range map[string][]byte{
		"another form":             append([]byte{ProtocolVersion + 1}, good[1:]...),
		"bytes after it":           append(bytes.Clone(good), 0),
		"a place of nothing":       append(bytes.Clone(good[:metadataSize]), 0, 0, 0),
		"neither going nor coming": append(append(bytes.Clone(good[:metadataSize-1]), 2), good[metadataSize:]...),
		"a region that is long":    metadata{locality: view.Locality{Region: long, Zone: "z", Site: "s"}}.append(nil),
		"a site that is long":      metadata{locality: view.Locality{Region: "r", Zone: "z", Site: long}}.append(nil),
	} {
		if m, err := parseMetadata(b); err == nil || m != (metadata{}) {
			t.Errorf("%s: %+v", what, m)
		}
	}
}

// What gateways say to each other is told apart by its first byte alone.
func TestKindsOfDatagramsDiffer(t *testing.T) {
	kinds := map[byte]string{}
	for what, kind := range map[string]byte{"words of life": view.Kind, "limits": limits.Kind, "verdicts": purgesync.Kind, "speak up": refuteRequestKind,
		"broadcast": broadcast.Kind} {
		if other, taken := kinds[kind]; taken || kind == 0 {
			t.Errorf("%s and %q are %d", what, other, kind)
		}
		kinds[kind] = what
	}
}
