package fleet

import (
	"fmt"
	"image/color"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Report is what became of one run.
type Report struct {
	Scenario string        `json:"scenario"`
	Seed     uint64        `json:"seed"`
	Gateways int64         `json:"gateways"`
	ReadyMS  int64         `json:"ready_ms"` // until all started gateways had settled
	Steps    []StepReport  `json:"steps"`
	False    int           `json:"false_deaths"` // lines that told dead a gateway that ran and could be reached
	Rest     Traffic       `json:"at_rest"`      // between ready and the first step
	Churn    Traffic       `json:"in_churn"`     // from the first step on
	Load     *LoadReport   `json:"load,omitempty"`
	Limit    *LimitReport  `json:"limit,omitempty"`
	Spread   *SpreadReport `json:"spread,omitempty"` // of purges told at a rate
	Events   []Event       `json:"events,omitempty"`
	Views    []ViewAt      `json:"views,omitempty"`
	Wrong    []string      `json:"wrong,omitempty"` // what must not be
}

// StepReport is how a step ended.
type StepReport struct {
	AtMS     int64  `json:"at_ms"`
	Do       string `json:"do"`
	Awaited  bool   `json:"awaited"`
	Agreed   bool   `json:"agreed"`    // before the next step, for good
	AgreedMS int64  `json:"agreed_ms"` // after the step, the last time all views came to be what is
	Told     bool   `json:"told"`      // and each gateway said that it had settled, on the same set
	ToldMS   int64  `json:"told_ms"`
	BoundMS  int64  `json:"bound_ms,omitempty"`
	Heeded   int    `json:"heeded,omitempty"`    // gateways that heard a purge of peers first
	HeededMS int64  `json:"heeded_ms,omitempty"` // until the last of them had
}

// Traffic is of one gateway, mean over gateways, each second.
type Traffic struct {
	Packets float64 `json:"packets_s"`
	Bytes   float64 `json:"bytes_s"`
	Streams float64 `json:"streams_s"`
	Seconds float64 `json:"seconds"`
}

// ViewAt is the least and the most live members in running gateways' views.
type ViewAt struct {
	AtMS  int64 `json:"at_ms"`
	Least int   `json:"least"`
	Most  int   `json:"most"`
	Up    int   `json:"up"`
	Agree bool  `json:"agree"`
	Told  bool  `json:"told"`
}

func (r *Rig) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := &Report{Scenario: r.s.Name, Seed: r.o.Seed, Gateways: r.s.Gateways, False: r.falsely, Events: r.events}
	if len(r.marks) == 0 {
		return rep
	}
	rep.ReadyMS = r.marks[0].at.Milliseconds()
	for i, st := range r.s.Steps {
		from, to := r.marks[i+1].at, r.marks[i+2].at
		out := StepReport{AtMS: (from - r.marks[0].at).Milliseconds(), Do: st.Do, Awaited: st.Settle != "none", BoundMS: st.BoundMS}
		out.Agreed, out.AgreedMS = lastTurn(r.states, from, to, func(m moment) bool { return m.agree })
		out.Told, out.ToldMS = lastTurn(r.states, from, to, func(m moment) bool { return m.told })
		if st.Do == "purge" {
			for _, e := range r.events {
				if at := time.Duration(e.AtMS) * time.Millisecond; e.State == "purge" && at >= from && at < to {
					out.Heeded, out.HeededMS = out.Heeded+1, e.AtMS-from.Milliseconds()
				}
			}
			if out.Heeded < int(st.Least) || st.BoundMS > 0 && out.HeededMS > st.BoundMS {
				rep.Wrong = append(rep.Wrong, fmt.Sprintf("step %d (purge): %d gateways heard it of peers, the last after %d ms; at least %d within %d ms", i,
					out.Heeded, out.HeededMS, st.Least, st.BoundMS))
			}
		}
		rep.Steps = append(rep.Steps, out)
		if !out.Awaited || st.Do == "purge" {
			continue
		}
		switch {
		case !out.Agreed:
			rep.Wrong = append(rep.Wrong, fmt.Sprintf("step %d (%s): views do not agree with what is before the next step", i, st.Do))
		case !out.Told:
			rep.Wrong = append(rep.Wrong, fmt.Sprintf("step %d (%s): not all gateways said that they had settled", i, st.Do))
		case st.BoundMS > 0 && max(out.AgreedMS, out.ToldMS) > st.BoundMS:
			rep.Wrong = append(rep.Wrong, fmt.Sprintf("step %d (%s): settled after %d ms, bound %d ms", i, st.Do, max(out.AgreedMS, out.ToldMS), st.BoundMS))
		}
	}
	first := 1
	for first < len(r.s.Steps) && r.s.Steps[first-1].Do == "mark" {
		first++
	}
	rep.Rest = between(r.marks[0], r.marks[first])
	rep.Churn = between(r.marks[first], r.marks[len(r.marks)-1])
	for _, m := range r.states {
		rep.Views = append(rep.Views, ViewAt{m.at.Milliseconds(), m.least, m.most, m.up, m.agree, m.told})
	}
	if r.load != nil {
		rep.Load = r.load.report()
		if rep.Load.Lost > 0 {
			rep.Wrong = append(rep.Wrong, fmt.Sprintf("%d lookups got no answer of a gateway that ran", rep.Load.Lost))
		}
	}
	if l := r.s.Limit; l != nil && r.load != nil {
		rep.Limit = r.load.limits(l, len(r.all))
		if l.Fleet && rep.Limit.Most1 > rep.Limit.Bound1 {
			rep.Wrong = append(rep.Wrong, fmt.Sprintf("in one second %.2f of the fleet's limit were let in, bound %.2f", rep.Limit.Most1, rep.Limit.Bound1))
		}
		if l.Fleet && rep.Limit.Most10 > rep.Limit.Bound {
			rep.Wrong = append(rep.Wrong, fmt.Sprintf("in ten seconds %.2f of the fleet's limit were let in, bound %.2f", rep.Limit.Most10, rep.Limit.Bound))
		}
		if rep.Limit.Mean < l.Least*l.Lookups {
			rep.Wrong = append(rep.Wrong, fmt.Sprintf("%.0f a second were let in of a limit of %.0f, at least %.0f are wanted", rep.Limit.Mean, l.Lookups, l.Least*l.Lookups))
		}
	}
	if r.spread != nil {
		rep.Spread = r.spread.report(r.states)
		rep.Wrong = append(rep.Wrong, rep.Spread.wrong(r.s.Purges)...)
	}
	if err := r.crashes(); err != nil {
		rep.Wrong = append(rep.Wrong, err.Error())
	}
	return rep
}

// lastTurn tells whether a thing held at the end of a time, and when it came to hold for good, in milliseconds since its begin.
func lastTurn(states []moment, from, to time.Duration, holds func(moment) bool) (bool, int64) {
	at, held := time.Duration(-1), false
	for _, m := range states {
		if m.at >= to {
			break
		}
		now := holds(m)
		if now && !held {
			at = m.at
		}
		held = now
	}
	return held, max(0, (at - from).Milliseconds())
}

func between(a, b mark) (t Traffic) {
	t.Seconds = (b.at - a.at).Seconds()
	n := 0.0
	for key, late := range b.bytes {
		early, ok := a.bytes[key]
		if !ok || t.Seconds <= 0 {
			continue // it was started meanwhile
		}
		n++
		t.Packets += float64(late.packets-early.packets) / t.Seconds
		t.Bytes += float64(late.bytes-early.bytes) / t.Seconds
		t.Streams += float64(late.streams-early.streams) / t.Seconds
	}
	if n > 0 {
		t.Packets, t.Bytes, t.Streams = t.Packets/n, t.Bytes/n, t.Streams/n
	}
	return t
}

// Plot draws the views over time: least and most live members that a running gateway sees, and how many run.
func (rep *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d: live members in the views of running gateways", rep.Scenario, rep.Seed)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "gateways"
	p.Y.Min = 0
	series := []struct {
		name string
		of   func(ViewAt) int
		c    color.Color
		dash []vg.Length
	}{{"run", func(v ViewAt) int { return v.Up }, color.Gray{150}, []vg.Length{vg.Points(4), vg.Points(3)}},
		{"most seen", func(v ViewAt) int { return v.Most }, color.RGBA{R: 200, G: 90, A: 255}, nil},
		{"least seen", func(v ViewAt) int { return v.Least }, color.RGBA{B: 180, G: 60, A: 255}, nil}}
	for _, s := range series {
		var pts plotter.XYs
		for i, v := range rep.Views {
			x := float64(v.AtMS) / 1000
			if i > 0 { // a staircase
				pts = append(pts, plotter.XY{X: x, Y: pts[len(pts)-1].Y})
			}
			pts = append(pts, plotter.XY{X: x, Y: float64(s.of(v))})
		}
		line, err := plotter.NewLine(pts)
		if err != nil {
			return err
		}
		line.Color, line.Width, line.Dashes = s.c, vg.Points(1.5), s.dash
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	for _, st := range rep.Steps {
		if st.Do == "mark" {
			continue
		}
		x := float64(st.AtMS+rep.ReadyMS) / 1000
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: float64(rep.Gateways) + 1}})
		if err != nil {
			return err
		}
		line.Color = color.Gray{200}
		p.Add(line)
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: 0.3}}, Labels: []string{st.Do}})
		if err != nil {
			return err
		}
		p.Add(labels)
	}
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, path)
}

// Of are the median and the greatest of figures, NaN without any.
func Of(figures []float64) (median, most float64) {
	if len(figures) == 0 {
		return math.NaN(), math.NaN()
	}
	s := slices.Sorted(slices.Values(figures))
	median = s[len(s)/2]
	if len(s)%2 == 0 {
		median = (s[len(s)/2-1] + median) / 2
	}
	return median, s[len(s)-1]
}
