package scale

import (
	"fmt"
	"testing"
	"time"
)

func TestDebugRack(t *testing.T) {
	o := BroadcastOptions{Gateways: 12, Mechanism: "new", Case: "rack", Rate: 100, Seed: 4, For: 30 * time.Second, Settle: 60 * time.Second, Skew: 50 * time.Millisecond}
	debugEnd = func(r *broadcastRun) {
		for k := range r.purges {
			if p := &r.purges[k]; len(p.fresh) > 0 {
				s := ""
				for _, i := range p.fresh {
					st := r.all[i].its.(*newSpread).node.Stats()
					s += fmt.Sprintf(" %d(started %v kept %d behind %+v)", i, r.all[i].started, st.Kept, st.Behind)
				}
				t.Logf("%d at %v lost at%s", k, p.at, s)
				if k > 2320 { return }
			}
		}
	}
	r, err := Broadcast(o)
	t.Logf("%+v %v", r.Wrong, err)
}
