package purgesync

import (
	"slices"
	"testing"

	"foldslip/internal/lab/frozen"
)

// Frames that released builds sent are read, and written to the same bytes.
func TestFrozenFramesKeepTheirBytes(t *testing.T) {
	for name, want := range map[string]Frame{
		"hello.frame": {From: 0x0102030405060708, Seen: 9},
		"answer.frame": {From: 0x0102030405060708, Answer: true, Seen: 11, Purges: []Purge{
			{No: 9, Object: "segment-1", Issued: 1_764_576_000_001}, {No: 10, Group: -3, Issued: 1_764_576_000_002},
			{No: 11, Object: "7f3a9c21e0b4d655", Group: 4, Issued: 1_764_576_000_003}}},
	} {
		got, err := ReadFrame(frozen.Read(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got.From != want.From || got.Answer != want.Answer || got.Seen != want.Seen || !slices.Equal(got.Purges, want.Purges) {
			t.Errorf("%s: read %+v, not %+v", name, got, want)
		}
		frozen.Equal(t, name, got.Append(nil))
		frozen.Equal(t, name, want.Append(nil))
	}
}
