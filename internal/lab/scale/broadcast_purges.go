package scale

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"
)

// issuePurge issues the next purge. Every fiftieth purge is of one of eight groups, each other one is of an object of
// its own.
func (r *broadcastRun) issuePurge() {
	k, now := len(r.purges), r.net.Now()
	p := issuedPurge{at: now, watchPurge: watchPurge{Object: fmt.Sprintf("%016x", mix(r.options.Seed^uint64(k)<<20)), Issued: epochMillis + now.Milliseconds()}}
	if k%50 == 49 {
		p.Object, p.Group = "", int64(k/50%8+1)
	}
	if r.options.Source == "two" {
		p.side = r.side(r.sources[k%2])
	} else if r.options.Source == "one" {
		p.side = r.side(r.sources[0])
	}
	p.acrossCut = r.cutRegion != nil && r.options.Source != "all" && now >= r.cutAt-freshDuration && now < r.healAt
	p.latencies = make([]uint32, len(r.gateways))
	for i := range r.gateways {
		switch {
		case !r.net.IsUp(i):
			p.latencies[i] = notCounted
		case now < r.gateways[i].started+freshDuration && r.gateways[i].started > 0:
			p.latencies[i] = notCounted
			p.freshGateways = append(p.freshGateways, int32(i))
		default:
			p.outstanding++
		}
	}
	r.result.FreshPairs += int64(len(p.freshGateways))
	r.purges = append(r.purges, p)
}

// purgeReceived records that a gateway received a purge. own is true if the purge came from the gateway's own watch and
// not from another gateway.
func (r *broadcastRun) purgeReceived(g *gateway, purge watchPurge, own bool) {
	k := int(math.Round((time.Duration(purge.Issued-epochMillis)*time.Millisecond - r.options.Warmup).Seconds() * r.options.Rate))
	for k = max(k-2, 0); k < len(r.purges) && r.purges[k].watchPurge != purge; k++ {
		if r.purges[k].Issued > purge.Issued {
			k = len(r.purges)
			break
		}
	}
	if k >= len(r.purges) {
		r.result.UnknownPurges++
		return
	}
	p, now := &r.purges[k], r.net.Now()
	if !own {
		r.result.Applied++
	}
	if p.latencies == nil {
		return
	}
	lag := now - p.at
	switch v := &p.latencies[g.index]; {
	case *v == 0:
		*v = uint32(min(lag.Microseconds()+1, notCounted-1))
		p.outstanding--
		if r.cut == nil && r.healAt > 0 && p.acrossCut && r.side(g.index) != p.side {
			r.lastAcrossCut = max(r.lastAcrossCut, now)
		}
	case *v == notCounted:
		if at := slices.Index(p.freshGateways, int32(g.index)); at >= 0 {
			p.freshGateways = slices.Delete(p.freshGateways, at, at+1)
			if r.result.FreshWorst = max(r.result.FreshWorst, lag.Seconds()); lag <= r.options.Deadline {
				r.result.freshInTime++
			}
		}
	}
}

// finishPurges adds the purges that have reached all gateways to the figures of the report. If all is set, it adds the
// unfinished ones too.
func (r *broadcastRun) finishPurges(all bool) {
	for k := r.firstUnfinished; k < len(r.purges); k++ {
		if p := &r.purges[k]; p.latencies != nil && (all || p.outstanding == 0 && len(p.freshGateways) == 0) {
			r.countPurge(k)
			p.latencies = nil
		}
		if k == r.firstUnfinished && r.purges[k].latencies == nil {
			r.firstUnfinished++
		}
	}
}

// countPurge adds one purge to the figures of the report and to the digest.
func (r *broadcastRun) countPurge(k int) {
	p := &r.purges[k]
	var worst uint32
	last := 0
	lost, lostAcrossCut := 0, 0
	deadline := uint32(r.options.Deadline.Microseconds() + 1) // in microseconds plus 1, as in latencies
	sum := make([]byte, 0, 4*len(p.latencies)+8)
	sum = binary.LittleEndian.AppendUint64(sum, uint64(k))
	for i, v := range p.latencies {
		sum = binary.LittleEndian.AppendUint32(sum, v)
		acrossCut := p.acrossCut && r.side(i) != p.side
		switch {
		case v == notCounted:
		case v == 0 && acrossCut:
			lostAcrossCut++
		case acrossCut:
		case v == 0:
			lost++
			r.result.Pairs++
		default:
			r.result.Pairs++
			if v <= deadline {
				r.result.pairsInTime++
			}
			if v > worst {
				worst, last = v, i
			}
		}
	}
	r.digest.Write(sum)
	r.result.Purges++
	if worst > deadline {
		r.result.Late = append(r.result.Late, LatePurge{(p.at - r.options.Warmup).Seconds(), last, float64(worst) / 1e6})
		slices.SortStableFunc(r.result.Late, func(a, b LatePurge) int { return cmp.Compare(b.Latency, a.Latency) })
		r.result.Late = r.result.Late[:min(len(r.result.Late), maxLateReported)]
	}
	r.result.LostPairs += int64(lost)
	r.result.LostAcrossCut += int64(lostAcrossCut)
	r.result.LostFresh += int64(len(p.freshGateways))
	if p.acrossCut {
		r.result.AcrossCut++
	}
	if lost > 0 {
		r.result.Lost++
		r.everywhereAfter = append(r.everywhereAfter, math.Inf(1))
	} else {
		r.everywhereAfter = append(r.everywhereAfter, float64(worst)/1e6)
	}
}
