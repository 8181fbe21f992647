package stand

import (
	"os"
	"path/filepath"
	"time"
)

// World is a location with caches, a parent, the origin, a bulletin and gateways.
type World struct {
	Root, Dir string
	Site      Site
	Caches    []*Cache // edges, then the parent, then the origin
	Bulletin  *Bulletin
	Gateways  []*Gateway
	MemoryMB  int
	Sockets   int
}

// Katalog returns settings like those of carsi-katalog at its first size.
func Katalog() Site {
	return Site{
		Areas: []string{"kuzey", "merkez"}, Gateways: 1, DrainGrace: 2 * time.Second, PurgeGrace: 300 * time.Millisecond, MaxAttempts: 6,
		MaxRetryAfter: 2 * time.Second, Tells: "all", Streams: 100, Idle: 30 * time.Second, FlowKB: 4800, SeatsByZone: []int{1, 0},
		Kinds: []Kind{
			{Name: "video-parca", Aim: 400 * time.Millisecond, Stretch: 1.6, Deadline: 5 * time.Second, Effect: "idempotent", Points: 2, LateCost: 0.15,
				Window: 5 * time.Second},
			{Name: "urun-gorsel", Aim: 250 * time.Millisecond, Stretch: 2, Deadline: 2500 * time.Millisecond, Effect: "idempotent", Points: 1,
				LateCost: 0.2, MaxAge: 8 * time.Second, Grace: 12 * time.Second, Window: 5 * time.Second},
		},
	}
}

// Open opens the caches and the bulletin and prepares the gateways, which are not started yet.
func Open(root string, site Site, edges, gateways int, handle func(*Cache, *Do) Answer) (*World, error) {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	w := &World{Root: root, Dir: dir, Site: site, MemoryMB: 192, Sockets: 1024}
	add := func(id, zone, flavor string) error {
		c := &Cache{ID: id, Zone: zone, Flavor: flavor}
		c.Handle = func(do *Do) Answer { return handle(c, do) }
		w.Caches = append(w.Caches, c)
		return c.Listen()
	}
	for i := range edges {
		if err := add("edge-"+string(rune('a'+i)), site.Areas[0], "edge"); err != nil {
			return nil, err
		}
	}
	if err := add("parent", site.Areas[1], "parent"); err != nil {
		return nil, err
	}
	if err := add("origin", site.Areas[1], "origin"); err != nil {
		return nil, err
	}
	if w.Bulletin, err = NewBulletin(w.Caches); err != nil {
		return nil, err
	}
	run, err := RunCommand(root)
	if err != nil {
		return nil, err
	}
	for i := range gateways {
		w.Gateways = append(w.Gateways, &Gateway{Root: root, Run: run, Name: "n" + string(rune('0'+i)), Listen: FreePort(), Dir: dir})
	}
	return w, nil
}

// Configure sets a gateway's configuration to the events so far.
func (w *World) Configure(g *Gateway) {
	g.Config = map[string]any{
		"name": g.Name, "listen": g.Listen, "seed": NewID(),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": w.MemoryMB, "sockets": w.Sockets},
		"bulletin": w.Bulletin.Addr, "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
		"known": w.Bulletin.Known(), "settings": w.Site.Settings(),
	}
}

// Start starts all gateways.
func (w *World) Start() error {
	for _, g := range w.Gateways {
		w.Configure(g)
		if err := g.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Log returns what a gateway logged.
func (w *World) Log(g *Gateway) string {
	text, _ := os.ReadFile(filepath.Join(w.Dir, g.Name+".log"))
	return string(text)
}

// Close ends all gateways and removes the folder.
func (w *World) Close() {
	for _, g := range w.Gateways {
		if g.cmd != nil {
			g.Signal(9)
			g.Wait(5 * time.Second)
		}
	}
	os.RemoveAll(w.Dir)
}
