package view

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// frozenFleet is a settled fleet of four in which d is suspected by a.
func frozenFleet(t *testing.T) []*View {
	t.Helper()
	all := fleetOf("a", "b", "c", "d")
	tell(t, 2*second, all...)
	all[0].Accuse("d", "a", 5*second, 5*second)
	return all
}

// Heartbeat records that released builds sent are read, and written to the same bytes.
func TestFrozenFramesKeepTheirBytes(t *testing.T) {
	all := frozenFleet(t)
	// Two of three proofs of life fit, so that they are sorted: where all fit, their order is any.
	frozen.Equal(t, "heartbeat.frame", all[0].Words(wordsHead+1+3*wordSize, 6*second))
	frozen.Equal(t, "heartbeat-short.frame", all[1].Words(wordsHead+1+wordSize, 6*second))
	alone := New(id("a"), Settings{Most: 4, Settle: second, Evident: 30 * second, Reap: 3600 * second}, 1)
	frozen.Equal(t, "heartbeat-alone.frame", alone.Words(MostWords, 6*second))

	for _, name := range []string{"heartbeat.frame", "heartbeat-short.frame", "heartbeat-alone.frame"} {
		if _, err := all[2].Take(frozen.Read(t, name), 7*second); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	d, _ := all[2].Get("d")
	if d.State != Suspect || d.Accuser != "a" || d.Accused != 6*second {
		t.Errorf("d is held %v, accused by %q at %d", d.State, d.Accuser, d.Accused)
	}
	if b, _ := all[2].Get("b"); b.Heard != 7*second || b.Digest != all[2].Digest() {
		t.Errorf("b was heard at %d with digest %08x, here it is %08x", b.Heard, b.Digest, all[2].Digest())
	}
}
