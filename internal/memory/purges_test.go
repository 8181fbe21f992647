package memory

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// scanningLog is Purges as it was: each purge looks at all objects that are kept.
type scanningLog struct{ Log }

func (p *scanningLog) record(object string, group int, issued time.Time) {
	if p.objects == nil {
		p.objects, p.groups = map[string][]entry{}, map[int][]entry{}
	}
	now := p.Clock.Now()
	for k, o := range p.objects {
		if now.Sub(o[len(o)-1].receivedAt) > p.Retention {
			delete(p.objects, k)
		}
	}
	if object == "" {
		p.groups[group] = p.merge(p.groups[group], issued, now)
	} else {
		p.objects[object] = p.merge(p.objects[object], issued, now)
	}
}

// Forgetting by the order of telling keeps and heeds what a look at all did, whatever is told when.
func TestPurgesExpireAsByAFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fixedClock{now: time.Unix(1_764_576_000, 0)}
		begun := s.now
		keep, grace := 11*time.Second, 300*time.Millisecond
		a := &Log{Retention: keep, Grace: grace, Clock: s}
		b := &scanningLog{Log{Retention: keep, Grace: grace, Clock: s}}
		pause := rapid.SampledFrom([]time.Duration{0, time.Millisecond, 400 * time.Millisecond, 5 * time.Second, 11 * time.Second, 12 * time.Second})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.now = s.now.Add(pause.Draw(t, "pause"))
			object := ""
			if o := rapid.IntRange(0, 4).Draw(t, "object"); o > 0 {
				object = fmt.Sprint("o", o)
			}
			group := rapid.IntRange(0, 2).Draw(t, "group")
			issued := begun.Add(time.Duration(rapid.IntRange(-2, 60).Draw(t, "issued")) * time.Second)
			a.Record(object, group, issued)
			b.record(object, group, issued)
			if len(a.objects) != len(b.objects) {
				t.Fatalf("%d objects kept, a look at all keeps %d", len(a.objects), len(b.objects))
			}
			s.now = s.now.Add(pause.Draw(t, "pause"))
			for o := range 5 {
				for g := range 3 {
					name := fmt.Sprint("o", o)
					ai, at := a.InForce(name, g)
					bi, bt := b.InForce(name, g)
					if !ai.Equal(bi) || !at.Equal(bt) {
						t.Fatalf("%s, group %d: heeded %v told %v, a look at all %v told %v", name, g, ai, at, bi, bt)
					}
				}
			}
			if n := len(a.queue) - a.head; n > maxPending*max(1, len(a.objects)) {
				t.Fatalf("%d wait to be forgotten for %d objects", n, len(a.objects))
			}
		}
	})
}
