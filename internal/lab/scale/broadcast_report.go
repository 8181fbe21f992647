package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Distribution summarizes a figure over all gateways.
type Distribution struct {
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"most"`
}

func distributionOf(all []float64) Distribution {
	if len(all) == 0 {
		return Distribution{}
	}
	all = slices.Sorted(slices.Values(all))
	return Distribution{quantile(all, 0.5), quantile(all, 0.99), all[len(all)-1]}
}

// quantile returns the smallest of the sorted values for which a fraction q of them, or more, are not greater.
func quantile(sorted []float64, q float64) float64 {
	return sorted[max(0, int(math.Ceil(q*float64(len(sorted))))-1)]
}

// RoleCost is the traffic of the gateways that have one role in the broadcast tree.
type RoleCost struct {
	Role     string  `json:"role"`
	Gateways int     `json:"gateways"`
	In       float64 `json:"in"`   // mean of the bytes a second received
	Out      float64 `json:"out"`  // mean of the bytes a second sent
	Max      float64 `json:"most"` // bytes a second, in and out, of the gateway with the most traffic
}

// LatePurge is a purge that reached at least one gateway after the deadline.
type LatePurge struct {
	Issued  float64 `json:"issued"`  // seconds after the end of the warm-up
	Gateway int     `json:"gateway"` // index of the last gateway to receive it
	Latency float64 `json:"took"`    // seconds until that gateway received it
}

// BroadcastReport is the result of a run. Times are in seconds; -1 means never. A purge is everywhere when it has
// reached each gateway that had been up for freshDuration when the purge was issued and that did not end before it
// received the purge. Figures of bytes include the IP and UDP headers. Unless stated otherwise they are means per
// second over the time in which purges are published.
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
	InTimeShare     float64 `json:"share"`   // share of the purges that were everywhere within the deadline
	InTimePairShare float64 `json:"by_pair"` // share of Pairs in which the purge arrived within the deadline
	// Quantiles and maximum of the time until a purge was everywhere.
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"most"`

	Late []LatePurge `json:"late,omitempty"` // the purges with the greatest latencies

	Pairs         int64   `json:"pairs"`       // pairs of a purge and a gateway that it has to reach
	Lost          int64   `json:"lost"`        // purges that had not reached all these gateways when the run ended
	LostPairs     int64   `json:"lost_pairs"`  // Pairs in which the purge had not arrived when the run ended
	FreshPairs    int64   `json:"fresh_pairs"` // pairs of a purge and a gateway that was fresh when the purge was issued
	FreshShare    float64 `json:"fresh_share"` // share of FreshPairs in which the purge arrived within the deadline
	FreshWorst    float64 `json:"fresh_worst"` // greatest latency at a fresh gateway
	LostFresh     int64   `json:"lost_fresh"`  // FreshPairs in which the purge had not arrived when the run ended
	AcrossCut     int     `json:"far"`         // purges published on one side of a cut; see issuedPurge.acrossCut
	LostAcrossCut int64   `json:"lost_far"`    // pairs of such a purge and a gateway on the other side, without arrival
	CaughtUp      float64 `json:"caught_up"`   // time from the heal until the last of these purges reached the other side
	HealBytes     float64 `json:"heal_bytes"`  // most bytes of a gateway in one second after the heal, in and out

	In                 Distribution `json:"in"`
	Out                Distribution `json:"out"`
	Both               Distribution `json:"both"`
	Datagrams          Distribution `json:"datagrams"` // datagrams a second, in and out
	WorstSecond        float64      `json:"worst"`     // most bytes of a gateway in one second, in or out
	Roles              []RoleCost   `json:"roles"`
	BatchesPerPurge    float64      `json:"said"`   // batches of all gateways that contained a purge; old mechanism: 1
	DeliveriesPerBatch float64      `json:"copies"` // times that a batch reached a gateway; old mechanism: a purge
	Totals             Tally        `json:"sums"`
	Applied            int64        `json:"heeded"` // purges that gateways received first from another gateway
	// Gateways that know that they lack purges: the greatest number at one time, the number at the end, and the sum
	// over all gateways of the seconds in this state.
	MaxBehind        int64    `json:"behind_most"`
	BehindAtEnd      int64    `json:"behind_end"`
	BehindTime       float64  `json:"behind_time"`
	UnreadableFrames int64    `json:"unread"`  // received frames with an error
	UnknownPurges    int64    `json:"unknown"` // received purges that were never issued
	RefusedDatagrams int64    `json:"refused"` // datagrams that the Network refused; see Counters
	Kills            int      `json:"kills"`   // kills of gateways by the fault case
	CoreShare        float64  `json:"core"`    // share of a core per gateway, simulation included; 0: not measured
	Heap             float64  `json:"heap"`    // bytes of heap of a gateway's spreader, mean; 0: not measured
	Digest           string   `json:"digest"`  // hash of the latencies and the traffic; equal for equal runs
	Violations       []string `json:"wrong"`   // limits that the run exceeded

	pairsInTime, freshInTime int64
	roles                    []string
	countersAtEnd            []Counters
}

// secondsOrNever returns s, or -1 if s is infinite.
func secondsOrNever(s float64) float64 {
	if math.IsInf(s, 1) {
		return -1
	}
	return s
}

// share returns part/all, or 1 if all is 0.
func share(part, all int64) float64 {
	if all == 0 {
		return 1
	}
	return float64(part) / float64(all)
}

// fillReport computes the figures of the report after the run has ended.
func (r *broadcastRun) fillReport() {
	out, o := r.result, &r.options
	slices.Sort(r.everywhereAfter)
	inTime := 0
	for _, s := range r.everywhereAfter {
		if s <= o.Deadline.Seconds() {
			inTime++
		}
	}
	out.InTimeShare, out.InTimePairShare, out.FreshShare = share(int64(inTime), int64(len(r.everywhereAfter))), share(out.pairsInTime, out.Pairs), share(out.freshInTime, out.FreshPairs)
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
	var in, sent, both, datagrams []float64
	roles := map[string]*RoleCost{}
	for i := range r.gateways {
		a, b, sec := r.countersAtStart[i], r.countersAtEndOf(i), o.Duration.Seconds()
		x, y := float64(b.BytesIn-a.BytesIn)/sec, float64(b.BytesOut-a.BytesOut)/sec
		in, sent, both = append(in, x), append(sent, y), append(both, x+y)
		datagrams = append(datagrams, float64(b.In-a.In+b.Out-a.Out)/sec)
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
	out.In, out.Out, out.Both, out.Datagrams = distributionOf(in), distributionOf(sent), distributionOf(both), distributionOf(datagrams)
	fmt.Fprint(r.digest, in, sent, datagrams, out.Applied, out.BehindTime, r.net.Steps())
	out.Digest = fmt.Sprintf("%016x", r.digest.Sum64())
	out.checkLimits(o)
}

// countersAtEndOf returns a gateway's counters at the end of the time in which purges were published, or the present
// ones before that.
func (r *broadcastRun) countersAtEndOf(i int) Counters {
	if i < len(r.result.countersAtEnd) {
		return r.result.countersAtEnd[i]
	}
	return r.net.Counters(i)
}

// checkLimits adds a violation to the report for each limit that the run exceeded.
func (b *BroadcastReport) checkLimits(o *BroadcastOptions) {
	violation := func(violated bool, format string, a ...any) {
		if violated {
			b.Violations = append(b.Violations, fmt.Sprintf(format, a...))
		}
	}
	violation(b.LostPairs > 0, "%d of %d purges were not heard by some gateways (%d pairs)", b.Lost, b.Purges, b.LostPairs)
	violation(b.LostAcrossCut > 0, "%d pairs of a purge and a gateway beyond the cut were not heard after the heal", b.LostAcrossCut)
	violation(b.LostFresh > 0, "%d of %d pairs of a purge and a gateway just started were not heard", b.LostFresh, b.FreshPairs)
	violation(b.InTimeShare < 1, "everywhere within %v: %.4f of the purges", o.Deadline, b.InTimeShare)
	violation(b.Both.Max > o.BytesPerSecond, "%.0f bytes a second of a gateway, %.0f were allowed", b.Both.Max, o.BytesPerSecond)
	violation(b.UnknownPurges > 0, "%d purges heeded that nobody issued", b.UnknownPurges)
	violation(b.UnreadableFrames > 0, "%d frames could not be read", b.UnreadableFrames)
	violation(b.RefusedDatagrams > 0, "%d datagrams were too long", b.RefusedDatagrams)
}
