package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Spread is of a figure over gateways.
type Spread struct {
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	Most   float64 `json:"most"`
}

func spreadOf(all []float64) (s Spread) {
	if len(all) == 0 {
		return s
	}
	all = slices.Sorted(slices.Values(all))
	return Spread{quantile(all, 0.5), quantile(all, 0.99), all[len(all)-1]}
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
	Most     float64 `json:"most"` // in and out, of the one with most
}

// Late is a purge that was late somewhere.
type Late struct {
	Issued  float64 `json:"issued"`  // seconds after purges began
	Gateway int     `json:"gateway"` // the last that heard it
	Took    float64 `json:"took"`
}

// BroadcastReport is what a run gave. Times are in seconds, -1: never. "Everywhere" is at each gateway that stood (was up and had been
// for 5 s) when the purge was issued and did not end before it heard; bytes are a second, with IP and UDP, while purges are told.
type BroadcastReport struct {
	What      string  `json:"what"`
	Gateways  int     `json:"gateways"`
	Mechanism string  `json:"mechanism"`
	Case      string  `json:"case"`
	Told      string  `json:"told"`
	Rate      float64 `json:"rate"`
	Seed      uint64  `json:"seed"`
	Seconds   float64 `json:"seconds"`

	Purges  int     `json:"purges"`
	Share   float64 `json:"share"`   // of purges that were everywhere within the term
	ByPairs float64 `json:"by_pair"` // of pairs of a purge and a gateway
	P50     float64 `json:"p50"`     // until a purge was everywhere
	P99     float64 `json:"p99"`
	P999    float64 `json:"p999"`
	Most    float64 `json:"most"`

	Late []Late `json:"late,omitempty"` // the latest that were late

	Pairs      int64   `json:"pairs"`
	Lost       int64   `json:"lost"` // purges that some gateway had not heard when the run ended
	LostPairs  int64   `json:"lost_pairs"`
	FreshPairs int64   `json:"fresh_pairs"` // of a purge and a gateway that had started less than 5 s before
	FreshShare float64 `json:"fresh_share"` // of them, within the term
	FreshWorst float64 `json:"fresh_worst"`
	LostFresh  int64   `json:"lost_fresh"`
	Far        int     `json:"far"` // purges told on one side of a cut, from 5 s before it
	LostFar    int64   `json:"lost_far"`
	CaughtUp   float64 `json:"caught_up"`  // from the heal until the last of these was heard on the other side
	HealBytes  float64 `json:"heal_bytes"` // most of a gateway in a second after the heal, in and out

	In        Spread     `json:"in"`
	Out       Spread     `json:"out"`
	Both      Spread     `json:"both"`
	Datagrams Spread     `json:"datagrams"` // in and out, a second
	Worst     float64    `json:"worst"`     // bytes of a gateway's worst second, in or out
	Roles     []RoleCost `json:"roles"`
	Said      float64    `json:"said"`   // batches that a purge was put in, by whichever gateway
	Copies    float64    `json:"copies"` // of such a batch that came to a gateway; old: of a purge
	Sums      Tally      `json:"sums"`
	Heeded    int64      `json:"heeded"`
	// Gateways that know that they lack purges: the most at once, at the end, and gateway seconds in all.
	BehindMost int64    `json:"behind_most"`
	BehindEnd  int64    `json:"behind_end"`
	BehindTime float64  `json:"behind_time"`
	Unread     int64    `json:"unread"`  // frames that could not be read
	Unknown    int64    `json:"unknown"` // purges heeded that nobody issued
	Refused    int64    `json:"refused"` // datagrams that were too long
	Kills      int      `json:"kills"`
	Core       float64  `json:"core"` // processor seconds a second of a gateway, the stand-ins' and the network's with it; 0: not measured
	Heap       float64  `json:"heap"` // bytes a gateway
	Digest     string   `json:"digest"`
	Wrong      []string `json:"wrong"`

	pairsIn, freshIn int64
	places           []string
	ended            []Counters
}

func never1(s float64) float64 {
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

// report fills in what is worked out at the end.
func (r *broadcastRun) report() {
	out, o := r.r, &r.o
	slices.Sort(r.most)
	within := 0
	for _, s := range r.most {
		if s <= o.Within.Seconds() {
			within++
		}
	}
	out.Share, out.ByPairs, out.FreshShare = share(int64(within), int64(len(r.most))), share(out.pairsIn, out.Pairs), share(out.freshIn, out.FreshPairs)
	if len(r.most) > 0 {
		out.P50, out.P99, out.P999, out.Most = never1(quantile(r.most, 0.5)), never1(quantile(r.most, 0.99)), never1(quantile(r.most, 0.999)), never1(r.most[len(r.most)-1])
	}
	if r.healAt > 0 && r.newest > 0 {
		out.CaughtUp = (r.newest - r.healAt).Seconds()
	}
	for _, s := range r.seconds {
		if r.healAt > 0 && s.at > int64(r.healAt.Seconds()) {
			out.HealBytes = max(out.HealBytes, float64(s.bytes))
		}
	}
	var in, sent, both, grams []float64
	roles := map[string]*RoleCost{}
	for i := range r.all {
		a, b, sec := r.began[i], r.ended(i), o.For.Seconds()
		x, y := float64(b.BytesIn-a.BytesIn)/sec, float64(b.BytesOut-a.BytesOut)/sec
		in, sent, both = append(in, x), append(sent, y), append(both, x+y)
		grams = append(grams, float64(b.In-a.In+b.Out-a.Out)/sec)
		role := roles[out.places[i]]
		if role == nil {
			role = &RoleCost{Role: out.places[i]}
			roles[role.Role] = role
		}
		role.Gateways++
		role.In, role.Out, role.Most = role.In+x, role.Out+y, max(role.Most, x+y)
		out.Worst = max(out.Worst, float64(r.worstIn[i]), float64(r.worstOut[i]))
		out.Refused += r.net.Count(i).Refused
		if r.net.Up(i) {
			out.Sums.add(r.all[i].its.counts())
		}
	}
	if out.Said = 1; out.Mechanism == "new" && out.Purges > 0 {
		out.Said = float64(out.Sums.Said) / float64(out.Purges)
		out.Copies = float64(out.Sums.Copies) / float64(max(1, out.Sums.Batches)) / float64(len(r.all))
	} else if out.Purges > 0 {
		out.Copies = float64(out.Sums.Copies) / float64(out.Purges) / float64(len(r.all))
	}
	for _, role := range roles {
		role.In, role.Out = role.In/float64(role.Gateways), role.Out/float64(role.Gateways)
		out.Roles = append(out.Roles, *role)
	}
	slices.SortFunc(out.Roles, func(a, b RoleCost) int {
		return cmp.Or(cmp.Compare(a.Gateways, b.Gateways), cmp.Compare(a.Role, b.Role))
	})
	out.In, out.Out, out.Both, out.Datagrams = spreadOf(in), spreadOf(sent), spreadOf(both), spreadOf(grams)
	fmt.Fprint(r.digest, in, sent, grams, out.Heeded, out.BehindTime, r.net.Steps())
	out.Digest = fmt.Sprintf("%016x", r.digest.Sum64())
	out.judge(o)
}

func (r *broadcastRun) ended(i int) Counters {
	if i < len(r.r.ended) {
		return r.r.ended[i]
	}
	return r.net.Count(i)
}

// judge tells what must not be.
func (b *BroadcastReport) judge(o *BroadcastOptions) {
	wrong := func(is bool, format string, a ...any) {
		if is {
			b.Wrong = append(b.Wrong, fmt.Sprintf(format, a...))
		}
	}
	wrong(b.LostPairs > 0, "%d of %d purges were not heard by some gateways (%d pairs)", b.Lost, b.Purges, b.LostPairs)
	wrong(b.LostFar > 0, "%d pairs of a purge and a gateway beyond the cut were not heard after the heal", b.LostFar)
	wrong(b.LostFresh > 0, "%d of %d pairs of a purge and a gateway just started were not heard", b.LostFresh, b.FreshPairs)
	wrong(b.Share < 1, "everywhere within %v: %.4f of the purges", o.Within, b.Share)
	wrong(b.Both.Most > o.Bytes, "%.0f bytes a second of a gateway, %.0f were allowed", b.Both.Most, o.Bytes)
	wrong(b.Unknown > 0, "%d purges heeded that nobody issued", b.Unknown)
	wrong(b.Unread > 0, "%d frames could not be read", b.Unread)
	wrong(b.Refused > 0, "%d datagrams were too long", b.Refused)
}
