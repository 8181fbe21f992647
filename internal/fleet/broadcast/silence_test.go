package broadcast

import "testing"

// A gateway is cut off while the last purges of a stream are published, and it stays cut off for longer than batches
// are kept for repair. No newer purge shows that it lacks them. Reconciliation must still bring them.
func TestLastPurgesBeforeASilenceAreReconciled(t *testing.T) {
	f := cutOffLastGateway(t)
	f.run(f.now + 30_000_000)
	if r := f.result(); r.missing > 0 {
		t.Errorf("30 s after the heal %d pairs of a purge and a gateway are missing", r.missing)
	}
}

// The same over links on which an answer takes longer than a request waits at first. It guards against reconciliation
// that gives up each session before its first answer arrives, and begins the same wait anew.
func TestReconciliationOverSlowLinks(t *testing.T) {
	f := cutOffLastGateway(t)
	f.extraLatency = 2_500_000
	f.run(f.now + 90_000_000)
	if r := f.result(); r.missing > 0 {
		t.Errorf("90 s after the heal %d pairs of a purge and a gateway are missing", r.missing)
	}
}

// cutOffLastGateway returns a fleet whose last gateway was cut off until now and lacks the last purges of a stream.
func cutOffLastGateway(t *testing.T) *fleet {
	t.Helper()
	f := startPurgeStream(t, 0, 8, func(f *fleet) func(Purge) { return recordAt(f, 0) })
	last := f.members[len(f.members)-1].Name
	f.schedule(f.now+6_000_000, func() { f.partition(func(m Member) bool { return m.Name == last }) })
	f.schedule(f.now+60_000_000, func() { f.isPartitioned = noPartition })
	f.run(f.now + 60_000_000)
	if f.result().missing == 0 {
		t.Fatal("the gateway that was cut off lacks no purges, so this run tests nothing")
	}
	return f
}
