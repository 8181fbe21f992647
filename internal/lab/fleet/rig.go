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
	peerPort   = 7946
	clientPort = 10080
	frontPort  = 20000
	look       = 20 * time.Millisecond
	stopIn     = 12 * time.Second
)

// Options are where a run is made.
type Options struct {
	Program string // the gateway's
	Dir     string // for settings and logs; made, not removed
	Seed    uint64
	Net     int // which loopback networks it takes, 0 to 60; runs at once need different ones
	Tell    func(format string, a ...any)
}

// Rig is one run of a scenario on real processes.
type Rig struct {
	s      *Scenario
	o      Options
	cast   *Cast
	links  *Links
	relay  *Relay
	all    []*process
	by     map[string]*process
	began  time.Time
	load   *load
	spread *spread // nil: the scenario tells no purges at a rate

	mu       sync.Mutex
	states   []moment // agreement over time
	events   []Event
	falsely  int
	marks    []mark
	caches   []*standin.Cache
	bulletin *standin.Discovery
	poke     chan struct{}
	over     chan struct{}
}

// moment is what the rig saw at a time, if it differs from the moment before.
type moment struct {
	at          time.Duration
	agree, told bool
	least, most int // live members in the views of running gateways
	up          int
}

type mark struct {
	at    time.Duration
	step  int // -1: ready, len(steps): the end
	bytes map[string]traffic
}

type traffic struct{ packets, bytes, streams uint64 }

// Event is a change of a view, as a gateway logged it.
type Event struct {
	AtMS  int64  `json:"at_ms"`
	On    string `json:"on"`
	Name  string `json:"name"`
	State string `json:"state"`
	By    string `json:"by,omitempty"`
	Why   string `json:"why,omitempty"`
	False bool   `json:"false,omitempty"` // it was told dead while it ran, with ways open both ways
}

const mostEvents = 20_000

// Run plays a scenario once. An error is of the rig; what the fleet did wrong stands in the report.
func Run(s *Scenario, o Options) (*Report, error) {
	if o.Tell == nil {
		o.Tell = func(string, ...any) {}
	}
	links := NewLinks(o.Seed)
	r := &Rig{s: s, o: o, cast: s.NewCast(o.Seed), links: links, relay: NewRelay(links, s.streams()), by: map[string]*process{}, poke: make(chan struct{}, 1), over: make(chan struct{})}
	defer r.close()
	if err := r.open(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(1)
	go func() { defer wait.Done(); r.watch(stop) }()
	err := r.play()
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
	hostsInBlock    = 250
	bulletinBlock   = 9
	doorBlocks      = 10 // of gateways, under which the others know them
	ownBlocks       = 20 // where gateways listen
	frontBlocks     = 30 // where each gateway finds the bulletin and the caches
	cacheBlocks     = 40
	firstCacheFront = 10_000 // port of the front to the first cache
)

// addr is host i, counted from 0, of a run of blocks.
func (r *Rig) addr(blocks, i, port int) netip.AddrPort {
	block, host := blocks+i/hostsInBlock, 1+i%hostsInBlock
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(60 + r.o.Net), byte(block), byte(host)}), uint16(port))
}

func (r *Rig) open() error {
	if err := os.MkdirAll(r.o.Dir, 0o700); err != nil {
		return err
	}
	var err error
	if r.bulletin, err = standin.NewDiscovery(r.addr(bulletinBlock, 0, 8500).String(), 1); err != nil {
		return err
	}
	go drop(r.bulletin.Subscribed, r.over) // nobody here asks what gateways asked for
	var members []standin.Endpoint
	for i := range int(r.s.Caches) + 2 {
		flavor, zone := "edge", "town"
		if i >= int(r.s.Caches) {
			flavor, zone = []string{"parent", "origin"}[i-int(r.s.Caches)], "hub"
		}
		toy := &toy{held: map[string]time.Time{}}
		c, err := standin.NewCache(r.addr(cacheBlocks, i, frontPort).String(), toy.answer)
		if err != nil {
			return err
		}
		r.caches = append(r.caches, c)
		go drop(c.Cancelled, r.over)
		members = append(members, standin.Endpoint{ID: fmt.Sprintf("c%d", i+1), HostPort: c.Addr, Locality: zone, Flavor: flavor, Phase: "up", Size: 1})
	}
	var seeds []string
	for i := range int(r.s.Seeds) {
		seeds = append(seeds, r.addr(doorBlocks, i, peerPort).String())
	}
	for i, name := range r.s.names() {
		own, door := r.addr(ownBlocks, i, peerPort), r.addr(doorBlocks, i, peerPort)
		if err := r.relay.Add(name, door, own); err != nil {
			return err
		}
		p := &process{name: name, dir: filepath.Join(r.o.Dir, name), program: r.o.Program, clients: r.addr(ownBlocks, i, clientPort).String(), rig: r}
		if err := os.MkdirAll(p.dir, 0o700); err != nil {
			return err
		}
		if p.log, err = os.Create(filepath.Join(p.dir, "log")); err != nil {
			return err
		}
		its := slices.Clone(members)
		for j := range its {
			front := r.addr(frontBlocks, i, firstCacheFront+j)
			if err := r.relay.Front(name, its[j].ID, front, netip.MustParseAddrPort(its[j].HostPort)); err != nil {
				return err
			}
			its[j].HostPort = front.String()
		}
		front := r.addr(frontBlocks, i, frontPort)
		if err := r.relay.Front(name, Bulletin, front, netip.MustParseAddrPort(r.bulletin.Addr)); err != nil {
			return err
		}
		p.bulletin = front.String()
		if err := r.settings(p, i, its, seeds, own, door); err != nil {
			return err
		}
		r.all = append(r.all, p)
		r.by[name] = p
	}
	return nil
}

// settings writes what a gateway is told.
func (r *Rig) settings(p *process, i int, caches []standin.Endpoint, seeds []string, own, door netip.AddrPort) error {
	f := r.s.Fleet
	f.Listen, f.Advertise, f.Seeds, f.Socket = own.String(), door.String(), seeds, p.socket()
	at := r.s.place(p.name)
	f.Region, f.Zone, f.Site = at.Region, at.Zone, at.Site
	if r.s.Disk {
		f.Folder = filepath.Join(p.dir, "kept")
	}
	its := map[string]any{"fleet": f}
	if l := r.s.Limit; l != nil {
		its["routing"] = map[string]any{"pools": map[string]any{"all": map[string]any{"locations": []string{"town"}}},
			"routes":  []any{map[string]any{"name": "all", "tenant": "all", "to": []any{map[string]any{"pool": "all"}}}},
			"tenants": map[string]any{"all": map[string]any{"lookups_a_second": l.Lookups, "fleet": l.Fleet}}}
	}
	text, err := json.Marshal(its)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(p.dir, "settings.jsonnet"), text, 0o600); err != nil {
		return err
	}
	config := map[string]any{"name": p.name, "listen": p.clients, "seed": fmt.Sprintf("%x", r.o.Seed*1000+uint64(i)+1),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "bulletin": p.bulletin,
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
	for _, o := range r.s.Offsets {
		if o.Who == p.name {
			p.args = append(p.args, fmt.Sprintf("--clock-offset=%dms", o.MS))
		}
	}
	return nil
}

func (r *Rig) running() (names []string) {
	for _, p := range r.all {
		if p.running() {
			names = append(names, p.name)
		}
	}
	return names
}

func (r *Rig) now() time.Duration { return time.Since(r.began) }

// play starts the fleet and carries the steps out.
func (r *Rig) play() (err error) {
	r.began = time.Now()
	for _, p := range r.all[:len(r.all)-int(r.s.Late)] {
		if err := p.start(); err != nil {
			return err
		}
	}
	r.looked()
	for end := time.Duration(r.s.ReadyMS) * time.Millisecond; !r.is(func(m moment) bool { return m.told }); time.Sleep(look) {
		if r.now() > end {
			return fmt.Errorf("the fleet was not ready within %v: see the logs in %s", end, r.o.Dir)
		}
		if err := r.crashes(); err != nil {
			return err
		}
	}
	ready := r.now()
	r.o.Tell("ready after %v", ready.Round(time.Millisecond))
	r.mark(-1)
	if r.s.Load.PerSecond > 0 {
		if r.load, err = startLoad(r.s.Load, r); err != nil {
			return err
		}
	}
	if r.s.Purges != nil {
		r.spread = startSpread(r)
	}
	for i, st := range r.s.Steps {
		time.Sleep(ready + time.Duration(st.AtMS)*time.Millisecond - r.now())
		r.mark(i)
		at := r.now()
		if err := r.step(st); err != nil {
			return fmt.Errorf("step %d (%s): %w", i, st.Do, err)
		}
		if r.spread != nil {
			r.spread.changed(at)
		}
		r.looked()
	}
	time.Sleep(time.Duration(r.s.EndMS) * time.Millisecond)
	if r.load != nil {
		r.load.stop()
	}
	if r.spread != nil {
		r.spread.stop()
	}
	r.mark(len(r.s.Steps))
	return nil
}

func (r *Rig) step(st Step) error {
	who := []*process{}
	for _, name := range r.cast.Who(st, r.running()) {
		who = append(who, r.by[name])
	}
	var errs []error
	switch st.Do {
	case "split":
		r.links.Split(r.cast.Groups(st))
	case "heal":
		r.links.Heal()
	case "purge":
		r.bulletin.Announce(fmt.Sprintf(`{"recall":{"item":"%016x","issued":%d}}`, r.now().Milliseconds(), time.Now().UnixMilli()))
	case "link":
		r.links.Set(r.cast.names(st.From), r.cast.names(st.To), st.Fault())
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	for _, p := range who {
		all.Add(1)
		go func() {
			defer all.Done()
			var err error
			switch st.Do {
			case "kill":
				err = p.end(syscall.SIGKILL, stopIn)
			case "stop":
				err = p.end(syscall.SIGTERM, stopIn)
			case "pause", "resume":
				err = p.pause(st.Do == "pause")
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
	r.o.Tell("%v %s %s", r.now().Round(time.Millisecond), st.Do, strings.Join(names, " "))
	return errors.Join(errs...)
}

func (r *Rig) crashes() error {
	for _, p := range r.all {
		p.mu.Lock()
		crashed := p.crashed
		p.mu.Unlock()
		if crashed != "" {
			return errors.New(crashed)
		}
	}
	return nil
}

// looked asks for a look at once.
func (r *Rig) looked() {
	select {
	case r.poke <- struct{}{}:
	default:
	}
}

func (r *Rig) is(true func(moment) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.states) > 0 && true(r.states[len(r.states)-1])
}

// watch keeps whether the running gateways agree with what is, over time.
func (r *Rig) watch(stop chan struct{}) {
	every := time.NewTicker(look)
	defer every.Stop()
	for {
		select {
		case <-stop:
			return
		case <-r.poke:
		case <-every.C:
		}
		m := r.lookAround()
		r.mu.Lock()
		if n := len(r.states); n == 0 || !m.like(r.states[n-1]) {
			r.states = append(r.states, m)
		}
		r.mu.Unlock()
	}
}

func (m moment) like(o moment) bool {
	m.at = o.at
	return m == o
}

func (r *Rig) lookAround() moment {
	running := r.running()
	m := moment{at: r.now(), agree: true, told: true, least: len(r.all), up: len(running)}
	if len(running) == 0 {
		return moment{at: m.at}
	}
	for _, side := range r.links.Sides(running) {
		want := map[string]bool{}
		for _, name := range side {
			want[name] = true
		}
		digest := ""
		for _, name := range side {
			p := r.by[name]
			p.mu.Lock()
			sees := p.sees
			agree := maps.Equal(sees.live, want)
			m.least, m.most = min(m.least, len(sees.live)), max(m.most, len(sees.live))
			p.mu.Unlock()
			if digest == "" {
				digest = sees.digest
			}
			m.agree = m.agree && agree
			m.told = m.told && agree && sees.settled && sees.digest == digest
		}
	}
	return m
}

// heard takes a line of a gateway's log.
func (r *Rig) heard(on string, f map[string]string, at time.Time) {
	defer r.looked()
	if f["event"] == "fleet_purge" {
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.events) < mostEvents {
			r.events = append(r.events, Event{AtMS: at.Sub(r.began).Milliseconds(), On: on, Name: f["object"], State: "purge"})
		}
		return
	}
	if f["event"] != "fleet_member" {
		return
	}
	e := Event{AtMS: at.Sub(r.began).Milliseconds(), On: on, Name: f["name"], State: f["state"], By: f["by"], Why: f["why"]}
	if e.State == "dead" && r.by[e.Name] != nil && r.by[e.Name].running() && r.links.Open(on, e.Name) {
		e.False = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.False {
		r.falsely++
	}
	if len(r.events) < mostEvents {
		r.events = append(r.events, e)
	}
}

// mark reads the counts of all running gateways.
func (r *Rig) mark(step int) {
	m := mark{at: r.now(), step: step, bytes: map[string]traffic{}}
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	var wait sync.WaitGroup
	var mu sync.Mutex
	for _, p := range r.all {
		if !p.running() {
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
			m.bytes[key] = traffic{rep.PacketsOut, rep.BytesOut + rep.StreamBytes/2, rep.Streams}
			mu.Unlock()
		}()
	}
	wait.Wait()
	r.mu.Lock()
	r.marks = append(r.marks, m)
	r.mu.Unlock()
}

// close ends all that was started.
func (r *Rig) close() {
	var wait sync.WaitGroup
	for _, p := range r.all {
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.end(syscall.SIGKILL, stopIn)
			p.log.Close()
		}()
	}
	wait.Wait()
	r.relay.Close()
	close(r.over)
	for _, c := range r.caches {
		c.Close()
	}
	if r.bulletin != nil {
		r.bulletin.Close()
	}
}

// drop takes what nobody reads.
func drop[T any](c <-chan T, over <-chan struct{}) {
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
