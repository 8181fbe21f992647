package limits

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// TestFrozenFramesKeepTheirBytes guards against an incompatible change of the frame encoding. Frames of released builds
// must decode and must encode to the same bytes.
func TestFrozenFramesKeepTheirBytes(t *testing.T) {
	for name, want := range map[string]Frame{
		"requests.frame": {SenderKey: NameKey("n1"), Entries: []Entry{
			{LimitKey: NameKey("tenant x/lookups"), ID: 0x0102030405060708, Renews: 0x1112131415161718, Amount: 12.5, Demand: 100, Used: 62.25},
			{LimitKey: NameKey("tenant x/open"), ID: 3, Amount: 7, Demand: 9, Used: 2}}},
		"grants.frame": {SenderKey: NameKey("n2"), IsGrant: true, Entries: []Entry{
			{LimitKey: NameKey("tenant x/lookups"), ID: 0x0102030405060708, Amount: 12.5, Demand: 10, Used: 9.75}}},
		"empty.frame": {SenderKey: NameKey("n1")},
	} {
		got, err := ParseFrame(frozen.Read(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got.SenderKey != want.SenderKey || got.IsGrant != want.IsGrant || len(got.Entries) != len(want.Entries) {
			t.Errorf("%s: got frame %+v, want %+v", name, got, want)
		}
		for i := range got.Entries {
			if got.Entries[i] != want.Entries[i] {
				t.Errorf("%s: entry %d: got %+v, want %+v", name, i, got.Entries[i], want.Entries[i])
			}
		}
		frozen.Equal(t, name, got.Append(nil))
		frozen.Equal(t, name, want.Append(nil))
	}
}

func TestFrozenRowsKeepTheirKeys(t *testing.T) {
	frozen.JSON(t, "rows.json", new([]Report), false)
}
