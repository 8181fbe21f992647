package service

import (
	"fmt"
	"net/netip"

	"github.com/hashicorp/memberlist"

	"foldslip/clock"
	"foldslip/config"
	"foldslip/door/operator"
	"foldslip/fleet/link"
	"foldslip/fleet/membership"
	"foldslip/route/steer"
)

// part is this gateway's part in its fleet. Like a door it runs for the gateway's life and ends with the drain; it takes no lookups,
// and no decision asks it.
type part struct {
	fleet *membership.Fleet
	stop  chan struct{}
	ended chan struct{}
}

// joining makes it; nil where the operators' settings name no fleet, as on the platform.
func joining(g clock.Ground, own *config.Settings, name string) (*part, error) {
	if own.Fleet == nil {
		return nil, nil
	}
	c := own.Fleet
	if name == "" {
		return nil, fmt.Errorf("fleet: this gateway has no name; set ROUTER_NAME, unlike that of any other")
	}
	set := membership.Settings{Name: name, Listen: c.Listen, Advertise: c.Advertise, Label: c.Label, Seeds: c.Seeds, SeedFile: c.SeedFile,
		Most: int(c.Members), Expect: int(c.Expect), Probe: config.Ms(c.Probe), ProbeTimeout: config.Ms(c.Timeout), Gossip: config.Ms(c.Gossip),
		Reap: config.Ms(c.Reap), Settle: config.Ms(c.Settle), Rejoin: config.Ms(c.Rejoin)}
	if c.KeyFile != "" {
		key, err := g.ReadFile(c.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("fleet.key_file: %w", err)
		}
		if err := memberlist.ValidateKey(key); err != nil { // never the key itself in a log
			return nil, fmt.Errorf("fleet.key_file: %s holds %d bytes; 16, 24 or 32 are a key", c.KeyFile, len(key))
		}
		set.Key = key
	}
	parts := membership.Ground(g)
	parts.Count = &link.Counts{}
	listen, advertise := netip.MustParseAddrPort(c.Listen), netip.MustParseAddrPort(c.Advertise) // checked with the settings
	parts.Open = func() (memberlist.Transport, error) { return link.Open(listen, advertise, parts.Count, g.Log()) }
	if c.Folder != "" {
		disk, err := g.Folder(c.Folder)
		if err != nil {
			return nil, fmt.Errorf("fleet.folder: %w", err)
		}
		shelf, why, err := membership.OpenShelf(disk, name, set.Most)
		if err != nil {
			return nil, fmt.Errorf("fleet.folder: %w", err)
		}
		if why != nil {
			g.Log().Warn("fleet_torn", "folder", c.Folder, "text", why.Error())
		}
		parts.Shelf = shelf
	}
	fleet, err := membership.New(set, parts)
	if err != nil {
		return nil, err
	}
	return &part{fleet, make(chan struct{}), make(chan struct{})}, nil
}

// Run takes part until the gateway drains or its life ends.
func (p *part) Run(life *clock.Life) error {
	defer close(p.ended)
	over := make(chan struct{})
	defer life.OnEnd(func() { close(over) })()
	stop := make(chan struct{})
	go func() {
		select {
		case <-p.stop:
		case <-over:
		}
		close(stop)
	}()
	return p.fleet.Run(stop)
}

// Prepare has nothing that changes at SIGHUP: the seeds' file is read anew by itself, the rest counts from the next start.
func (p *part) Prepare(*config.Settings) (func(), error) { return func() {}, nil }

// Drain leaves the fleet.
func (p *part) Drain() { close(p.stop) }

// Wait waits until it has.
func (p *part) Wait() { <-p.ended }

// operators opens the sockets that the settings name, one where both are the same.
func operators(g clock.Ground, own *config.Settings, routes *steer.Steer, p *part) (doors []Door, err error) {
	routing, of := "", ""
	if routes != nil {
		routing = own.Routing.Socket
	}
	var fleet *membership.Fleet
	if p != nil {
		fleet, of = p.fleet, own.Fleet.Socket
	}
	open := func(what, path string, routes *steer.Steer, fleet *membership.Fleet) {
		if path == "" || err != nil {
			return
		}
		var o *operator.Operator
		if o, err = operator.Open(g, path, routes, fleet); err != nil {
			err = fmt.Errorf("%s.socket: %w", what, err)
			return
		}
		doors = append(doors, o)
	}
	if routing == of {
		open("routing", routing, routes, fleet)
		return doors, err
	}
	open("routing", routing, routes, nil)
	open("fleet", of, nil, fleet)
	return doors, err
}
