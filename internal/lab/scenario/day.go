package scenario

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"foldslip/internal/lab/simenv"
	kept "foldslip/internal/store/endpoints"
)

// What the location is like. Times are in the units of the settings, microseconds.
const (
	warmup   = 1500 * time.Millisecond // from the start to the first lookup
	flowKB   = 2400.0                  // of one transfer, a second
	edgeSize = 1.5                     // transfers that an edge bears at once
	parSize  = 3.0
	coldFor  = 13 * time.Second
	coldFrom = 0.16
	fallFor  = time.Second
	fallMore = 3.0
	rampFor  = 21 * time.Second
	rampFrom = 0.064
	rampMore = 2.0
	obey     = 300 * time.Millisecond // to heed a purge
	leave    = 2 * time.Second        // to heed a drain
	goneFor  = 100 * time.Millisecond // after a client left, its lookup is not sent on
	slack    = 50 * time.Millisecond  // more on sockets
	toldBy   = 7 * time.Second        // what is published counts as told by then, if the gateway could hear
	hearing  = 4500 * time.Millisecond
	tries    = 6
)

// kinds of lookups, in the order of the settings.
var kinds = []struct {
	name, effect, group string
	aim, deadline       time.Duration
	stretch             float64
	fresh, grace        time.Duration
	passOn              bool
	share               int // of lookups, in a hundred
}{
	{"segment", "idempotent", "", 400 * time.Millisecond, 5 * time.Second, 1.6, 0, 0, false, 50},
	{"page", "idempotent", "", 250 * time.Millisecond, 2500 * time.Millisecond, 2, 8 * time.Second, 2 * time.Second, false, 40},
	{"order", "at_most_once", "", 600 * time.Millisecond, 3 * time.Second, 2, 0, 0, true, 6},
	{"till", "deduplicated", "zone", 600 * time.Millisecond, 3 * time.Second, 2, 0, 0, true, 4},
}

// Day is a day while it is played.
type Day struct {
	Plan       Plan
	w          *simenv.World
	ref        *referee
	gateways   []*gatewayActor
	caches     []*cache // edges, as the list has them now
	parents    []*cache
	origin     *cache
	byID       map[string]*cache
	bulletins  [2]*bulletin
	events     []event
	front      *front
	ids        int
	zones      int
	story      []string
	reasons    map[string]int
	spoil      spoil
	look       Look
	yesterday  []kept.Endpoint
	early      Early
	proxies    map[*gatewayActor]*proxy
	firstEdges []string // ids of the edges at the day's start
}

// Broken is a rule that was broken.
type Broken struct {
	Rule   string        `json:"rule"`
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"detail"`
}

func (b Broken) String() string {
	return fmt.Sprintf("%.6f s: %s: %s", b.At.Seconds(), b.Rule, b.Detail)
}

// Result is what became of a day.
type Result struct {
	Plan    Plan           `json:"plan"`
	Digest  string         `json:"digest"`
	Broken  []Broken       `json:"broken,omitempty"`
	Steps   uint64         `json:"steps"`
	Virtual time.Duration  `json:"virtual_ns"`
	Lookups int            `json:"lookups"`
	Ends    map[string]int `json:"ends"`    // final answers by status, and what else became of lookups
	Reasons map[string]int `json:"reasons"` // reason codes and modes in the gateways' logs
	Story   []string       `json:"story,omitempty"`
	Early   Early          `json:"early"` // the first 30 s
}

// Look is what may look on while a day is played.
type Look struct {
	Trace func(at time.Duration, line string)
	// The rest is for stories that need a fault at one exact place of a lookup's way.
	begin     func(d *Day)
	decided   func(d *Day, l *life, to string)  // a send is decided and not yet written
	sent      func(d *Day, k *cacheConn, q *do) // a send is on the wire
	answering func(d *Day, q *do)               // a cache is about to write its answer
	taken     func(d *Day, a *ask)              // a lookup has reached its gateway
	trial     *Trial                            // a change of routes that is tried on all gateways
	script    *script                           // lookups and their sends' endings, in place of clients and caches
}

// Play plays a day. A plan that Check refuses is not played.
func Play(p Plan, look Look) (Result, error) {
	if err := p.Check(); err != nil {
		return Result{}, err
	}
	d := &Day{Plan: p, w: simenv.New(p.Seed), byID: map[string]*cache{}, reasons: map[string]int{}, zones: 1, look: look}
	defer d.w.Close()
	if p.Gateways > 4 {
		d.zones = 2
	}
	d.w.Trace, d.w.Even = look.Trace, look.script != nil
	d.ref = newReferee(d)
	d.w.Quiet = d.ref.quiet
	d.w.Crashed = func(proc *simenv.Proc, text string) { d.ref.broken("crash", "%s: %s", proc.Name, text) }
	d.found(look)
	end := warmup + time.Duration(p.Seconds)*time.Second
	for _, f := range p.Faults {
		k := kindOf(f.Kind)
		begin := func() {
			d.tell("fault %s", f)
			k.begin(d, f)
		}
		if k.allDay {
			begin()
			continue
		}
		d.w.After(warmup+time.Duration(f.At)*time.Millisecond, begin)
	}
	for _, g := range d.gateways {
		g.start()
	}
	if look.script != nil {
		look.script.play(d)
	} else {
		d.w.After(warmup, d.front.open)
	}
	if p.Morning != nil {
		d.away()
	}
	if look.begin != nil {
		look.begin(d)
	}
	d.w.After(end, d.front.shut)
	d.w.Run(end + 6*time.Second)
	for _, g := range d.gateways {
		g.term(false)
	}
	d.w.Run(end + 16*time.Second)
	if len(d.ref.list) == 0 {
		d.ref.final()
	}
	r := Result{Plan: p, Digest: fmt.Sprintf("%016x", d.w.Digest()), Broken: d.ref.list, Steps: d.w.Steps,
		Virtual: d.w.Now(), Lookups: d.ref.asked, Ends: d.ref.ends, Reasons: d.reasons, Early: d.early}
	if len(r.Broken) > 0 {
		r.Story = d.story
	}
	return r, nil
}

// tell adds a line to the story, of which the last are kept.
func (d *Day) tell(format string, a ...any) {
	if len(d.story) >= 60 {
		d.story = slices.Delete(d.story, 0, 1)
	}
	d.story = append(d.story, fmt.Sprintf("%10.6f ", d.w.Now().Seconds())+fmt.Sprintf(format, a...))
	d.w.Note(simenv.StepTell, "", format, 0)
}

// line is a line of a gateway's log.
func (d *Day) line(p *simenv.Proc, level slog.Level, line string) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(line, "event="), " ")
	key := name
	if _, after, ok := strings.Cut(rest, "reason="); ok {
		why, _, _ := strings.Cut(after, " ")
		key += " " + why
	}
	if name == "module" {
		key += " " + mode(rest)
	}
	d.reasons[key]++
	if t := d.look.trial; t != nil && name == "routes" && strings.Contains(rest, "stage=undone") && t.Undone == 0 {
		t.Undone = d.w.Now() - t.at
	}
	if level >= slog.LevelWarn || name == "module" || name == "reread" {
		d.tell("%s %s", p.Name, line)
	}
	if name == "module_fault" {
		d.ref.broken("crash", "%s: %s", p.Name, line)
	}
}

// mode is a module's note without its names and figures.
func mode(note string) string {
	note = strings.TrimPrefix(note, "note=")
	for _, m := range []string{"ejected: unreachable", "ejected: errors", "ejected: silent", "ejected: fills fail", "ejected: slow",
		"readmitted after", "fills pressed", "overload true", "overload false"} {
		if strings.Contains(note, m) {
			return m
		}
	}
	return "other"
}

// found makes the parties.
func (d *Day) found(look Look) {
	for i := range d.Plan.Parents {
		d.parents = append(d.parents, d.newCache("parent", "hub", fmt.Sprintf("10.8.0.%d", i+1), parSize))
	}
	d.origin = d.newCache("origin", "hub", "10.9.0.1", 1000)
	for i := range d.Plan.Caches {
		d.caches = append(d.caches, d.newCache("edge", zoneName(i%d.zones), fmt.Sprintf("10.1.%d.%d", i%d.zones, i+1), edgeSize))
	}
	for _, c := range d.caches {
		d.firstEdges = append(d.firstEdges, c.id)
	}
	for i := range d.bulletins {
		d.bulletins[i] = newBulletin(d, i)
	}
	for i := range d.Plan.Gateways {
		d.gateways = append(d.gateways, newGateway(d, i))
	}
	if d.Plan.proxied() || look.script != nil && look.script.door {
		d.proxies = map[*gatewayActor]*proxy{}
		for _, g := range d.gateways {
			d.proxies[g] = newProxy(d, g, 0)
		}
	}
	if d.Plan.Morning != nil {
		d.dawn()
	}
	members := []member{}
	for _, c := range slices.Concat(d.caches, d.parents, []*cache{d.origin}) {
		members = append(members, c.member(c.phase))
	}
	d.publish(event{Roster: &roster{Revision: 1, Complete: true, Members: members}})
	d.front = newFront(d)
}

func zoneName(i int) string { return [...]string{"town", "hill"}[i] }

// settings is the settings text that a gateway of a zone is given.
func (d *Day) settings(zone int) map[string]any {
	us := func(t time.Duration) int64 { return t.Microseconds() }
	seats := []int{0, 0, 0}
	for i := range d.Plan.Gateways {
		seats[i%d.zones]++
	}
	var classes []map[string]any
	var fresh, grace, worth []float64
	var pass []bool
	for _, k := range kinds {
		classes = append(classes, map[string]any{"name": k.name, "aim": us(k.aim), "aim_stretch": k.stretch,
			"deadline": us(k.deadline), "effect": k.effect, "group": k.group, "late_worth": 0.2, "points": 1.0, "window": 5000000})
		fresh, grace = append(fresh, float64(us(k.fresh))), append(grace, float64(us(k.grace)))
		worth, pass = append(worth, 0.7), append(pass, k.passOn)
	}
	return map[string]any{"areas": []string{"town", "hill", "hub"}, "az": zone, "balancers": d.Plan.Gateways, "discovery": "push",
		"weights": "nominal", "machine_types": []string{"edge", "parent", "origin"},
		"ceilings": map[string]any{"cancelling": true, "connect_timeout": 400000, "keepalive": 30000000,
			"max_retry_after": 2000000, "max_streams": 24, "retry_after": true, "second_copies": false, "try_limit": tries},
		"rules":   map[string]any{"cold": us(coldFor), "cold_from": coldFrom, "fall": us(fallFor), "fall_multiple": fallMore, "stop_sending_within": us(leave)},
		"classes": classes,
		"specifics": map[string]any{"cleared_within": 6000000, "flow_kb_per_s": flowKB, "grace_for": grace, "max_age": fresh,
			"merges_fills": true, "obey_after": us(obey), "parent_breaks_at": rampMore, "parent_kind": 1, "parent_ramp": us(rampFor),
			"parent_starts_at": rampFrom, "pass_on": pass, "seats_by_zone": seats, "source_kind": 2, "tells": "all",
			"worth_when_old": worth}}
}

func must(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // of our own plain types
	}
	return b
}

func (d *Day) chance(most int) int { return d.w.Chance.IntN(most) }

func (d *Day) after(t time.Duration, f func()) { d.w.After(t, f) }
