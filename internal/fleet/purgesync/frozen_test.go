package purgesync

import (
	"slices"
	"testing"

	"foldslip/internal/lab/frozen"
)

// Frames of released builds must decode to the expected values and encode to the same bytes.
func TestFrozenFramesKeepTheirBytes(t *testing.T) {
	for name, want := range map[string]Frame{
		"hello.frame": {SenderKey: 0x0102030405060708, Digest: 9},
		"answer.frame": {SenderKey: 0x0102030405060708, IsDelta: true, Digest: 11, Purges: []Purge{
			{Event: 9, Object: "segment-1", Issued: 1_764_576_000_001}, {Event: 10, Group: -3, Issued: 1_764_576_000_002},
			{Event: 11, Object: "7f3a9c21e0b4d655", Group: 4, Issued: 1_764_576_000_003}}},
	} {
		got, err := ParseFrame(frozen.Read(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got.SenderKey != want.SenderKey || got.IsDelta != want.IsDelta || got.Digest != want.Digest || !slices.Equal(got.Purges, want.Purges) {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
		frozen.Equal(t, name, got.Append(nil))
		frozen.Equal(t, name, want.Append(nil))
	}
}
