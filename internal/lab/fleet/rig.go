package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"foldslip/example/standin"
)

const (
	peerPort              = 7946
	clientPort            = 10080
	discoveryAndCachePort = 20000
	viewInterval          = 20 * time.Millisecond
	stopTimeout           = 12 * time.Second
)

// Options are where a run is made.
type Options struct {
	Program  string // the gateway's
	Dir      string // for settings and logs; made, not removed
	Seed     uint64
	Network  int // which loopback networks it takes, 0 to 60; runs at once need different ones
	Progress func(format string, a ...any)
}

// Rig is one run of a scenario on real processes.
type Rig struct {
	scenario  *Scenario
	options   Options
	selector  *Selector
	links     *Links
	relay     *Relay
	processes []*process
	byName    map[string]*process
	startedAt time.Time
	load      *lookupLoad
	broadcast *broadcastRun // nil: the scenario tells no purges at a rate

	mu             sync.Mutex
	viewStates     []viewState // agreement over time
	events         []Event
	falseDeaths    int
	trafficSamples []trafficSample
	caches         []*standin.Cache
	discovery      *standin.Discovery
	viewsChanged   chan struct{}
	done           chan struct{}
}

// viewState is what the rig saw at a time, if it differs from the moment before.
type viewState struct {
	at               time.Duration
	agreed, settled  bool
	minLive, maxLive int // live members in the views of running gateways
	running          int
}

type trafficSample struct {
	at      time.Duration
	step    int // -1: ready, len(steps): the end
	byStart map[string]traffic
}

type traffic struct{ packets, bytes, streams uint64 }

// Event is a change of a view, as a gateway logged it.
type Event struct {
	AtMS       int64  `json:"at_ms"`
	Observer   string `json:"on"`
	Name       string `json:"name"`
	State      string `json:"state"`
	Source     string `json:"by,omitempty"`
	Reason     string `json:"why,omitempty"`
	FalseDeath bool   `json:"false,omitempty"` // it was told dead while it ran, with ways open both ways
}

const maxEvents = 20_000

// Run plays a scenario once. An error is of the rig; what the fleet did wrong stands in the report.
func Run(s *Scenario, o Options) (*Report, error) {
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	links := NewLinks(o.Seed)
	r := &Rig{scenario: s, options: o, selector: s.NewSelector(o.Seed), links: links, relay: NewRelay(links, s.maxStreams()), byName: map[string]*process{}, viewsChanged: make(chan struct{}, 1), done: make(chan struct{})}
	defer r.close()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(1)
	go func() { defer wait.Done(); r.watchViews(stop) }()
	err := r.runSteps()
	close(stop)
	wait.Wait()
	if err != nil {
		return nil, err
	}
	return r.report(), nil
}

// The rig's loopback network has a run of blocks for each kind of address: the third byte of the first one of the run, hostsInBlock hosts in
// each. Fronts share a gateway's address and differ by port, as there may be a thousand caches.
const (
	hostsInBlock   = 250
	discoveryBlock = 9
	relayBlocks    = 10 // of gateways, under which the others know them
	listenBlocks   = 20 // where gateways listen
	privateBlocks  = 30 // where each gateway finds the bulletin and the caches
	cacheBlocks    = 40
	firstCachePort = 10_000 // port of the front to the first cache
)

// address is host i, counted from 0, of a run of blocks.
func (r *Rig) address(blocks, i, port int) netip.AddrPort {
	block, host := blocks+i/hostsInBlock, 1+i%hostsInBlock
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(60 + r.options.Network), byte(block), byte(host)}), uint16(port))
}

func (r *Rig) setUp() error {
	if err := os.MkdirAll(r.options.Dir, 0o700); err != nil {
		return err
	}
	var err error
	if r.discovery, err = standin.NewDiscovery(r.address(discoveryBlock, 0, 8500).String(), 1); err != nil {
		return err
	}
	go discard(r.discovery.Subscribed, r.done) // nobody here asks what gateways asked for
	var members []standin.Endpoint
	for i := range int(r.scenario.Caches) + 2 {
		flavor, zone := "edge", "town"
		if i >= int(r.scenario.Caches) {
			flavor, zone = []string{"parent", "origin"}[i-int(r.scenario.Caches)], "hub"
		}
		toy := &memoryCache{stored: map[string]time.Time{}}
		c, err := standin.NewCache(r.address(cacheBlocks, i, discoveryAndCachePort).String(), toy.answer)
		if err != nil {
			return err
		}
		r.caches = append(r.caches, c)
		go discard(c.Cancelled, r.done)
		members = append(members, standin.Endpoint{ID: fmt.Sprintf("c%d", i+1), HostPort: c.Addr, Locality: zone, Flavor: flavor, Phase: "up", Size: 1})
	}
	var seeds []string
	for i := range int(r.scenario.Seeds) {
		seeds = append(seeds, r.address(relayBlocks, i, peerPort).String())
	}
	for i, name := range r.scenario.names() {
		own, door := r.address(listenBlocks, i, peerPort), r.address(relayBlocks, i, peerPort)
		if err := r.relay.Add(name, door, own); err != nil {
			return err
		}
		p := &process{name: name, dir: filepath.Join(r.options.Dir, name), program: r.options.Program, clients: r.address(listenBlocks, i, clientPort).String(), rig: r}
		if err := os.MkdirAll(p.dir, 0o700); err != nil {
			return err
		}
		if p.log, err = os.Create(filepath.Join(p.dir, "log")); err != nil {
			return err
		}
		its := slices.Clone(members)
		for j := range its {
			front := r.address(privateBlocks, i, firstCachePort+j)
			if err := r.relay.AddPrivate(name, its[j].ID, front, netip.MustParseAddrPort(its[j].HostPort)); err != nil {
				return err
			}
			its[j].HostPort = front.String()
		}
		front := r.address(privateBlocks, i, discoveryAndCachePort)
		if err := r.relay.AddPrivate(name, DiscoveryName, front, netip.MustParseAddrPort(r.discovery.Addr)); err != nil {
			return err
		}
		p.discovery = front.String()
		if err := r.writeGatewayFiles(p, i, its, seeds, own, door); err != nil {
			return err
		}
		r.processes = append(r.processes, p)
		r.byName[name] = p
	}
	return nil
}

// writeGatewayFiles writes what a gateway is told.
func (r *Rig) writeGatewayFiles(p *process, i int, caches []standin.Endpoint, seeds []string, own, door netip.AddrPort) error {
	f := r.scenario.Fleet
	f.Listen, f.Advertise, f.Seeds, f.Socket = own.String(), door.String(), seeds, p.socket()
	at := r.scenario.locality(p.name)
	f.Region, f.Zone, f.Site = at.Region, at.Zone, at.Site
	if r.scenario.KeepMembers {
		f.Folder = filepath.Join(p.dir, "kept")
	}
	its := map[string]any{"fleet": f}
	if l := r.scenario.Limit; l != nil {
		its["routing"] = map[string]any{"pools": map[string]any{"all": map[string]any{"locations": []string{"town"}}},
			"routes":  []any{map[string]any{"name": "all", "tenant": "all", "to": []any{map[string]any{"pool": "all"}}}},
			"tenants": map[string]any{"all": map[string]any{"lookups_a_second": l.LookupsPerSecond, "fleet": l.FleetWide}}}
	}
	text, err := json.Marshal(its)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(p.dir, "settings.jsonnet"), text, 0o600); err != nil {
		return err
	}
	config := map[string]any{"name": p.name, "listen": p.clients, "seed": fmt.Sprintf("%x", r.options.Seed*1000+uint64(i)+1),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "bulletin": p.discovery,
		"known":    map[string]any{"no": 1, "items": []any{json.RawMessage(`{"no":1,` + standin.EndpointList(true, caches...)[1:])}},
		"settings": json.RawMessage(gatewaySettings)}
	if text, err = json.Marshal(config); err != nil {
		return err
	}
	path := filepath.Join(p.dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	p.env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME="+p.name, "ROUTER_LISTEN=")
	p.args = []string{"serve", "--settings", filepath.Join(p.dir, "settings.jsonnet")}
	for _, o := range r.scenario.ClockOffsets {
		if o.Gateway == p.name {
			p.args = append(p.args, fmt.Sprintf("--clock-offset=%dms", o.MS))
		}
	}
	return nil
}

func (r *Rig) running() (names []string) {
	for _, p := range r.processes {
		if p.isRunning() {
			names = append(names, p.name)
		}
	}
	return names
}

func (r *Rig) now() time.Duration { return time.Since(r.startedAt) }

// runSteps starts the fleet and carries the steps out.
func (r *Rig) runSteps() (err error) {
	r.startedAt = time.Now()
	for _, p := range r.processes[:len(r.processes)-int(r.scenario.LateGateways)] {
		if err := p.start(); err != nil {
			return err
		}
	}
	r.requestObservation()
	for end := time.Duration(r.scenario.ReadyMS) * time.Millisecond; !r.currently(func(m viewState) bool { return m.settled }); time.Sleep(viewInterval) {
		if r.now() > end {
			return fmt.Errorf("the fleet was not ready within %v: see the logs in %s", end, r.options.Dir)
		}
		if err := r.checkCrashes(); err != nil {
			return err
		}
	}
	ready := r.now()
	r.options.Progress("ready after %v", ready.Round(time.Millisecond))
	r.sampleTraffic(-1)
	if r.scenario.Load.PerSecond > 0 {
		if r.load, err = startLoad(r.scenario.Load, r); err != nil {
			return err
		}
	}
	if r.scenario.Purges != nil {
		r.broadcast = startBroadcastRun(r)
	}
	for i, st := range r.scenario.Steps {
		time.Sleep(ready + time.Duration(st.AtMS)*time.Millisecond - r.now())
		r.sampleTraffic(i)
		at := r.now()
		if err := r.runStep(st); err != nil {
			return fmt.Errorf("step %d (%s): %w", i, st.Action, err)
		}
		if r.broadcast != nil {
			r.broadcast.topologyChanged(at)
		}
		r.requestObservation()
	}
	time.Sleep(time.Duration(r.scenario.EndMS) * time.Millisecond)
	if r.load != nil {
		r.load.stop()
	}
	if r.broadcast != nil {
		r.broadcast.stop()
	}
	r.sampleTraffic(len(r.scenario.Steps))
	return nil
}

func (r *Rig) runStep(st Step) error {
	who := []*process{}
	for _, name := range r.selector.Targets(st, r.running()) {
		who = append(who, r.byName[name])
	}
	var errs []error
	switch st.Action {
	case "split":
		r.links.Split(r.selector.Groups(st))
	case "heal":
		r.links.Heal()
	case "purge":
		r.discovery.Announce(fmt.Sprintf(`{"recall":{"item":"%016x","issued":%d}}`, r.now().Milliseconds(), time.Now().UnixMilli()))
	case "link":
		r.links.Set(r.selector.names(st.From), r.selector.names(st.To), st.LinkFault())
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	for _, p := range who {
		all.Add(1)
		go func() {
			defer all.Done()
			var err error
			switch st.Action {
			case "kill":
				err = p.signalAndWait(syscall.SIGKILL, stopTimeout)
			case "stop":
				err = p.signalAndWait(syscall.SIGTERM, stopTimeout)
			case "pause", "resume":
				err = p.setPaused(st.Action == "pause")
			case "start":
				if st.Forget {
					err = os.RemoveAll(filepath.Join(p.dir, "kept"))
				}
				if err == nil {
					err = p.start()
				}
			}
			mu.Lock()
			errs = append(errs, err)
			mu.Unlock()
		}()
	}
	all.Wait()
	names := []string{}
	for _, p := range who {
		names = append(names, p.name)
	}
	r.options.Progress("%v %s %s", r.now().Round(time.Millisecond), st.Action, strings.Join(names, " "))
	return errors.Join(errs...)
}

func (r *Rig) checkCrashes() error {
	for _, p := range r.processes {
		p.mu.Lock()
		crashed := p.crashed
		p.mu.Unlock()
		if crashed != "" {
			return errors.New(crashed)
		}
	}
	return nil
}

// requestObservation asks for a look at once.
func (r *Rig) requestObservation() {
	select {
	case r.viewsChanged <- struct{}{}:
	default:
	}
}

func (r *Rig) currently(true func(viewState) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.viewStates) > 0 && true(r.viewStates[len(r.viewStates)-1])
}

// watchViews keeps whether the running gateways agree with what is, over time.
func (r *Rig) watchViews(stop chan struct{}) {
	every := time.NewTicker(viewInterval)
	defer every.Stop()
	for {
		select {
		case <-stop:
			return
		case <-r.viewsChanged:
		case <-every.C:
		}
		m := r.observeViews()
		r.mu.Lock()
		if n := len(r.viewStates); n == 0 || !m.sameViews(r.viewStates[n-1]) {
			r.viewStates = append(r.viewStates, m)
		}
		r.mu.Unlock()
	}
}

func (m viewState) sameViews(o viewState) bool {
	m.at = o.at
	return m == o
}

func (r *Rig) observeViews() viewState {
	running := r.running()
	m := viewState{at: r.now(), agreed: true, settled: true, minLive: len(r.processes), running: len(running)}
	if len(running) == 0 {
		return viewState{at: m.at}
	}
	for _, side := range r.links.Partitions(running) {
		want := map[string]bool{}
		for _, name := range side {
			want[name] = true
		}
		digest := ""
		for _, name := range side {
			p := r.byName[name]
			p.mu.Lock()
			sees := p.view
			agree := maps.Equal(sees.live, want)
			m.minLive, m.maxLive = min(m.minLive, len(sees.live)), max(m.maxLive, len(sees.live))
			p.mu.Unlock()
			if digest == "" {
				digest = sees.digest
			}
			m.agreed = m.agreed && agree
			m.settled = m.settled && agree && sees.settled && sees.digest == digest
		}
	}
	return m
}

// handleLogEvent takes a line of a gateway's log.
func (r *Rig) handleLogEvent(on string, f map[string]string, at time.Time) {
	defer r.requestObservation()
	if f["event"] == "fleet_purge" {
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.events) < maxEvents {
			r.events = append(r.events, Event{AtMS: at.Sub(r.startedAt).Milliseconds(), Observer: on, Name: f["object"], State: "purge"})
		}
		return
	}
	if f["event"] != "fleet_member" {
		return
	}
	e := Event{AtMS: at.Sub(r.startedAt).Milliseconds(), Observer: on, Name: f["name"], State: f["state"], Source: f["by"], Reason: f["why"]}
	if e.State == "dead" && r.byName[e.Name] != nil && r.byName[e.Name].isRunning() && r.links.IsOpen(on, e.Name) {
		e.FalseDeath = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.FalseDeath {
		r.falseDeaths++
	}
	if len(r.events) < maxEvents {
		r.events = append(r.events, e)
	}
}

// sampleTraffic reads the counts of all running gateways.
func (r *Rig) sampleTraffic(step int) {
	m := trafficSample{at: r.now(), step: step, byStart: map[string]traffic{}}
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	var wait sync.WaitGroup
	var mu sync.Mutex
	for _, p := range r.processes {
		if !p.isRunning() {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			rep, err := p.report(ctx)
			if err != nil {
				return
			}
			p.mu.Lock()
			key := fmt.Sprintf("%s/%d", p.name, p.starts)
			p.mu.Unlock()
			mu.Lock()
			m.byStart[key] = traffic{rep.PacketsOut, rep.BytesOut + rep.StreamBytes/2, rep.Streams}
			mu.Unlock()
		}()
	}
	wait.Wait()
	r.mu.Lock()
	r.trafficSamples = append(r.trafficSamples, m)
	r.mu.Unlock()
}

// close ends all that was started.
func (r *Rig) close() {
	var wait sync.WaitGroup
	for _, p := range r.processes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.signalAndWait(syscall.SIGKILL, stopTimeout)
			p.log.Close()
		}()
	}
	wait.Wait()
	r.relay.Close()
	close(r.done)
	for _, c := range r.caches {
		c.Close()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
}

// discard takes what nobody reads.
func discard[T any](c <-chan T, over <-chan struct{}) {
	for {
		select {
		case <-c:
		case <-over:
			return
		}
	}
}

// gatewaySettings are those of the example, in the form that the platform tells them.
const gatewaySettings = `{"areas":["town","hub"],"az":0,"balancers":12,"discovery":"push","weights":"off",
"machine_types":["edge","parent","origin"],"ceilings":{"cancelling":true,"connect_timeout":400000,"keepalive":30000000,
"max_retry_after":2000000,"max_streams":100,"retry_after":true,"second_copies":true,"try_limit":6},
"rules":{"cold":13000000,"cold_from":0.16,"fall":1000000,"fall_multiple":3.0},
"classes":[{"name":"segment","aim":400000,"aim_stretch":1.6,"deadline":5000000,"effect":"idempotent","late_worth":0.15,"points":2.0}],
"specifics":{"cleared_within":6000000,"flow_kb_per_s":4800.0,"grace_for":[0],"max_age":[0],"merges_fills":true,"obey_after":300000,
"origin_fall":3000000,"parent_breaks_at":2.0,"parent_kind":1,"parent_ramp":21000000,"parent_starts_at":0.064,"pass_on":[false],
"seats_by_zone":[1,0],"source_kind":2,"tells":"all","worth_when_old":[0.7]}}`
