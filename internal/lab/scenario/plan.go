// Package scenario plays days of trouble: gateways of the real program, with parties that are state machines, on a virtual
// world, under faults drawn from a seed, watched by a referee that sees the wires and the true state of every party.
//
// A Plan is all that a day is made of; the same plan gives the same day, byte for byte. Play plays it, Shrink makes the
// smallest plan that still breaks a rule. A day owns its world and everything in it, and leaves nothing behind.
package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Form is the form of plans on file.
const Form = 1

// Plan is a day: its size, its length and its faults.
type Plan struct {
	Form     int      `json:"form"`
	Seed     uint64   `json:"seed"`
	Days     string   `json:"days"`
	Seconds  int      `json:"seconds"` // from the clients' first lookup to their last
	Gateways int      `json:"gateways"`
	Caches   int      `json:"caches"`
	Parents  int      `json:"parents"`
	Rate     float64  `json:"rate"`      // lookups a second at each gateway
	MemoryMB float64  `json:"memory_mb"` // told to each gateway
	FDs      int      `json:"descriptors"`
	Faults   []Fault  `json:"faults"`
	Plant    string   `json:"plant,omitempty"` // a fault of the gateway itself, to prove the referee
	Morning  *Morning `json:"morning,omitempty"`
}

// Fault is one trouble, with its beginning and its span in milliseconds. Who is a number that is taken modulo the
// parties of its kind; More is what the kind makes of it.
type Fault struct {
	At   int    `json:"at_ms"`
	Kind string `json:"kind"`
	Who  int    `json:"who"`
	For  int    `json:"for_ms"`
	More int    `json:"more,omitempty"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%d.%03d s %s who=%d for=%dms", f.At/1000, f.At%1000, f.Kind, f.Who, f.For)
}

// Kind is a kind of fault.
type Kind struct {
	Name, Help  string
	least, most int // span in milliseconds
	weight      int
	allDay      bool
	begin       func(d *Day, f Fault)
}

// Days are the kinds of days and what they draw from.
var Days = map[string]string{
	"mixed":    "faults of every kind, two to nine a day, overlapping",
	"calm":     "no faults",
	"gateways": "gateways die, restart and read anew",
	"caches":   "caches, parents and the origin fail",
	"wires":    "resets, spoilt answers, splits and the bulletin",
	"clients":  "bursts, floods and clients that misbehave",
	"door":     "other proxies ask at the door and make the sends themselves; callers that break the contract, and faults besides",
	"both":     "as door, with half of the clients at the gateway itself",
	"routes":   "operators change the routes of gateways at any time, and confirm, undo or forget it; faults besides",
	"morning":  "gateways start from a list on disk, young or old, while the bulletin is away; few faults besides",
}

func belongs(days, kind string) bool {
	has := func(words ...string) bool {
		return slices.ContainsFunc(words, func(w string) bool { return strings.HasPrefix(kind, w) })
	}
	if has("route_") {
		return days == "routes"
	}
	if has("caller") {
		return days == "door" || days == "both"
	}
	switch days {
	case "mixed", "morning", "routes":
		return true
	case "door", "both": // what happens on a gateway's own connections to caches is not met there
		return has("gateway", "reload", "clock", "cache_kill", "cache_back", "cache_vanish", "cache_hang", "cache_drain", "cache_replace", "cache_slow",
			"cache_errors", "cold", "parent", "origin", "split_caches", "split_bulletin", "spoilt_fault", "bulletin", "purge", "burst", "hot", "little")
	case "gateways":
		return has("gateway", "reload", "clock", "purge")
	case "caches":
		return has("cache", "cold", "parent", "origin", "purge")
	case "wires":
		return has("reset", "spoilt", "split", "bulletin", "purge")
	case "clients":
		return has("burst", "hot", "bad", "client", "little", "few")
	}
	return false
}

// proxied tells whether other proxies ask at the gateways' doors.
func (p Plan) proxied() bool { return p.Days == "door" || p.Days == "both" }

// Draw makes the plan of a seed.
func Draw(seed uint64, days string) Plan {
	r := rand.New(rand.NewPCG(seed, 0x6461792d706c616e))
	p := Plan{Form: Form, Seed: seed, Days: days, Seconds: 60, Gateways: 3, Caches: 8, Parents: 2, Rate: 6 + 6*r.Float64(),
		MemoryMB: 64, FDs: 384}
	if r.IntN(8) == 0 { // now and then a larger place
		p.Gateways, p.Caches, p.Parents = 4+r.IntN(9), 8+r.IntN(33), 2+r.IntN(3)
		p.Rate = min(p.Rate, 30/float64(p.Gateways))
	}
	var from []Kind
	sum := 0
	for _, k := range Kinds {
		if belongs(days, k.Name) {
			from = append(from, k)
			sum += k.weight
		}
	}
	if len(from) == 0 {
		return p
	}
	draw := func() Kind {
		n := r.IntN(sum)
		for _, k := range from {
			if n -= k.weight; n < 0 {
				return k
			}
		}
		return from[0]
	}
	knots := []int{4000 + r.IntN(50000), 4000 + r.IntN(50000)} // troubles gather at two times of the day
	n := 2 + r.IntN(8)
	if days == "routes" {
		for range 3 + r.IntN(6) {
			p.Faults = append(p.Faults, Fault{Kind: "route_change", At: 2000 + r.IntN(55000), Who: r.IntN(1 << 16), More: r.IntN(1 << 16), For: 50 + r.IntN(2000)})
		}
	}
	if days == "morning" {
		p.Morning = drawMorning(r)
		n = r.IntN(4)
	}
	for range n {
		k := draw()
		f := Fault{Kind: k.Name, Who: r.IntN(1 << 16), More: r.IntN(1 << 16), For: k.least + r.IntN(k.most-k.least+1)}
		switch r.IntN(3) {
		case 0:
			f.At = knots[r.IntN(2)] // at the very instant
		case 1:
			f.At = knots[r.IntN(2)] + r.IntN(3000)
		default:
			f.At = 3000 + r.IntN(54000)
		}
		if k.allDay {
			f.At = 0
		}
		p.Faults = append(p.Faults, f)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return a.At - b.At })
	return p
}

// Read reads a plan from a file's text.
func Read(text []byte) (Plan, error) {
	var p Plan
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	var form struct {
		Form int `json:"form"`
	}
	if err := json.Unmarshal(text, &form); err != nil {
		return p, fmt.Errorf("not a plan in JSON: %w", err)
	}
	if form.Form != Form {
		return p, fmt.Errorf("a plan of form %d; this program plays form %d: draw the seed anew", form.Form, Form)
	}
	if err := d.Decode(&p); err != nil {
		return p, fmt.Errorf("not a plan: %w", err)
	}
	return p, p.Check()
}

// Check tells what of a plan cannot be played.
func (p Plan) Check() error {
	in := func(name string, n, least, most int) error {
		if n < least || n > most {
			return fmt.Errorf("%s is %d, expected %d to %d", name, n, least, most)
		}
		return nil
	}
	for _, err := range []error{in("seconds", p.Seconds, 1, 3600), in("gateways", p.Gateways, 1, 12),
		in("caches", p.Caches, 1, 40), in("parents", p.Parents, 1, 8), in("descriptors", p.FDs, 32, 4096),
		in("memory_mb", int(p.MemoryMB), 8, 4096), in("rate", int(p.Rate), 0, 1000)} {
		if err != nil {
			return err
		}
	}
	if _, known := Days[p.Days]; !known {
		return fmt.Errorf("days %q is unknown, expected one of %s", p.Days, strings.Join(sorted(Days), ", "))
	}
	if p.Morning != nil {
		if err := p.Morning.check(); err != nil {
			return err
		}
	}
	for i, f := range p.Faults {
		if kindOf(f.Kind) == nil {
			return fmt.Errorf("faults[%d]: kind %q is unknown; foldslip faults kinds lists them", i, f.Kind)
		}
		if f.At < 0 || f.For < 0 || f.Who < 0 || f.More < 0 {
			return fmt.Errorf("faults[%d]: a figure is negative", i)
		}
	}
	if p.Plant != "" && plants[p.Plant].help == "" && doorPlants[p.Plant].help == "" {
		return fmt.Errorf("plant %q is unknown, expected one of %s", p.Plant, strings.Join(Plants(), ", "))
	}
	return nil
}

func kindOf(name string) *Kind {
	for i := range Kinds {
		if Kinds[i].Name == name {
			return &Kinds[i]
		}
	}
	return nil
}

func sorted[T any](m map[string]T) (names []string) {
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func drawMorning(r *rand.Rand) *Morning {
	return &Morning{From: "list", Age: []int{2, 60, 3600, 86400, 30 * 86400}[r.IntN(5)], Wrong: []float64{0, 0.1, 0.5, 1}[r.IntN(4)],
		Away: []int{0, 3000, 12000, 35000}[r.IntN(4)], Cold: r.IntN(3) == 0, Torn: r.IntN(6) == 0,
		Skew: []int{0, 0, 0, -7200, 7200}[r.IntN(5)], Spans: r.IntN(4) == 0, Behind: r.IntN(4) == 0}
}
