package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"foldslip/internal/admin"
	"foldslip/internal/fleet/broadcast"
	"foldslip/internal/fleet/broadcast/driver"
)

// Purges are those that the bulletin tells at a steady rate, and what their spreading among gateways is held to (docs/fleet-broadcast-operators.md).
type Purges struct {
	PerSecond float64 `json:"per_second"`
	FromMS    int64   `json:"from_ms"` // after the fleet was ready
	ForMS     int64   `json:"for_ms"`
	Share     float64 `json:"share,omitempty"` // at least that part must be heeded in time by gateways that do not hear the bulletin
}

// Place is where some gateways stand.
type Place struct {
	Who    []string `json:"who"`
	Region string   `json:"region"`
	Zone   string   `json:"zone"`
	Site   string   `json:"site"`
}

const (
	spreadIn   = 4500 * time.Millisecond // from when the bulletin told it
	watchAgain = 12 * time.Second        // a gateway may have its watch back so late after its way to the bulletin was mended: stall and a wait
	pollEvery  = 500 * time.Millisecond
	mostTold   = 3000 // purges of a scenario
)

// SpreadReport is how purges that the bulletin told came to gateways that could not hear it. A pair is a purge and a gateway that from
// then on for spreadIn ran, had no way to the bulletin and had, by way of others too, one to a gateway that heard it; who started or was
// reached anew counts once all views agreed.
type SpreadReport struct {
	Told    int     `json:"told"`
	Pairs   int     `json:"pairs"`
	Within  int     `json:"within"` // 4.5 s
	Share   float64 `json:"share"`
	P50     int64   `json:"p50_ms"`
	P99     int64   `json:"p99_ms"`
	Most    int64   `json:"most_ms"`         // of those that came
	Own     int     `json:"own"`             // purges and gateways that heard the bulletin themselves
	Final   int     `json:"final"`           // purges and gateways that ran at the end
	Lost    int     `json:"lost"`            // of them those that the gateway's process never heeded
	Busiest float64 `json:"busiest_bytes_s"` // in and out, of the busiest gateway at the end: the mean since its process started
	Unasked int     `json:"unasked"`         // gateways that ran at the end and gave no report
}

// spread tells purges and asks gateways what they heeded.
type spread struct {
	rig    *Rig
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu     sync.Mutex
	told   []toldPurge
	had    map[string]*heeds
	worlds []world
}

type toldPurge struct {
	object string
	at     time.Duration
}

// heeds are what one process of a gateway heeded, by object, and when for the first time in any process of it.
type heeds struct {
	start int
	after uint64
	now   map[string]bool
	first map[string]time.Duration
	rate  float64
	asked bool
}

// world is who runs, who reaches whom and who hears the bulletin, from a step on; the step was over at done.
type world struct {
	at, done time.Duration
	up       map[string]bool
	hears    map[string]bool
	side     map[string]int
}

func (r *Rig) world(at time.Duration) world {
	running := r.running()
	w := world{at, r.now(), map[string]bool{}, map[string]bool{}, map[string]int{}}
	for _, name := range running {
		w.up[name] = true
		w.hears[name] = r.links.Open(Bulletin, name)
	}
	for i, side := range r.links.Sides(running) {
		for _, name := range side {
			w.side[name] = i
		}
	}
	return w
}

func startSpread(r *Rig) *spread {
	ctx, cancel := context.WithCancel(context.Background())
	s := &spread{rig: r, cancel: cancel, had: map[string]*heeds{}, worlds: []world{r.world(0)}}
	for _, p := range r.all {
		s.had[p.name] = &heeds{now: map[string]bool{}, first: map[string]time.Duration{}}
	}
	s.wait.Go(func() { s.tell(ctx, r.now()) })
	s.wait.Go(func() {
		every := time.NewTicker(pollEvery)
		defer every.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-every.C:
				s.ask(ctx)
			}
		}
	})
	return s
}

// tell has the bulletin tell purges, each of an object of its own, in its time however late the one before was.
func (s *spread) tell(ctx context.Context, ready time.Duration) {
	p := s.rig.s.Purges
	begin := ready + time.Duration(p.FromMS)*time.Millisecond
	for i := range int(p.PerSecond * float64(p.ForMS) / 1000) {
		due := begin + time.Duration(float64(i)/p.PerSecond*float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(due - s.rig.now()):
		}
		object := fmt.Sprintf("%016x", 0x100000+i)
		s.mu.Lock()
		s.told = append(s.told, toldPurge{object, s.rig.now()})
		s.mu.Unlock()
		s.rig.bulletin.Announce(fmt.Sprintf(`{"recall":{"item":"%s","issued":%d}}`, object, time.Now().UnixMilli()))
	}
}

// ask asks all running gateways once for what they heeded since the last time.
func (s *spread) ask(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	var wait sync.WaitGroup
	for _, p := range s.rig.all {
		if !p.running() {
			continue
		}
		wait.Go(func() { s.askOne(ctx, p) })
	}
	wait.Wait()
}

func (s *spread) askOne(ctx context.Context, p *process) {
	starts := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.starts
	}
	start := starts()
	s.mu.Lock()
	h := s.had[p.name]
	if h.start != start {
		h.start, h.after, h.now = start, 0, map[string]bool{}
	}
	h.asked = false
	after := h.after
	s.mu.Unlock()
	r, err := askBroadcast(ctx, p, after)
	at := s.rig.now()
	if err != nil || starts() != start {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h.after, h.asked = r.Applied, true
	h.rate = float64(r.Node.BytesIn+r.Node.BytesOut) / max(1, float64(r.UptimeMS)/1000)
	for _, one := range r.Latest {
		when := at - time.Duration(r.UptimeMS-one.AtUptimeMS)*time.Millisecond // no earlier than it was: the answer took its time
		h.now[one.Object] = true
		if was, ok := h.first[one.Object]; !ok || when < was {
			h.first[one.Object] = when
		}
	}
}

func askBroadcast(ctx context.Context, p *process, after uint64) (*driver.Report, error) {
	a, err := admin.Send(ctx, p.socket(), admin.Request{Command: "broadcast", Version: after})
	if err != nil {
		return nil, err
	}
	if a.Broadcast == nil {
		return nil, errors.New(a.Error)
	}
	return a.Broadcast, nil
}

// changed notes what a step that began then made of the fleet.
func (s *spread) changed(at time.Duration) {
	w := s.rig.world(at)
	s.mu.Lock()
	s.worlds = append(s.worlds, w)
	s.mu.Unlock()
}

func (s *spread) stop() {
	s.cancel()
	s.wait.Wait()
	s.ask(context.Background())
}

// through are the worlds of a time, and the index of the first.
func (s *spread) through(from, to time.Duration) (first int, some []world) {
	last := 0
	for i, w := range s.worlds {
		if w.at <= from {
			first = i
		}
		if w.at <= to {
			last = i
		}
	}
	return first, s.worlds[first : last+1]
}

// heardBy tells whether a gateway ran and heard the bulletin at a time and long enough before, and does in all these worlds.
func (s *spread) heardBy(name string, at time.Duration, first int, some []world) bool {
	for _, w := range some {
		if !w.up[name] || !w.hears[name] {
			return false
		}
	}
	for i := first; i > 0; i-- { // back to when it did not
		if w := s.worlds[i-1]; !w.up[name] || !w.hears[name] {
			return at-s.worlds[i].done >= watchAgain
		}
	}
	return true
}

// reached tells whether two run and reach each other in all these worlds, and if they had not before, whether all views agreed since.
func (s *spread) reached(a, b string, at time.Duration, first int, some []world, states []moment) bool {
	together := func(w world) bool { return w.up[a] && w.up[b] && w.side[a] == w.side[b] }
	for _, w := range some {
		if !together(w) {
			return false
		}
	}
	for i := first; i > 0; i-- {
		if together(s.worlds[i-1]) {
			continue
		}
		since := s.worlds[i].done + 5*look // what was seen before the step is over by then
		for j, m := range states {
			over := at
			if j+1 < len(states) {
				over = min(at, states[j+1].at)
			}
			if m.agree && over > since {
				return true
			}
		}
		return false
	}
	return true
}

// report judges; the rig's mu is held.
func (s *spread) report(states []moment) *SpreadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := &SpreadReport{Told: len(s.told)}
	var took []int64
	names := slices.Sorted(maps.Keys(s.had))
	for _, p := range s.told {
		first, some := s.through(p.at, p.at+spreadIn)
		var hearers []string
		for _, name := range names {
			if s.heardBy(name, p.at, first, some) {
				hearers = append(hearers, name)
			}
		}
		for _, name := range names {
			switch {
			case slices.Contains(hearers, name):
				rep.Own++
				continue
			case slices.ContainsFunc(some, func(w world) bool { return w.hears[name] }):
				continue // its watch comes or goes
			case !slices.ContainsFunc(hearers, func(by string) bool { return s.reached(name, by, p.at, first, some, states) }):
				continue
			}
			rep.Pairs++
			if when, ok := s.had[name].first[p.object]; ok {
				took = append(took, max(0, when-p.at).Milliseconds())
				if when-p.at <= spreadIn {
					rep.Within++
				}
			}
		}
	}
	if slices.Sort(took); len(took) > 0 {
		rep.P50, rep.P99, rep.Most = took[len(took)/2], took[len(took)*99/100], took[len(took)-1]
	}
	rep.Share = float64(rep.Within) / float64(max(1, rep.Pairs))
	last := s.worlds[len(s.worlds)-1]
	for _, name := range names {
		h := s.had[name]
		if !last.up[name] {
			continue
		}
		if !h.asked {
			rep.Unasked++
			continue
		}
		rep.Busiest = max(rep.Busiest, h.rate)
		for _, p := range s.told {
			rep.Final++
			if !h.now[p.object] {
				rep.Lost++
			}
		}
	}
	return rep
}

// wrong is what must not be.
func (r *SpreadReport) wrong(p *Purges) (out []string) {
	if r.Lost > 0 {
		out = append(out, fmt.Sprintf("%d purges of %d are lost at gateways that ran at the end", r.Lost, r.Final))
	}
	if r.Share < p.Share {
		out = append(out, fmt.Sprintf("%.4f of %d purges came to gateways within %v, at least %.4f are wanted", r.Share, r.Pairs, spreadIn, p.Share))
	}
	if p.Share > 0 && r.Pairs == 0 {
		out = append(out, "no purge had to come from a peer: the scenario shows nothing")
	}
	if r.Unasked > 0 {
		out = append(out, fmt.Sprintf("%d gateways that ran at the end do not tell what they heeded", r.Unasked))
	}
	return out
}

// place is where a gateway stands in the scenario.
func (s *Scenario) place(name string) (p Place) {
	for _, p := range s.Places {
		if slices.Contains(p.Who, name) {
			return p
		}
	}
	return p
}

// heads are names of gateways by what they are in the tree of the whole fleet: root, and first-SITE for each site's.
func (s *Scenario) heads() map[string][]string {
	out := map[string][]string{}
	var all []broadcast.Member
	for _, name := range s.names() {
		p := s.place(name)
		all = append(all, broadcast.Member{Name: name, Locality: broadcast.Locality{Region: p.Region, Zone: p.Zone, Site: p.Site}})
	}
	broadcast.SortMembers(all)
	for i, m := range all {
		if i == 0 {
			out["root"] = []string{m.Name}
		}
		if key := "first-" + m.Locality.Site; m.Locality.Site != "" && out[key] == nil {
			out[key] = []string{m.Name}
		}
	}
	return out
}
