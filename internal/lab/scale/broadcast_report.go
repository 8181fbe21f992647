package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Distribution is of a figure over gateways.
type Distribution struct {
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"most"`
}

func distributionOf(all []float64) (s Distribution) {
	if len(all) == 0 {
		return s
	}
	all = slices.Sorted(slices.Values(all))
	return Distribution{quantile(all, 0.5), quantile(all, 0.99), all[len(all)-1]}
}

// quantile of sorted figures: the least that so many are no more than.
func quantile(sorted []float64, q float64) float64 {
	return sorted[max(0, int(math.Ceil(q*float64(len(sorted))))-1)]
}

// RoleCost is of the gateways with a place in the tree.
type RoleCost struct {
	Role     string  `json:"role"`
	Gateways int     `json:"gateways"`
	In       float64 `json:"in"` // bytes a second of the mean one
	Out      float64 `json:"out"`
	Max      float64 `json:"most"` // in and out, of the one with most
}

// LatePurge is a purge that was late somewhere.
type LatePurge struct {
	Issued  float64 `json:"issued"`  // seconds after purges began
	Gateway int     `json:"gateway"` // the last that heard it
	Latency float64 `json:"took"`
}

// BroadcastReport is what a run gave. Times are in seconds, -1: never. "Everywhere" is at each gateway that stood (was up and had been
// for 5 s) when the purge was issued and did not end before it heard; bytes are a second, with IP and UDP, while purges are told.
type BroadcastReport struct {
	Kind      string  `json:"what"`
	Gateways  int     `json:"gateways"`
	Mechanism string  `json:"mechanism"`
	Case      string  `json:"case"`
	Source    string  `json:"told"`
	Rate      float64 `json:"rate"`
	Seed      uint64  `json:"seed"`
	Seconds   float64 `json:"seconds"`

	Purges          int     `json:"purges"`
	InTimeShare     float64 `json:"share"`   // of purges that were everywhere within the term
	InTimePairShare float64 `json:"by_pair"` // of pairs of a purge and a gateway
	P50             float64 `json:"p50"`     // until a purge was everywhere
	P99             float64 `json:"p99"`
	P999            float64 `json:"p999"`
	Max             float64 `json:"most"`

	Late []LatePurge `json:"late,omitempty"` // the latest that were late

	Pairs         int64   `json:"pairs"`
	Lost          int64   `json:"lost"` // purges that some gateway had not heard when the run ended
	LostPairs     int64   `json:"lost_pairs"`
	FreshPairs    int64   `json:"fresh_pairs"` // of a purge and a gateway that had started less than 5 s before
	FreshShare    float64 `json:"fresh_share"` // of them, within the term
	FreshWorst    float64 `json:"fresh_worst"`
	LostFresh     int64   `json:"lost_fresh"`
	AcrossCut     int     `json:"far"` // purges told on one side of a cut, from 5 s before it
	LostAcrossCut int64   `json:"lost_far"`
	CaughtUp      float64 `json:"caught_up"`  // from the heal until the last of these was heard on the other side
	HealBytes     float64 `json:"heal_bytes"` // most of a gateway in a second after the heal, in and out

	In                 Distribution `json:"in"`
	Out                Distribution `json:"out"`
	Both               Distribution `json:"both"`
	Datagrams          Distribution `json:"datagrams"` // in and out, a second
	WorstSecond        float64      `json:"worst"`     // bytes of a gateway's worst second, in or out
	Roles              []RoleCost   `json:"roles"`
	BatchesPerPurge    float64      `json:"said"`   // batches that a purge was put in, by whichever gateway
	DeliveriesPerBatch float64      `json:"copies"` // of such a batch that came to a gateway; old: of a purge
	Totals             Tally        `json:"sums"`
	Applied            int64        `json:"heeded"`
	// Gateways that know that they lack purges: the most at once, at the end, and gateway seconds in all.
	MaxBehind        int64    `json:"behind_most"`
	BehindAtEnd      int64    `json:"behind_end"`
	BehindTime       float64  `json:"behind_time"`
	UnreadableFrames int64    `json:"unread"`  // frames that could not be read
	UnknownPurges    int64    `json:"unknown"` // purges heeded that nobody issued
	RefusedDatagrams int64    `json:"refused"` // datagrams that were too long
	Kills            int      `json:"kills"`
	CoreShare        float64  `json:"core"` // processor seconds a second of a gateway, the stand-ins' and the network's with it; 0: not measured
	Heap             float64  `json:"heap"` // bytes a gateway
	Digest           string   `json:"digest"`
	Violations       []string `json:"wrong"`

	pairsIn, freshIn int64
	roles            []string
	endedCounters    []Counters
}

func secondsOrNever(s float64) float64 {
	if math.IsInf(s, 1) {
		return -1
	}
	return s
}

// share is of parts in all, 1 where there are none.
func share(part, all int64) float64 {
	if all == 0 {
		return 1
	}
	return float64(part) / float64(all)
}

// fillReport fills in what is worked out at the end.
func (r *broadcastRun) fillReport() {
	out, o := r.result, &r.options
	slices.Sort(r.everywhereAfter)
	within := 0
	for _, s := range r.everywhereAfter {
		if s <= o.Deadline.Seconds() {
			within++
		}
	}
	out.InTimeShare, out.InTimePairShare, out.FreshShare = share(int64(within), int64(len(r.everywhereAfter))), share(out.pairsIn, out.Pairs), share(out.freshIn, out.FreshPairs)
	if len(r.everywhereAfter) > 0 {
		out.P50, out.P99, out.P999, out.Max = secondsOrNever(quantile(r.everywhereAfter, 0.5)), secondsOrNever(quantile(r.everywhereAfter, 0.99)), secondsOrNever(quantile(r.everywhereAfter, 0.999)), secondsOrNever(r.everywhereAfter[len(r.everywhereAfter)-1])
	}
	if r.healAt > 0 && r.lastAcrossCut > 0 {
		out.CaughtUp = (r.lastAcrossCut - r.healAt).Seconds()
	}
	for _, s := range r.seconds {
		if r.healAt > 0 && s.at > int64(r.healAt.Seconds()) {
			out.HealBytes = max(out.HealBytes, float64(s.bytes))
		}
	}
	var in, sent, both, grams []float64
	roles := map[string]*RoleCost{}
	for i := range r.gateways {
		a, b, sec := r.countersAtStart[i], r.endCounters(i), o.Duration.Seconds()
		x, y := float64(b.BytesIn-a.BytesIn)/sec, float64(b.BytesOut-a.BytesOut)/sec
		in, sent, both = append(in, x), append(sent, y), append(both, x+y)
		grams = append(grams, float64(b.In-a.In+b.Out-a.Out)/sec)
		role := roles[out.roles[i]]
		if role == nil {
			role = &RoleCost{Role: out.roles[i]}
			roles[role.Role] = role
		}
		role.Gateways++
		role.In, role.Out, role.Max = role.In+x, role.Out+y, max(role.Max, x+y)
		out.WorstSecond = max(out.WorstSecond, float64(r.worstIn[i]), float64(r.worstOut[i]))
		out.RefusedDatagrams += r.net.Counters(i).Refused
		if r.net.IsUp(i) {
			out.Totals.add(r.gateways[i].spreader.tally())
		}
	}
	if out.BatchesPerPurge = 1; out.Mechanism == "new" && out.Purges > 0 {
		out.BatchesPerPurge = float64(out.Totals.Purges) / float64(out.Purges)
		out.DeliveriesPerBatch = float64(out.Totals.BatchesReceived) / float64(max(1, out.Totals.Batches)) / float64(len(r.gateways))
	} else if out.Purges > 0 {
		out.DeliveriesPerBatch = float64(out.Totals.BatchesReceived) / float64(out.Purges) / float64(len(r.gateways))
	}
	for _, role := range roles {
		role.In, role.Out = role.In/float64(role.Gateways), role.Out/float64(role.Gateways)
		out.Roles = append(out.Roles, *role)
	}
	slices.SortFunc(out.Roles, func(a, b RoleCost) int {
		return cmp.Or(cmp.Compare(a.Gateways, b.Gateways), cmp.Compare(a.Role, b.Role))
	})
	out.In, out.Out, out.Both, out.Datagrams = distributionOf(in), distributionOf(sent), distributionOf(both), distributionOf(grams)
	fmt.Fprint(r.digest, in, sent, grams, out.Applied, out.BehindTime, r.net.Steps())
	out.Digest = fmt.Sprintf("%016x", r.digest.Sum64())
	out.checkLimits(o)
}

func (r *broadcastRun) endCounters(i int) Counters {
	if i < len(r.result.endedCounters) {
		return r.result.endedCounters[i]
	}
	return r.net.Counters(i)
}

// checkLimits tells what must not be.
func (b *BroadcastReport) checkLimits(o *BroadcastOptions) {
	wrong := func(is bool, format string, a ...any) {
		if is {
			b.Violations = append(b.Violations, fmt.Sprintf(format, a...))
		}
	}
	wrong(b.LostPairs > 0, "%d of %d purges were not heard by some gateways (%d pairs)", b.Lost, b.Purges, b.LostPairs)
	wrong(b.LostAcrossCut > 0, "%d pairs of a purge and a gateway beyond the cut were not heard after the heal", b.LostAcrossCut)
	wrong(b.LostFresh > 0, "%d of %d pairs of a purge and a gateway just started were not heard", b.LostFresh, b.FreshPairs)
	wrong(b.InTimeShare < 1, "everywhere within %v: %.4f of the purges", o.Deadline, b.InTimeShare)
	wrong(b.Both.Max > o.BytesPerSecond, "%.0f bytes a second of a gateway, %.0f were allowed", b.Both.Max, o.BytesPerSecond)
	wrong(b.UnknownPurges > 0, "%d purges heeded that nobody issued", b.UnknownPurges)
	wrong(b.UnreadableFrames > 0, "%d frames could not be read", b.UnreadableFrames)
	wrong(b.RefusedDatagrams > 0, "%d datagrams were too long", b.RefusedDatagrams)
}
