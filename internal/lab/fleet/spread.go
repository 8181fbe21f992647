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

// PurgeLoad are those that the bulletin tells at a steady rate, and what their spreading among gateways is held to (docs/fleet-broadcast-operators.md).
type PurgeLoad struct {
	PerSecond float64 `json:"per_second"`
	FromMS    int64   `json:"from_ms"` // after the fleet was ready
	ForMS     int64   `json:"for_ms"`
	MinShare  float64 `json:"share,omitempty"` // at least that part must be heeded in time by gateways that do not hear the bulletin
}

// GatewayLocality is where some gateways stand.
type GatewayLocality struct {
	Gateways []string `json:"who"`
	Region   string   `json:"region"`
	Zone     string   `json:"zone"`
	Site     string   `json:"site"`
}

const (
	broadcastWithin = 4500 * time.Millisecond // from when the bulletin told it
	rewatchWithin   = 12 * time.Second        // a gateway may have its watch back so late after its way to the bulletin was mended: stall and a wait
	pollInterval    = 500 * time.Millisecond
	maxPurges       = 3000 // purges of a scenario
)

// BroadcastReport is how purges that the bulletin told came to gateways that could not hear it. A pair is a purge and a gateway that from
// then on for spreadIn ran, had no way to the bulletin and had, by way of others too, one to a gateway that heard it; who started or was
// reached anew counts once all views agreed.
type BroadcastReport struct {
	Purges                int     `json:"told"`
	Pairs                 int     `json:"pairs"`
	InTime                int     `json:"within"` // 4.5 s
	Share                 float64 `json:"share"`
	P50                   int64   `json:"p50_ms"`
	P99                   int64   `json:"p99_ms"`
	Max                   int64   `json:"most_ms"`         // of those that came
	ByWatch               int     `json:"own"`             // purges and gateways that heard the bulletin themselves
	FinalPairs            int     `json:"final"`           // purges and gateways that ran at the end
	MissingPairs          int     `json:"lost"`            // of them those that the gateway's process never heeded
	BusiestBytesPerSecond float64 `json:"busiest_bytes_s"` // in and out, of the busiest gateway at the end: the mean since its process started
	Unreported            int     `json:"unasked"`         // gateways that ran at the end and gave no report
}

// broadcastRun tells purges and asks gateways what they heeded.
type broadcastRun struct {
	rig    *Rig
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu         sync.Mutex
	purges     []publishedPurge
	applied    map[string]*appliedPurges
	topologies []topology
}

type publishedPurge struct {
	object string
	at     time.Duration
}

// appliedPurges are what one process of a gateway heeded, by object, and when for the first time in any process of it.
type appliedPurges struct {
	start          int
	lastNumber     uint64
	current        map[string]bool
	firstAt        map[string]time.Duration
	bytesPerSecond float64
	reported       bool
}

// topology is who runs, who reaches whom and who hears the bulletin, from a step on; the step was over at done.
type topology struct {
	from, completeAt time.Duration
	running          map[string]bool
	watching         map[string]bool
	side             map[string]int
}

func (r *Rig) topology(at time.Duration) topology {
	running := r.running()
	w := topology{at, r.now(), map[string]bool{}, map[string]bool{}, map[string]int{}}
	for _, name := range running {
		w.running[name] = true
		w.watching[name] = r.links.IsOpen(DiscoveryName, name)
	}
	for i, side := range r.links.Partitions(running) {
		for _, name := range side {
			w.side[name] = i
		}
	}
	return w
}

func startBroadcastRun(r *Rig) *broadcastRun {
	ctx, cancel := context.WithCancel(context.Background())
	s := &broadcastRun{rig: r, cancel: cancel, applied: map[string]*appliedPurges{}, topologies: []topology{r.topology(0)}}
	for _, p := range r.processes {
		s.applied[p.name] = &appliedPurges{current: map[string]bool{}, firstAt: map[string]time.Duration{}}
	}
	s.wait.Go(func() { s.publish(ctx, r.now()) })
	s.wait.Go(func() {
		every := time.NewTicker(pollInterval)
		defer every.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-every.C:
				s.poll(ctx)
			}
		}
	})
	return s
}

// publish has the bulletin tell purges, each of an object of its own, in its time however late the one before was.
func (s *broadcastRun) publish(ctx context.Context, ready time.Duration) {
	p := s.rig.scenario.Purges
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
		s.purges = append(s.purges, publishedPurge{object, s.rig.now()})
		s.mu.Unlock()
		s.rig.discovery.Announce(fmt.Sprintf(`{"recall":{"item":"%s","issued":%d}}`, object, time.Now().UnixMilli()))
	}
}

// poll asks all running gateways once for what they heeded since the last time.
func (s *broadcastRun) poll(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	var wait sync.WaitGroup
	for _, p := range s.rig.processes {
		if !p.isRunning() {
			continue
		}
		wait.Go(func() { s.pollGateway(ctx, p) })
	}
	wait.Wait()
}

func (s *broadcastRun) pollGateway(ctx context.Context, p *process) {
	starts := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.starts
	}
	start := starts()
	s.mu.Lock()
	h := s.applied[p.name]
	if h.start != start {
		h.start, h.lastNumber, h.current = start, 0, map[string]bool{}
	}
	h.reported = false
	after := h.lastNumber
	s.mu.Unlock()
	r, err := fetchBroadcastReport(ctx, p, after)
	at := s.rig.now()
	if err != nil || starts() != start {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h.lastNumber, h.reported = r.Applied, true
	h.bytesPerSecond = float64(r.Node.BytesIn+r.Node.BytesOut) / max(1, float64(r.UptimeMS)/1000)
	for _, one := range r.Latest {
		when := at - time.Duration(r.UptimeMS-one.AtUptimeMS)*time.Millisecond // no earlier than it was: the answer took its time
		h.current[one.Object] = true
		if was, ok := h.firstAt[one.Object]; !ok || when < was {
			h.firstAt[one.Object] = when
		}
	}
}

func fetchBroadcastReport(ctx context.Context, p *process, after uint64) (*driver.Report, error) {
	a, err := admin.Send(ctx, p.socket(), admin.Request{Command: "broadcast", Version: after})
	if err != nil {
		return nil, err
	}
	if a.Broadcast == nil {
		return nil, errors.New(a.Error)
	}
	return a.Broadcast, nil
}

// topologyChanged notes what a step that began then made of the fleet.
func (s *broadcastRun) topologyChanged(at time.Duration) {
	w := s.rig.topology(at)
	s.mu.Lock()
	s.topologies = append(s.topologies, w)
	s.mu.Unlock()
}

func (s *broadcastRun) stop() {
	s.cancel()
	s.wait.Wait()
	s.poll(context.Background())
}

// topologiesDuring are the worlds of a time, and the index of the first.
func (s *broadcastRun) topologiesDuring(from, to time.Duration) (first int, some []topology) {
	last := 0
	for i, w := range s.topologies {
		if w.from <= from {
			first = i
		}
		if w.from <= to {
			last = i
		}
	}
	return first, s.topologies[first : last+1]
}

// watchedThroughout tells whether a gateway ran and heard the bulletin at a time and long enough before, and does in all these worlds.
func (s *broadcastRun) watchedThroughout(name string, at time.Duration, first int, some []topology) bool {
	for _, w := range some {
		if !w.running[name] || !w.watching[name] {
			return false
		}
	}
	for i := first; i > 0; i-- { // back to when it did not
		if w := s.topologies[i-1]; !w.running[name] || !w.watching[name] {
			return at-s.topologies[i].completeAt >= rewatchWithin
		}
	}
	return true
}

// reachableThroughout tells whether two run and reach each other in all these worlds, and if they had not before, whether all views agreed since.
func (s *broadcastRun) reachableThroughout(a, b string, at time.Duration, first int, some []topology, states []viewState) bool {
	together := func(w topology) bool { return w.running[a] && w.running[b] && w.side[a] == w.side[b] }
	for _, w := range some {
		if !together(w) {
			return false
		}
	}
	for i := first; i > 0; i-- {
		if together(s.topologies[i-1]) {
			continue
		}
		since := s.topologies[i].completeAt + 5*viewInterval // what was seen before the step is over by then
		for j, m := range states {
			over := at
			if j+1 < len(states) {
				over = min(at, states[j+1].at)
			}
			if m.agreed && over > since {
				return true
			}
		}
		return false
	}
	return true
}

// report judges; the rig's mu is held.
func (s *broadcastRun) report(states []viewState) *BroadcastReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := &BroadcastReport{Purges: len(s.purges)}
	var took []int64
	names := slices.Sorted(maps.Keys(s.applied))
	for _, p := range s.purges {
		first, some := s.topologiesDuring(p.at, p.at+broadcastWithin)
		var hearers []string
		for _, name := range names {
			if s.watchedThroughout(name, p.at, first, some) {
				hearers = append(hearers, name)
			}
		}
		for _, name := range names {
			switch {
			case slices.Contains(hearers, name):
				rep.ByWatch++
				continue
			case slices.ContainsFunc(some, func(w topology) bool { return w.watching[name] }):
				continue // its watch comes or goes
			case !slices.ContainsFunc(hearers, func(by string) bool { return s.reachableThroughout(name, by, p.at, first, some, states) }):
				continue
			}
			rep.Pairs++
			if when, ok := s.applied[name].firstAt[p.object]; ok {
				took = append(took, max(0, when-p.at).Milliseconds())
				if when-p.at <= broadcastWithin {
					rep.InTime++
				}
			}
		}
	}
	if slices.Sort(took); len(took) > 0 {
		rep.P50, rep.P99, rep.Max = took[len(took)/2], took[len(took)*99/100], took[len(took)-1]
	}
	rep.Share = float64(rep.InTime) / float64(max(1, rep.Pairs))
	last := s.topologies[len(s.topologies)-1]
	for _, name := range names {
		h := s.applied[name]
		if !last.running[name] {
			continue
		}
		if !h.reported {
			rep.Unreported++
			continue
		}
		rep.BusiestBytesPerSecond = max(rep.BusiestBytesPerSecond, h.bytesPerSecond)
		for _, p := range s.purges {
			rep.FinalPairs++
			if !h.current[p.object] {
				rep.MissingPairs++
			}
		}
	}
	return rep
}

// violations is what must not be.
func (r *BroadcastReport) violations(p *PurgeLoad) (out []string) {
	if r.MissingPairs > 0 {
		out = append(out, fmt.Sprintf("%d purges of %d are lost at gateways that ran at the end", r.MissingPairs, r.FinalPairs))
	}
	if r.Share < p.MinShare {
		out = append(out, fmt.Sprintf("%.4f of %d purges came to gateways within %v, at least %.4f are wanted", r.Share, r.Pairs, broadcastWithin, p.MinShare))
	}
	if p.MinShare > 0 && r.Pairs == 0 {
		out = append(out, "no purge had to come from a peer: the scenario shows nothing")
	}
	if r.Unreported > 0 {
		out = append(out, fmt.Sprintf("%d gateways that ran at the end do not tell what they heeded", r.Unreported))
	}
	return out
}

// locality is where a gateway stands in the scenario.
func (s *Scenario) locality(name string) (p GatewayLocality) {
	for _, p := range s.Localities {
		if slices.Contains(p.Gateways, name) {
			return p
		}
	}
	return p
}

// treeHeads are names of gateways by what they are in the tree of the whole fleet: root, and first-SITE for each site's.
func (s *Scenario) treeHeads() map[string][]string {
	out := map[string][]string{}
	var all []broadcast.Member
	for _, name := range s.names() {
		p := s.locality(name)
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
