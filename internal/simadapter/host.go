package simadapter

import (
	"fmt"

	"foldslip/internal/policy"
)

// say writes one action of this gateway; an empty text stands for an absent value.
func (g *gateway) say(word string, values ...any) {
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
func (g *gateway) Fetch(lk *policy.Lookup, to, source *policy.Cache, rank int, how policy.How,
	patience, _, oldest policy.Micros) {
	g.lookups[lk.Door].out++
	g.say("SERVE_OR_FILL", lk.Door, rank, int(how), source.Name, to.Name, patience, oldest)
}

// Cancel implements logic.Host.
func (g *gateway) Cancel(lk *policy.Lookup, send int) { g.say("ABORT_ATTEMPT", lk.Door, send) }

// Nack implements logic.Host.
func (g *gateway) Nack(lk *policy.Lookup, retryIn policy.Micros) { g.say("SAY_NO", lk.Door, retryIn) }

// Fail implements logic.Host.
func (g *gateway) Fail(lk *policy.Lookup) { g.say("LOSE", lk.Door) }

// Wake implements logic.Host.
func (g *gateway) Wake(in policy.Micros, token int64) { g.say("WAKE_ME", in, token) }

// Subscribe implements logic.Host.
func (g *gateway) Subscribe(on bool) {
	if on {
		g.say("WATCH", 1)
	} else {
		g.say("WATCH", 0)
	}
}

// Log implements logic.Host.
func (g *gateway) Log(line string) { g.say("WRITE_LOG", oneLine(line)) }
