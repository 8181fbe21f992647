package scale

import (
	"math/rand/v2"
	"time"
)

// Faults plays what the users' plan names on a Net: 6 machines fail a day, 1,900 gateways are started anew a day and in releases, a rack
// fails each week, a zone once a year, regions lose each other for an hour, a control machine is lost. Each method puts its calls on the
// Net's queue and returns; the times are of the Net's clock.
type Faults struct {
	Net      *Net
	Gateways int // nodes 0 up to it; those after are control machines
	Chance   *rand.Rand
	// Kill and Start end and start a gateway; the Net's own if nil.
	Kill, Start func(i int)
}

// NewFaults makes one; its chance is seeded.
func NewFaults(n *Net, gateways int, seed uint64) *Faults {
	return &Faults{Net: n, Gateways: gateways, Chance: rand.New(rand.NewPCG(seed, 0x6661756c74))}
}

// Gateway names the gateways whose place is as asked.
func (f *Faults) Gateway(is func(Place) bool) []int { return In(f.Net.places[:f.Gateways], is) }

// All names gateways and control machines whose place is as asked.
func (f *Faults) All(is func(Place) bool) []int { return In(f.Net.places, is) }

func (f *Faults) kill(nodes []int) {
	for _, i := range nodes {
		if i < f.Gateways && f.Kill != nil {
			f.Kill(i)
		} else {
			f.Net.Kill(i)
		}
	}
}

func (f *Faults) start(nodes []int) {
	for _, i := range nodes {
		if i < f.Gateways && f.Start != nil {
			f.Start(i)
		} else {
			f.Net.Start(i)
		}
	}
}

// Down kills nodes at a time and starts them after another.
func (f *Faults) Down(at, after time.Duration, nodes []int) {
	f.Net.At(at, func() { f.kill(nodes) })
	f.Net.At(at+after, func() { f.start(nodes) })
}

// Rack has all gateways of a site fail at once.
func (f *Faults) Rack(at, after time.Duration, site int) {
	f.Down(at, after, f.Gateway(func(p Place) bool { return p.Site == site }))
}

// Zone has all of a zone fail at once, control machines too.
func (f *Faults) Zone(at, after time.Duration, zone int) {
	f.Down(at, after, f.All(func(p Place) bool { return p.Zone == zone }))
}

// RegionCut cuts a region off from all others for a time; the control machines in it stay with it.
func (f *Faults) RegionCut(at, after time.Duration, region int) {
	var cut *Cut
	f.Net.At(at, func() {
		cut = f.Net.Cut(f.All(func(p Place) bool { return p.Region == region }), f.All(func(p Place) bool { return p.Region != region }))
	})
	f.Net.At(at+after, func() { cut.Heal() })
}

// RegionsApart cuts every region from every other for a time. Past 11 regions that is one cut for each but the last.
func (f *Faults) RegionsApart(at, after time.Duration) {
	var cuts []*Cut
	f.Net.At(at, func() {
		for r := range f.Net.regions - 1 {
			cuts = append(cuts, f.Net.Cut(f.All(func(p Place) bool { return p.Region == r }), f.All(func(p Place) bool { return p.Region > r })))
		}
	})
	f.Net.At(at+after, func() {
		for _, c := range cuts {
			c.Heal()
		}
	})
}

// Release starts so many gateways anew, evenly over a time and site after site, each down for a while.
func (f *Faults) Release(at, over, down time.Duration, many int) {
	many = min(many, f.Gateways)
	for k := range many {
		f.Down(at+over*time.Duration(k)/time.Duration(many), down, []int{k * f.Gateways / many})
	}
}

// Days has single gateways fail and start anew at the rates of the plan, from a time for so long: failures for half an hour each,
// restarts for 5 s.
func (f *Faults) Days(at, span time.Duration, failures, restarts float64) {
	play := func(aDay float64, down time.Duration) {
		if aDay <= 0 {
			return
		}
		gap := 24 * float64(time.Hour) / aDay
		for t := at + time.Duration(f.Chance.ExpFloat64()*gap); t < at+span; t += time.Duration(f.Chance.ExpFloat64() * gap) {
			f.Down(t, down, []int{f.Chance.IntN(f.Gateways)})
		}
	}
	play(failures, 30*time.Minute)
	play(restarts, 5*time.Second)
}

// ControlLost has a control machine fail: its watches move.
func (f *Faults) ControlLost(at, after time.Duration, machine int) {
	f.Down(at, after, []int{f.Gateways + machine})
}
