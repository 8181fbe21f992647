// Package gossip carries what gateways of a fleet tell each other beside the view: limits (package fleet/limits, which decides: what
// lookups here wanted goes in, asks and loans go over the fleet's datagrams, leases are put in force where lookups are let in) and purges
// (package fleet/verdict: what the own bulletin told goes in, and what peers heard before it is heeded here).
//
// One goroutine (Run) does all of it; Take only queues. Bounds: mostQueued frames that wait, past them they are dropped and counted, which
// costs a loan's time and never more than the limit. It lives as long as the gateway.
package gossip

import (
	"cmp"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/fleet/purgesync"
	"foldslip/internal/limit"
)

const (
	mostQueued = 1024
	turn       = 250 * time.Millisecond
	memory     = time.Second // of what was wanted: the mean's time constant
)

// Usual are the settings of all gateways.
var Usual = limits.Settings{Loan: 4_000_000, Lend: 0.8, Turn: 250_000, Wait: 15_000_000}

// Purges are the settings of the purges' book.
var Purges = purgesync.Settings{Turn: 500_000, Keep: 60_000_000}

// Fleet is the part of membership that it needs.
type Fleet interface {
	Send(to string, b []byte) error
	State() membership.State
	Live() []string
}

// Doors are where lookups are let in.
type Doors interface {
	// Shared calls f for each limit of the fleet.
	Shared(f func(name string, t limit.Terms, u limit.Use))
	// Lease puts leases in force, by limit.
	Lease(leases map[string]limit.Lease)
}

// Post is one gateway's.
type Post struct {
	self  string
	fleet Fleet
	doors Doors
	log   *slog.Logger
	began time.Time
	bell  chan struct{}

	mu    sync.Mutex
	in    [][]byte
	lost  uint64
	book  *limits.Book
	seen  map[string]*seen
	names map[uint64]string // of limits, by key
	peers map[uint64]string // of gateways
	ripe  bool

	purges *purgesync.Book
	heed   func([]purgesync.Purge) // nil: purges are not shared
	due    []purgesync.Purge       // to be heeded
}

// seen is what was counted of a limit at the turn before.
type seen struct {
	use            limit.Use
	at             time.Duration
	wanted, in     float64 // lookups a second, of late
	bytes, inBytes float64
	open           float64
}

// New makes a gateway's. doors is nil where no limit can be shared, heed where purges of peers are not to be heeded.
func New(self string, doors Doors, heed func([]purgesync.Purge), log *slog.Logger, seed uint64) *Post {
	p := &Post{self: self, doors: doors, log: log, began: time.Now(), bell: make(chan struct{}, 1), seen: map[string]*seen{},
		names: map[uint64]string{}, peers: map[uint64]string{}}
	p.heed, p.purges = heed, purgesync.New(Purges, rand.New(rand.NewPCG(seed, 0x707572676573)), p.now())
	p.book = limits.New(Usual, rand.New(rand.NewPCG(seed, 0x6c696d697473)), p.now())
	return p
}

// Told takes an event of the own bulletin: its number, and its purges.
func (p *Post) Told(last int64, purges []purgesync.Purge) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.purges.Own(last, purges, p.now())
}

// Over sets the fleet that it goes over, before Run.
func (p *Post) Over(f Fleet) { p.fleet = f }

func (p *Post) now() int64 { return time.Since(p.began).Microseconds() + 1 }

// Take takes a datagram of a peer; the bytes are the caller's.
func (p *Post) Take(b []byte) {
	p.mu.Lock()
	if len(p.in) >= mostQueued || len(b) == 0 {
		p.lost++
	} else {
		p.in = append(p.in, slices.Clone(b))
	}
	p.mu.Unlock()
	select {
	case p.bell <- struct{}{}:
	default:
	}
}

// Run goes on until stop is closed.
func (p *Post) Run(stop <-chan struct{}) {
	every := time.NewTicker(turn)
	defer every.Stop()
	for {
		select {
		case <-stop:
			return
		case <-p.bell:
			p.send(p.read())
		case <-every.C:
			p.send(p.step())
		}
		if p.doors != nil {
			p.lease()
		}
		p.heeds()
	}
}

type letter struct {
	to string
	b  []byte
}

func (p *Post) send(out []letter) {
	for _, l := range out {
		p.fleet.Send(l.to, l.b) // lost, if it cannot be sent: the loan is asked for again
	}
}

// read takes the frames that came, and answers asks.
func (p *Post) read() (out []letter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.in
	p.in = nil
	now := p.now()
	for _, b := range in {
		if b[0] == purgesync.Kind {
			out = append(out, p.purge(b, now)...)
			continue
		}
		f, err := limits.ReadFrame(b)
		from := p.peers[f.From]
		if err != nil || from == "" {
			p.lost++
			continue
		}
		back := limits.Frame{From: limits.Key(p.self), Grants: true}
		for _, e := range f.Entries {
			name := p.names[e.Limit]
			if f.Grants {
				p.book.Took(from, limits.Grant{Name: name, ID: e.ID, Amount: e.Amount, Wanted: e.Wanted, Used: e.Used}, now)
			} else if g, ok := p.book.Lend(from, limits.Ask{Name: name, ID: e.ID, Renews: e.Renews, Amount: e.Amount, Wanted: e.Wanted, Used: e.Used}, now); ok {
				back.Entries = append(back.Entries, limits.Entry{Limit: e.Limit, ID: g.ID, Amount: g.Amount, Wanted: g.Wanted, Used: g.Used})
			}
		}
		if len(back.Entries) > 0 {
			out = append(out, letter{from, back.Append(nil)})
		}
	}
	return out
}

// purge takes a frame of purges, and answers a hello.
func (p *Post) purge(b []byte, now int64) []letter {
	f, err := purgesync.ReadFrame(b)
	from := p.peers[f.From]
	if err != nil || from == "" || p.heed == nil {
		p.lost++
		return nil
	}
	p.due = append(p.due, p.purges.Take(f.Purges, now)...)
	if f.Answer {
		return nil
	}
	if more := p.purges.Answer(f.Seen); len(more) > 0 {
		return []letter{{from, purgesync.Frame{From: limits.Key(p.self), Answer: true, Seen: p.purges.Hello(), Purges: more}.Append(nil)}}
	}
	return nil
}

// heeds brings what peers heard first to where it counts.
func (p *Post) heeds() {
	p.mu.Lock()
	due := p.due
	p.due = nil
	p.mu.Unlock()
	for _, one := range due {
		p.log.Info("fleet_purge", "no", one.No, "object", one.Object, "group", one.Group, "issued_ms", one.Issued)
	}
	if len(due) > 0 {
		p.heed(due)
	}
}

// step is one turn: what was wanted, what the view says, what to ask for.
func (p *Post) step() (out []letter) {
	state, live := p.fleet.State(), p.fleet.Live()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	clear(p.peers)
	peers := slices.DeleteFunc(live, func(name string) bool { return name == p.self })
	for _, name := range peers {
		p.peers[limits.Key(name)] = name
	}
	if p.heed != nil {
		for _, to := range p.purges.Hellos(peers, now) {
			out = append(out, letter{to, purgesync.Frame{From: limits.Key(p.self), Seen: p.purges.Hello()}.Append(nil)})
		}
	}
	if p.doors == nil {
		return out
	}
	p.book.See(limits.Standing{Fleet: state.Fleet, Dead: state.Fleet - state.Live, Rank: state.Rank, Settled: state.Settled}, now)
	all := map[string]limits.Limit{}
	clear(p.names)
	p.doors.Shared(func(name string, t limit.Terms, u limit.Use) {
		s := p.seen[name]
		if s == nil {
			s = &seen{use: u, at: time.Since(p.began)}
			p.seen[name] = s
		}
		s.count(u, time.Since(p.began))
		for _, d := range dimensions(name, t, s) {
			all[d.Name] = d.Limit
			p.names[limits.Key(d.Name)] = d.Name
		}
	})
	p.book.Set(all)
	for name, s := range p.seen {
		kept := false
		for _, d := range dimensions(name, limit.Terms{Lookups: 1, Bytes: 1, Open: 1}, s) {
			if _, is := all[d.Name]; is {
				kept = true
				p.book.Used(d.Name, d.wanted, d.used)
			}
		}
		if !kept {
			delete(p.seen, name)
		}
	}
	if ripe := p.book.Ripe(now); ripe != p.ripe {
		p.ripe = ripe
		p.log.Info("fleet_limits", "whole", ripe, "limits", len(all), "fleet", state.Fleet)
	}
	asks := map[string][]limits.Entry{}
	for _, a := range p.book.Asks(peers, now) {
		asks[a.To] = append(asks[a.To], limits.Entry{Limit: limits.Key(a.Name), ID: a.ID, Renews: a.Renews, Amount: a.Amount, Wanted: a.Wanted, Used: a.Used})
	}
	for to, entries := range asks {
		for some := range slices.Chunk(entries, limits.MostEntries) {
			out = append(out, letter{to, limits.Frame{From: limits.Key(p.self), Entries: some}.Append(nil)})
		}
	}
	slices.SortFunc(out, func(a, b letter) int { return cmp.Compare(a.to, b.to) })
	return out
}

// count takes what was counted until now; means fade with the time constant.
func (s *seen) count(u limit.Use, at time.Duration) {
	d := (at - s.at).Seconds()
	if d <= 0 {
		return
	}
	w := 1 - math.Exp(-d/memory.Seconds())
	mean := func(m *float64, n uint64) { *m += w * (float64(n)/d - *m) }
	mean(&s.wanted, u.Wanted-s.use.Wanted)
	mean(&s.in, u.In-s.use.In)
	mean(&s.bytes, u.WantedBytes-s.use.WantedBytes)
	mean(&s.inBytes, u.InBytes-s.use.InBytes)
	s.open += w * (float64(u.WantedOpen) - s.open)
	s.use, s.at = u, at
}

type dimension struct {
	limits.Limit
	wanted, used float64
}

const (
	lookups = "/lookups"
	bytes   = "/bytes"
	open    = "/open"
)

// dimensions are the limits of one thing.
func dimensions(name string, t limit.Terms, s *seen) (out []dimension) {
	add := func(what string, all float64, whole bool, wanted, used float64) {
		if all > 0 {
			out = append(out, dimension{limits.Limit{Name: name + what, All: all, Whole: whole}, wanted, used})
		}
	}
	add(lookups, t.Lookups, false, s.wanted, s.in)
	add(bytes, t.Bytes, false, s.bytes, s.inBytes)
	add(open, float64(t.Open), true, s.open, float64(s.use.Open))
	return out
}

// lease puts in force what may be let in now.
func (p *Post) lease() {
	p.mu.Lock()
	now, at := p.now(), time.Now()
	leases := map[string]limit.Lease{}
	for name := range p.seen {
		l := limit.Lease{Until: at.Add(time.Hour)}
		get := func(what string) (a, then float64) {
			if _, is := p.names[limits.Key(name+what)]; !is {
				return 0, 0
			}
			x := p.book.Lease(name+what, now)
			if x.Until < math.MaxInt64 {
				if until := at.Add(time.Duration(x.Until-now) * time.Microsecond); until.Before(l.Until) {
					l.Until = until
				}
			}
			return x.Now, x.Then
		}
		var o, oThen float64
		l.Now.Lookups, l.Then.Lookups = get(lookups)
		l.Now.Bytes, l.Then.Bytes = get(bytes)
		o, oThen = get(open)
		l.Now.Open, l.Then.Open = int(o), int(oThen)
		leases[name] = l
	}
	p.mu.Unlock()
	p.doors.Lease(leases)
}

// Rows tells the limits as this gateway sees them.
func (p *Post) Rows() []limits.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Rows(p.now())
}
