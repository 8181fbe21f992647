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
	maxQueuedMessages  = 1024
	stepInterval       = 250 * time.Millisecond
	demandTimeConstant = time.Second // of what was wanted: the mean's time constant
)

// Usual are the settings of all gateways.
var LimitSettings = limits.Settings{LoanDuration: 4_000_000, MaxLentFraction: 0.8, RequestInterval: 250_000, MaxSettleWait: 15_000_000}

// Purges are the settings of the purges' book.
var PurgeSettings = purgesync.Settings{DigestInterval: 500_000, KeepFor: 60_000_000}

// Fleet is the part of membership that it needs.
type Fleet interface {
	Send(to string, b []byte) error
	State() membership.State
	LiveNames() []string
}

// Admission are where lookups are let in.
type Admission interface {
	// Shared calls f for each limit of the fleet.
	FleetLimits(f func(name string, t limit.Spec, u limit.Usage))
	// Lease puts leases in force, by limit.
	ApplyLeases(leases map[string]limit.Lease)
}

// Gossiper is one gateway's.
type Gossiper struct {
	self      string
	fleet     Fleet
	admission Admission
	log       *slog.Logger
	startedAt time.Time
	notify    chan struct{}

	mu              sync.Mutex
	queue           [][]byte
	droppedMessages uint64
	ledger          *limits.Ledger
	demands         map[string]*demand
	limitNames      map[uint64]string // of limits, by key
	peerNames       map[uint64]string // of gateways
	hasFullQuota    bool

	purges        *purgesync.Replica
	onPurges      func([]purgesync.Purge) // nil: purges are not shared
	learnedPurges []purgesync.Purge       // to be heeded
}

// demand is what was counted of a limit at the turn before.
type demand struct {
	lastUse                        limit.Usage
	measuredAt                     time.Duration
	lookupsWanted, lookupsAdmitted float64 // lookups a second, of late
	bytesWanted, bytesAdmitted     float64
	openWanted                     float64
}

// New makes a gateway's. doors is nil where no limit can be shared, heed where purges of peers are not to be heeded.
func New(self string, doors Admission, heed func([]purgesync.Purge), log *slog.Logger, seed uint64) *Gossiper {
	p := &Gossiper{self: self, admission: doors, log: log, startedAt: time.Now(), notify: make(chan struct{}, 1), demands: map[string]*demand{},
		limitNames: map[uint64]string{}, peerNames: map[uint64]string{}}
	p.onPurges, p.purges = heed, purgesync.New(PurgeSettings, rand.New(rand.NewPCG(seed, 0x707572676573)), p.now())
	p.ledger = limits.New(LimitSettings, rand.New(rand.NewPCG(seed, 0x6c696d697473)), p.now())
	return p
}

// RecordPurges takes an event of the own bulletin: its number, and its purges.
func (p *Gossiper) RecordPurges(last int64, purges []purgesync.Purge) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.purges.RecordOwn(last, purges, p.now())
}

// SetFleet sets the fleet that it goes over, before Run.
func (p *Gossiper) SetFleet(f Fleet) { p.fleet = f }

func (p *Gossiper) now() int64 { return time.Since(p.startedAt).Microseconds() + 1 }

// HandleMessage takes a datagram of a peer; the bytes are the caller's.
func (p *Gossiper) HandleMessage(b []byte) {
	p.mu.Lock()
	if len(p.queue) >= maxQueuedMessages || len(b) == 0 {
		p.droppedMessages++
	} else {
		p.queue = append(p.queue, slices.Clone(b))
	}
	p.mu.Unlock()
	select {
	case p.notify <- struct{}{}:
	default:
	}
}

// Run goes on until stop is closed.
func (p *Gossiper) Run(stop <-chan struct{}) {
	every := time.NewTicker(stepInterval)
	defer every.Stop()
	for {
		select {
		case <-stop:
			return
		case <-p.notify:
			p.send(p.handleQueued())
		case <-every.C:
			p.send(p.step())
		}
		if p.admission != nil {
			p.applyLeases()
		}
		p.applyLearnedPurges()
	}
}

type message struct {
	to    string
	frame []byte
}

func (p *Gossiper) send(out []message) {
	for _, l := range out {
		p.fleet.Send(l.to, l.frame) // lost, if it cannot be sent: the loan is asked for again
	}
}

// handleQueued takes the frames that came, and answers asks.
func (p *Gossiper) handleQueued() (out []message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.queue
	p.queue = nil
	now := p.now()
	for _, b := range in {
		if b[0] == purgesync.Kind {
			out = append(out, p.handlePurgeFrame(b, now)...)
			continue
		}
		f, err := limits.ParseFrame(b)
		from := p.peerNames[f.SenderKey]
		if err != nil || from == "" {
			p.droppedMessages++
			continue
		}
		back := limits.Frame{SenderKey: limits.NameKey(p.self), IsGrant: true}
		for _, e := range f.Entries {
			name := p.limitNames[e.LimitKey]
			if f.IsGrant {
				p.ledger.HandleGrant(from, limits.Grant{Limit: name, ID: e.ID, Amount: e.Amount, Demand: e.Demand, Used: e.Used}, now)
			} else if g, ok := p.ledger.HandleRequest(from, limits.Request{Limit: name, ID: e.ID, Renews: e.Renews, Amount: e.Amount, Demand: e.Demand, Used: e.Used}, now); ok {
				back.Entries = append(back.Entries, limits.Entry{LimitKey: e.LimitKey, ID: g.ID, Amount: g.Amount, Demand: g.Demand, Used: g.Used})
			}
		}
		if len(back.Entries) > 0 {
			out = append(out, message{from, back.Append(nil)})
		}
	}
	return out
}

// handlePurgeFrame takes a frame of purges, and answers a hello.
func (p *Gossiper) handlePurgeFrame(b []byte, now int64) []message {
	f, err := purgesync.ParseFrame(b)
	from := p.peerNames[f.SenderKey]
	if err != nil || from == "" || p.onPurges == nil {
		p.droppedMessages++
		return nil
	}
	p.learnedPurges = append(p.learnedPurges, p.purges.Merge(f.Purges, now)...)
	if f.IsDelta {
		return nil
	}
	if more := p.purges.Delta(f.Digest); len(more) > 0 {
		return []message{{from, purgesync.Frame{SenderKey: limits.NameKey(p.self), IsDelta: true, Digest: p.purges.Digest(), Purges: more}.Append(nil)}}
	}
	return nil
}

// applyLearnedPurges brings what peers heard first to where it counts.
func (p *Gossiper) applyLearnedPurges() {
	p.mu.Lock()
	due := p.learnedPurges
	p.learnedPurges = nil
	p.mu.Unlock()
	for _, one := range due {
		p.log.Info("fleet_purge", "no", one.Event, "object", one.Object, "group", one.Group, "issued_ms", one.Issued)
	}
	if len(due) > 0 {
		p.onPurges(due)
	}
}

// step is one turn: what was wanted, what the view says, what to ask for.
func (p *Gossiper) step() (out []message) {
	state, live := p.fleet.State(), p.fleet.LiveNames()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	clear(p.peerNames)
	peers := slices.DeleteFunc(live, func(name string) bool { return name == p.self })
	for _, name := range peers {
		p.peerNames[limits.NameKey(name)] = name
	}
	if p.onPurges != nil {
		for _, to := range p.purges.DigestTargets(peers, now) {
			out = append(out, message{to, purgesync.Frame{SenderKey: limits.NameKey(p.self), Digest: p.purges.Digest()}.Append(nil)})
		}
	}
	if p.admission == nil {
		return out
	}
	p.ledger.UpdateFleet(limits.FleetState{Size: state.FleetSize, NotLive: state.FleetSize - state.Live, Rank: state.Rank, Settled: state.Settled}, now)
	all := map[string]limits.Limit{}
	clear(p.limitNames)
	p.admission.FleetLimits(func(name string, t limit.Spec, u limit.Usage) {
		s := p.demands[name]
		if s == nil {
			s = &demand{lastUse: u, measuredAt: time.Since(p.startedAt)}
			p.demands[name] = s
		}
		s.update(u, time.Since(p.startedAt))
		for _, d := range dimensions(name, t, s) {
			all[d.Name] = d.Limit
			p.limitNames[limits.NameKey(d.Name)] = d.Name
		}
	})
	p.ledger.SetLimits(all)
	for name, s := range p.demands {
		kept := false
		for _, d := range dimensions(name, limit.Spec{LookupsPerSecond: 1, BytesPerSecond: 1, MaxOpen: 1}, s) {
			if _, is := all[d.Name]; is {
				kept = true
				p.ledger.RecordUsage(d.Name, d.demand, d.used)
			}
		}
		if !kept {
			delete(p.demands, name)
		}
	}
	if ripe := p.ledger.HasFullQuota(now); ripe != p.hasFullQuota {
		p.hasFullQuota = ripe
		p.log.Info("fleet_limits", "whole", ripe, "limits", len(all), "fleet", state.FleetSize)
	}
	asks := map[string][]limits.Entry{}
	for _, a := range p.ledger.Requests(peers, now) {
		asks[a.To] = append(asks[a.To], limits.Entry{LimitKey: limits.NameKey(a.Limit), ID: a.ID, Renews: a.Renews, Amount: a.Amount, Demand: a.Demand, Used: a.Used})
	}
	for to, entries := range asks {
		for some := range slices.Chunk(entries, limits.MaxEntries) {
			out = append(out, message{to, limits.Frame{SenderKey: limits.NameKey(p.self), Entries: some}.Append(nil)})
		}
	}
	slices.SortFunc(out, func(a, b message) int { return cmp.Compare(a.to, b.to) })
	return out
}

// update takes what was counted until now; means fade with the time constant.
func (s *demand) update(u limit.Usage, at time.Duration) {
	d := (at - s.measuredAt).Seconds()
	if d <= 0 {
		return
	}
	w := 1 - math.Exp(-d/demandTimeConstant.Seconds())
	mean := func(m *float64, n uint64) { *m += w * (float64(n)/d - *m) }
	mean(&s.lookupsWanted, u.RequestedLookups-s.lastUse.RequestedLookups)
	mean(&s.lookupsAdmitted, u.AdmittedLookups-s.lastUse.AdmittedLookups)
	mean(&s.bytesWanted, u.RequestedBytes-s.lastUse.RequestedBytes)
	mean(&s.bytesAdmitted, u.AdmittedBytes-s.lastUse.AdmittedBytes)
	s.openWanted += w * (float64(u.RequestedOpen) - s.openWanted)
	s.lastUse, s.measuredAt = u, at
}

type dimension struct {
	limits.Limit
	demand, used float64
}

const (
	lookupsSuffix = "/lookups"
	bytesSuffix   = "/bytes"
	openSuffix    = "/open"
)

// dimensions are the limits of one thing.
func dimensions(name string, t limit.Spec, s *demand) (out []dimension) {
	add := func(what string, all float64, whole bool, wanted, used float64) {
		if all > 0 {
			out = append(out, dimension{limits.Limit{Name: name + what, Total: all, Integral: whole}, wanted, used})
		}
	}
	add(lookupsSuffix, t.LookupsPerSecond, false, s.lookupsWanted, s.lookupsAdmitted)
	add(bytesSuffix, t.BytesPerSecond, false, s.bytesWanted, s.bytesAdmitted)
	add(openSuffix, float64(t.MaxOpen), true, s.openWanted, float64(s.lastUse.Open))
	return out
}

// applyLeases puts in force what may be let in now.
func (p *Gossiper) applyLeases() {
	p.mu.Lock()
	now, at := p.now(), time.Now()
	leases := map[string]limit.Lease{}
	for name := range p.demands {
		l := limit.Lease{ExpiresAt: at.Add(time.Hour)}
		get := func(what string) (a, then float64) {
			if _, is := p.limitNames[limits.NameKey(name+what)]; !is {
				return 0, 0
			}
			x := p.ledger.Lease(name+what, now)
			if x.Until < math.MaxInt64 {
				if until := at.Add(time.Duration(x.Until-now) * time.Microsecond); until.Before(l.ExpiresAt) {
					l.ExpiresAt = until
				}
			}
			return x.Now, x.Then
		}
		var o, oThen float64
		l.Granted.LookupsPerSecond, l.Fallback.LookupsPerSecond = get(lookupsSuffix)
		l.Granted.BytesPerSecond, l.Fallback.BytesPerSecond = get(bytesSuffix)
		o, oThen = get(openSuffix)
		l.Granted.MaxOpen, l.Fallback.MaxOpen = int(o), int(oThen)
		leases[name] = l
	}
	p.mu.Unlock()
	p.admission.ApplyLeases(leases)
}

// LimitReports tells the limits as this gateway sees them.
func (p *Gossiper) LimitReports() []limits.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Reports(p.now())
}
