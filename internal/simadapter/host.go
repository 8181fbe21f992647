package simadapter

import (
	"fmt"

	"foldslip/internal/policy"
)

// writeAction writes one action of this gateway; an empty text stands for an absent value.
func (g *gateway) writeAction(word string, values ...any) {
	fmt.Fprintf(g.out, "%s %s", word, g.name)
	for _, v := range values {
		if v == "" {
			v = "-"
		}
		fmt.Fprintf(g.out, " %v", v)
	}
	g.out.WriteByte('\n')
}

// Fetch implements logic.Host.
func (g *gateway) Fetch(lk *policy.Lookup, to, source *policy.Cache, rank int, how policy.FetchMode,
	patience, _, oldest policy.Micros) {
	g.lookups[lk.ID].openAttempts++
	g.writeAction("SERVE_OR_FILL", lk.ID, rank, int(how), source.Name, to.Name, patience, oldest)
}

// CancelAttempt implements logic.Host.
func (g *gateway) CancelAttempt(lk *policy.Lookup, send int) {
	g.writeAction("ABORT_ATTEMPT", lk.ID, send)
}

// Reject implements logic.Host.
func (g *gateway) Reject(lk *policy.Lookup, retryIn policy.Micros) {
	g.writeAction("SAY_NO", lk.ID, retryIn)
}

// Fail implements logic.Host.
func (g *gateway) Fail(lk *policy.Lookup) { g.writeAction("LOSE", lk.ID) }

// SetTimer implements logic.Host.
func (g *gateway) SetTimer(in policy.Micros, token int64) { g.writeAction("WAKE_ME", in, token) }

// SubscribeEndpoints implements logic.Host.
func (g *gateway) SubscribeEndpoints(on bool) {
	if on {
		g.writeAction("WATCH", 1)
	} else {
		g.writeAction("WATCH", 0)
	}
}

// Log implements logic.Host.
func (g *gateway) Log(line string) { g.writeAction("WRITE_LOG", oneLine(line)) }
