package broadcast

import "testing"

// A gateway is cut off while the last purges before a rest are told, and for longer than batches are kept for repair. Nothing newer
// comes that would make them old: it must hear of them all the same.
func TestLastPurgesBeforeASilenceAreReconciled(t *testing.T) {
	f := runPurgeStream(t, 0, 8, testSettings(), func(f *fleet) func(Purge) { return recordAt(f, 0) })
	last := f.members[len(f.members)-1].Name
	f.schedule(f.now+6_000_000, func() { f.cut = func(a, b Member) bool { return a.Name == last || b.Name == last } })
	f.schedule(f.now+60_000_000, func() { f.cut = func(a, b Member) bool { return false } })
	f.run(f.now + 60_000_000)
	if f.result().missing == 0 {
		t.Fatal("the cut gateway lacks nothing: the story proves nothing")
	}
	f.run(f.now + 30_000_000)
	if r := f.result(); r.missing > 0 {
		t.Errorf("30 s after the heal %d purges are missing", r.missing)
	}
}
