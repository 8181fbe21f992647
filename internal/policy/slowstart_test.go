package policy

import (
	"fmt"
	"testing"
)

// TestHitsGiveBackTheirCharge: a lookup that names a cold parent and turns out to be a hit at its edge never reached that parent. It gives
// back what the parent's budget was charged, in the part of the window where it was charged: neither more than that (a staked fill is charged
// less than its work), nor later, when the charge itself has left the window and the rest would be budget out of nothing.
func TestHitsGiveBackTheirCharge(t *testing.T) {
	for _, late := range []Micros{20 * millisecond, 900 * millisecond, 3 * second} {
		t.Run(fmt.Sprintf("hits after %d ms", late/millisecond), func(t *testing.T) {
			f, all := newFixture(t, func(c *Settings) { c.ZoneGateways, c.Gateways = []int{20}, 20 })
			parents := all[3:5]
			for _, p := range parents {
				f.updateEndpoint(p, Ready, f.now)
			}
			staked, ended := 0, 0
			for i := range 2000 {
				f.now += 5 * millisecond
				f.lookUp(0, fmt.Sprint("o", i))
				for ended < len(f.attempts) && f.now >= f.attempts[ended].lookup.attempts[f.attempts[ended].number].startedAt+late {
					s := f.attempts[ended]
					if ended++; s.Source.Kind != 1 || s.lookup.ended {
						continue
					}
					if charge := s.lookup.attempts[s.number].slowStartCharge; charge < float64(s.lookup.work) {
						staked++
					}
					f.endAttempt(s, OutcomeSatisfied, DetailHit, late)
				}
				for _, p := range parents {
					if charged := p.slowStartSent.read(f.now, f.router.breakWindow()); charged < -1 {
						t.Fatalf("%d us after the start: %.0f us of work charged to %s", f.now-100*second, charged, p.Name)
					}
				}
			}
			if staked == 0 {
				t.Fatal("no fill was staked: the story shows nothing")
			}
		})
	}
}
