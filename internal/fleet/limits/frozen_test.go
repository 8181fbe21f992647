package limits

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// Frames that released builds sent are read, and written to the same bytes.
func TestFrozenFramesKeepTheirBytes(t *testing.T) {
	for name, want := range map[string]Frame{
		"requests.frame": {From: Key("n1"), Entries: []Entry{
			{Limit: Key("tenant x/lookups"), ID: 0x0102030405060708, Renews: 0x1112131415161718, Amount: 12.5, Wanted: 100, Used: 62.25},
			{Limit: Key("tenant x/open"), ID: 3, Amount: 7, Wanted: 9, Used: 2}}},
		"grants.frame": {From: Key("n2"), Grants: true, Entries: []Entry{
			{Limit: Key("tenant x/lookups"), ID: 0x0102030405060708, Amount: 12.5, Wanted: 10, Used: 9.75}}},
		"empty.frame": {From: Key("n1")},
	} {
		got, err := ReadFrame(frozen.Read(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got.From != want.From || got.Grants != want.Grants || len(got.Entries) != len(want.Entries) {
			t.Errorf("%s: read %+v, not %+v", name, got, want)
		}
		for i := range got.Entries {
			if got.Entries[i] != want.Entries[i] {
				t.Errorf("%s: entry %d is read as %+v, not %+v", name, i, got.Entries[i], want.Entries[i])
			}
		}
		frozen.Equal(t, name, got.Append(nil))
		frozen.Equal(t, name, want.Append(nil))
	}
}

func TestFrozenRowsKeepTheirKeys(t *testing.T) {
	frozen.JSON(t, "rows.json", new([]Row), false)
}
