package fleet

// LimitReport is what was let in against a limit of the whole fleet. A bucket lets a burst of half a second's worth through after a
// quiet time, and each gateway's holds at least one lookup (package limit); the bound of a window is what the limit gives in it and that.
type LimitReport struct {
	Limit     float64 `json:"limit"`
	FleetWide bool    `json:"fleet"`
	Mean      float64 `json:"mean"`     // let in a second, after the first 10 s
	MaxIn1s   float64 `json:"most_1s"`  // in any second, of the limit
	MaxIn10s  float64 `json:"most_10s"` // in any ten seconds, a second, of the limit
	Bound1s   float64 `json:"bound_1s"`
	Bound10s  float64 `json:"bound_10s"`
	PerSecond []int   `json:"per_second"`
}

func (l *lookupLoad) limitReport(lim *Limit, gateways int) *LimitReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &LimitReport{Limit: lim.LookupsPerSecond, FleetWide: lim.FleetWide}
	for i, n := range l.admitted {
		if i%slotsPerSecond == 0 {
			r.PerSecond = append(r.PerSecond, 0)
		}
		r.PerSecond[i/slotsPerSecond] += n
	}
	sum := 0
	for _, n := range r.PerSecond[min(10, len(r.PerSecond)):] {
		sum += n
	}
	r.Mean = float64(sum) / float64(max(1, len(r.PerSecond)-10))
	r.MaxIn1s = float64(maxInWindow(l.admitted, slotsPerSecond)) / lim.LookupsPerSecond
	r.MaxIn10s = float64(maxInWindow(l.admitted, 10*slotsPerSecond)) / 10 / lim.LookupsPerSecond
	burst := 0.5 + float64(gateways)/lim.LookupsPerSecond
	r.Bound1s = 1 + lim.MaxOverrun + burst + 1.0/slotsPerSecond // windows are of whole parts
	r.Bound10s = 1 + lim.MaxOverrun + (burst+1.0/slotsPerSecond)/10
	return r
}

// maxInWindow is how many lookups were let in, at most, within so many parts in a row.
func maxInWindow(in []int, parts int) (most int) {
	sum := 0
	for i, n := range in {
		sum += n
		if i >= parts {
			sum -= in[i-parts]
		}
		most = max(most, sum)
	}
	return most
}
