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
func TestAPlaceGoesThroughTheMeta(t *testing.T) {
	if got, was := (meta{stamp: 0x0102030405060708, leaving: true}).append(nil), []byte{1, 8, 7, 6, 5, 4, 3, 2, 1, 1}; !bytes.Equal(got, was) {
		t.Errorf("without a place: %v, the builds before say %v", got, was)
	}
	if got, was := (meta{stamp: 1}).append(nil), []byte{1, 1, 0, 0, 0, 0, 0, 0, 0, 0}; !bytes.Equal(got, was) {
		t.Errorf("without a place: %v, the builds before say %v", got, was)
	}
	long := strings.Repeat("x", MostPlace)
	for _, m := range []meta{{stamp: 1}, {stamp: 1<<64 - 1, leaving: true}, {stamp: 7, place: view.Place{Region: "north", Zone: "n-1", Site: "n-1-a"}},
		{stamp: 7, leaving: true, place: view.Place{Region: long, Zone: long, Site: long}}, {place: view.Place{Region: "ö", Zone: "z", Site: "日本"}}} {
		b := m.append(nil)
		if got, err := readMeta(b); err != nil || got != m {
			t.Errorf("%+v comes as %+v, %v", m, got, err)
		}
		if len(b) > 512 { // memberlist.MetaMaxSize
			t.Errorf("%d bytes", len(b))
		}
	}
}

func TestAMetaThatCannotBeReadIsRefused(t *testing.T) {
	good := meta{stamp: 7, place: view.Place{Region: "r", Zone: "z", Site: "s"}}.append(nil)
	for n := range good {
		if _, err := readMeta(good[:n]); err == nil && n != metaSize {
			t.Errorf("its first %d bytes are read", n)
		}
	}
	long := strings.Repeat("x", MostPlace+1)
	for what, b := range map[string][]byte{
		"another form":             append([]byte{Speaks + 1}, good[1:]...),
		"bytes after it":           append(bytes.Clone(good), 0),
		"a place of nothing":       append(bytes.Clone(good[:metaSize]), 0, 0, 0),
		"neither going nor coming": append(append(bytes.Clone(good[:metaSize-1]), 2), good[metaSize:]...),
		"a region that is long":    meta{place: view.Place{Region: long, Zone: "z", Site: "s"}}.append(nil),
		"a site that is long":      meta{place: view.Place{Region: "r", Zone: "z", Site: long}}.append(nil),
	} {
		if m, err := readMeta(b); err == nil || m != (meta{}) {
			t.Errorf("%s: %+v", what, m)
		}
	}
}

// What gateways say to each other is told apart by its first byte alone.
func TestKindsOfDatagramsDiffer(t *testing.T) {
	kinds := map[byte]string{}
	for what, kind := range map[string]byte{"words of life": view.Form, "limits": limits.Kind, "verdicts": purgesync.Kind, "speak up": speakUp,
		"broadcast": broadcast.Kind} {
		if other, taken := kinds[kind]; taken || kind == 0 {
			t.Errorf("%s and %q are %d", what, other, kind)
		}
		kinds[kind] = what
	}
}
