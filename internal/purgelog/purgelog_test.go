package purgelog

import (
	"fmt"
	"io"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foldslip/internal/env"
)

// adjustableClock is an environment whose time the test sets.
type adjustableClock struct {
	env.Environment
	now time.Time
}

func (c *adjustableClock) Now() time.Time { return c.now }

func TestLog(t *testing.T) {
	l := &Log{Retention: time.Hour, Grace: -1, Clock: env.NewSystem(io.Discard, 0)}
	issuedAt := time.Now()
	l.Record("a", 0, issuedAt)
	l.Record("a", 0, issuedAt.Add(-time.Second)) // issued earlier, received later
	l.Record("", 3, issuedAt.Add(-time.Minute))
	for _, test := range []struct {
		object string
		group  int
		want   time.Time
	}{{"a", 3, issuedAt}, {"b", 3, issuedAt.Add(-time.Minute)}, {"b", 4, time.Time{}}} {
		if got, _ := l.InForce(test.object, test.group); !got.Equal(test.want) {
			t.Errorf("object %s in group %d: got a purge issued at %v", test.object, test.group, got)
		}
	}
	l.Retention = -1
	if l.Record("c", 0, issuedAt); len(l.objects) != 1 {
		t.Errorf("purges of %d objects held, want only that of c after the others' retention", len(l.objects))
	}
}

func TestOverlappingPurges(t *testing.T) {
	clock := &adjustableClock{now: time.Unix(1764576000, 0)}
	l := &Log{Retention: time.Hour, Grace: 300 * time.Millisecond, Clock: clock}
	first := clock.now
	t.Run("a later purge does not delay an earlier one", func(t *testing.T) {
		l.Record("a", 0, first)
		clock.now = clock.now.Add(200 * time.Millisecond)
		l.Record("a", 0, first.Add(200*time.Millisecond))
		clock.now = clock.now.Add(101 * time.Millisecond)
		if got, receivedAt := l.InForce("a", 0); !got.Equal(first) || !receivedAt.Equal(first) {
			t.Errorf("got a purge issued at %v and received at %v, want the first one", got, receivedAt)
		}
		clock.now = clock.now.Add(200 * time.Millisecond)
		if got, _ := l.InForce("a", 0); !got.Equal(first.Add(200 * time.Millisecond)) {
			t.Errorf("after both grace periods: got a purge issued at %v, want the second one", got)
		}
	})
	t.Run("a thousand purges at once are bounded, and none of them is delayed", func(t *testing.T) {
		start := clock.now
		for i := range 1000 {
			l.Record("b", 0, start.Add(time.Duration(i)*time.Microsecond))
		}
		if len(l.objects["b"]) != maxPending {
			t.Errorf("%d purges held, want maxPending", len(l.objects["b"]))
		}
		clock.now = clock.now.Add(301 * time.Millisecond)
		if got, _ := l.InForce("b", 0); !got.Equal(start.Add(999 * time.Microsecond)) {
			t.Errorf("got a purge issued at %v, want the last one", got)
		}
	})
}

// TestRestore guards against a grace that begins anew at a restart: a restored purge takes effect, and is dropped, as if
// it had been recorded when the earlier process received it.
func TestRestore(t *testing.T) {
	clock := &adjustableClock{now: time.Unix(1764576000, 0)}
	l := &Log{Retention: 10 * time.Second, Grace: time.Second, Clock: clock}
	ago := func(d time.Duration) time.Time { return clock.now.Add(-d) }
	l.Restore("over", 0, ago(3*time.Second), ago(2*time.Second))
	l.Restore("", 7, ago(3*time.Second), ago(2*time.Second))
	l.Restore("running", 0, ago(time.Second), ago(500*time.Millisecond))
	l.Restore("future", 0, clock.now, clock.now.Add(time.Hour))
	inForce := func(object string, group int) bool {
		issuedAt, _ := l.InForce(object, group)
		return !issuedAt.IsZero()
	}
	if !inForce("over", 0) || !inForce("any", 7) || inForce("running", 0) || inForce("future", 0) {
		t.Error("at the restart: want the purges in force whose grace is over, and no others")
	}
	clock.now = clock.now.Add(501 * time.Millisecond)
	if !inForce("running", 0) || inForce("future", 0) {
		t.Error("0.5 s later: want the purge in force that was received 1 s ago, and not the one received at the restart")
	}
	clock.now = clock.now.Add(8 * time.Second)
	l.Record("later", 0, clock.now)
	if len(l.objects) != 3 || inForce("over", 0) || !inForce("running", 0) {
		t.Errorf("10.5 s after its receipt a purge is still held; %d objects, want 3", len(l.objects))
	}
}

// scanningLog is the reference implementation of expiry. It scans all objects held at each purge.
type scanningLog struct{ Log }

func (l *scanningLog) record(object string, group int, issuedAt time.Time) {
	if l.objects == nil {
		l.objects = map[string][]entry{}
		l.groups = map[int][]entry{}
	}
	now := l.Clock.Now()
	for name, entries := range l.objects {
		if now.Sub(last(entries).receivedAt) > l.Retention {
			delete(l.objects, name)
		}
	}
	if object == "" {
		l.groups[group] = l.merge(l.groups[group], entry{issuedAt, now}, now)
	} else {
		l.objects[object] = l.merge(l.objects[object], entry{issuedAt, now}, now)
	}
}

// Guards against purges that the queue drops too early or too late. For random sequences of purges, a log that expires
// by the queue and one that scans all objects must hold the same number of objects and apply the same purges.
func TestPurgesExpireAsByAFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &adjustableClock{now: time.Unix(1_764_576_000, 0)}
		start := clock.now
		retention, grace := 11*time.Second, 300*time.Millisecond
		queued := &Log{Retention: retention, Grace: grace, Clock: clock}
		scanned := &scanningLog{Log{Retention: retention, Grace: grace, Clock: clock}}
		pause := rapid.SampledFrom([]time.Duration{0, time.Millisecond, 400 * time.Millisecond, 5 * time.Second, 11 * time.Second, 12 * time.Second})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			clock.now = clock.now.Add(pause.Draw(t, "pause"))
			object := ""
			if o := rapid.IntRange(0, 4).Draw(t, "object"); o > 0 {
				object = fmt.Sprint("o", o)
			}
			group := rapid.IntRange(0, 2).Draw(t, "group")
			issuedAt := start.Add(time.Duration(rapid.IntRange(-2, 60).Draw(t, "issued")) * time.Second)
			queued.Record(object, group, issuedAt)
			scanned.record(object, group, issuedAt)
			if len(queued.objects) != len(scanned.objects) {
				t.Fatalf("%d objects held, want %d as with a full scan", len(queued.objects), len(scanned.objects))
			}
			clock.now = clock.now.Add(pause.Draw(t, "pause"))
			requireEqualEffect(t, queued, &scanned.Log)
			if n := len(queued.queue) - queued.head; n > maxPending*max(1, len(queued.objects)) {
				t.Fatalf("%d elements in the queue for %d objects, want at most maxPending for each", n, len(queued.objects))
			}
		}
	})
}

// requireEqualEffect checks that two logs apply the same purges to all objects and groups of the test.
func requireEqualEffect(t *rapid.T, got, want *Log) {
	t.Helper()
	for o := range 5 {
		for group := range 3 {
			object := fmt.Sprint("o", o)
			gotIssued, gotReceived := got.InForce(object, group)
			wantIssued, wantReceived := want.InForce(object, group)
			if !gotIssued.Equal(wantIssued) || !gotReceived.Equal(wantReceived) {
				t.Fatalf("%s, group %d: got a purge issued at %v and received at %v, want one issued at %v and received at %v", object, group, gotIssued, gotReceived, wantIssued, wantReceived)
			}
		}
	}
}
