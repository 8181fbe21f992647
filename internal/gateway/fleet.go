package gateway

import (
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/admin"
	"foldslip/internal/config"
	"foldslip/internal/discovery"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/fleet/broadcast"
	"foldslip/internal/fleet/broadcast/driver"
	"foldslip/internal/fleet/gossip"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/fleet/purgesync"
	"foldslip/internal/fleet/transport"
	"foldslip/internal/fleet/view"
	"foldslip/internal/purgelog"
	"foldslip/internal/route/rollout"
)

// fleetService is this gateway's part in its fleet. Like a door it runs for the gateway's life and ends with the drain; it takes no lookups,
// and no decision asks it.
type fleetService struct {
	fleet       *membership.Fleet
	gossip      *gossip.Gossiper // nil: no limits to share
	broadcaster *driver.Driver   // nil: purges are not broadcast
	dispatcher  *dispatch.Dispatcher
	stop        chan struct{}
	ended       chan struct{}
}

// joinFleet makes it; nil where the operators' settings name no fleet, as on the platform.
func joinFleet(g env.Environment, own *config.Config, name string, seed uint64, routes *rollout.Controller, router *dispatch.Dispatcher,
	bulletin *discovery.Watch, log *purgelog.Log) (*fleetService, error) {
	if own.Fleet == nil {
		return nil, nil
	}
	c := own.Fleet
	if name == "" {
		return nil, fmt.Errorf("fleet: this gateway has no name; set ROUTER_NAME, unlike that of any other")
	}
	set := membership.Settings{Name: name, Listen: c.Listen, Advertise: c.Advertise, Label: c.Label, Seeds: c.Seeds, SeedFile: c.SeedFile,
		MaxMembers: int(c.MaxMembers), ExpectedMembers: int(c.ExpectedMembers), ProbeInterval: config.Milliseconds(c.ProbeMS), ProbeTimeout: config.Milliseconds(c.ProbeTimeoutMS), GossipInterval: config.Milliseconds(c.GossipMS),
		ReapAfter: config.Milliseconds(c.ReapMS), SettleAfter: config.Milliseconds(c.SettleMS), RejoinInterval: config.Milliseconds(c.RejoinMS),
		Locality: view.Locality{Region: c.Region, Zone: c.Zone, Site: c.Site}}
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
	parts := membership.FromEnvironment(g)
	parts.TransportCounts = &transport.Counts{}
	listen, advertise := netip.MustParseAddrPort(c.Listen), netip.MustParseAddrPort(c.Advertise) // checked with the settings
	parts.OpenTransport = func() (memberlist.Transport, error) {
		return transport.Listen(listen, advertise, parts.TransportCounts, g.Log())
	}
	if c.Folder != "" {
		disk, err := g.OpenDirectory(c.Folder)
		if err != nil {
			return nil, fmt.Errorf("fleet.folder: %w", err)
		}
		store, err := membership.OpenMemberStore(disk, name, set.MaxMembers)
		if err != nil {
			return nil, fmt.Errorf("fleet.folder: %w", err)
		}
		if err := store.LoadError(); err != nil {
			g.Log().Warn("fleet_torn", "folder", c.Folder, "text", err.Error())
		}
		parts.Store = store
	}
	p := &fleetService{dispatcher: router, stop: make(chan struct{}), ended: make(chan struct{})}
	var doors gossip.Admission
	if routes != nil {
		doors = routes
	}
	// heard brings purges that peers told first to where they count, as those of the own watch.
	heard := func(purges []dispatch.Purge) {
		for _, one := range purges {
			log.Record(one.Object, one.Group, one.IssuedAt)
		}
		router.Tick(nil, false, purges)
	}
	var heed func([]purgesync.Purge)
	if c.SharesPurges {
		heed = func(some []purgesync.Purge) {
			var purges []dispatch.Purge
			for _, v := range some {
				purges = append(purges, dispatch.Purge{Object: v.Object, Group: int(v.Group), IssuedAt: time.UnixMilli(v.Issued)})
			}
			heard(purges)
		}
	}
	if doors != nil || heed != nil {
		p.gossip = gossip.New(name, doors, heed, g.Log(), seed)
		parts.OnMessage = p.gossip.HandleMessage
	}
	if c.BroadcastsPurges {
		var stamp [8]byte // not of the seed, which a configuration may give alike at each start and to each gateway
		if _, err := crand.Read(stamp[:]); err != nil {
			return nil, err
		}
		p.newBroadcaster(set, parts.Now, binary.LittleEndian.Uint64(stamp[:]), g, bulletin, heard)
		others := parts.OnMessage
		parts.OnMessage = func(b []byte) {
			if driver.IsBroadcast(b) {
				p.broadcaster.HandleMessage(b)
			} else if others != nil {
				others(b)
			}
		}
	}
	if heed != nil {
		bulletin.OnEvent = func(no int64, purges []dispatch.Purge) {
			var told []purgesync.Purge
			for _, v := range purges {
				told = append(told, purgesync.Purge{Event: no, Object: v.Object, Group: int64(v.Group), Issued: v.IssuedAt.UnixMilli()})
			}
			p.gossip.RecordPurges(no, told)
		}
		p.gossip.RecordPurges(bulletin.LastEvent, nil)
	}
	var err error
	if p.fleet, err = membership.New(set, parts); err != nil {
		return nil, err
	}
	if p.gossip != nil {
		p.gossip.SetFleet(p.fleet)
	}
	if p.broadcaster != nil {
		p.broadcaster.SetFleet(p.fleet)
	}
	return p, nil
}

// newBroadcaster makes the carrier of purges between gateways, told what the own discovery watch tells.
func (p *fleetService) newBroadcaster(set membership.Settings, wall func() time.Time, stamp uint64, g env.Environment, bulletin *discovery.Watch,
	heard func([]dispatch.Purge)) {
	p.broadcaster = driver.New(set.Name, set.Locality, func(some []broadcast.Purge) {
		purges := make([]dispatch.Purge, 0, len(some))
		for _, v := range some {
			purges = append(purges, dispatch.Purge{Object: v.Object, Group: int(v.Group), IssuedAt: time.UnixMilli(v.Issued)})
		}
		heard(purges)
	}, g.Log(), stamp, wall)
	bulletin.OnEvent = func(_ int64, purges []dispatch.Purge) {
		told := make([]broadcast.Purge, 0, len(purges))
		for _, v := range purges {
			told = append(told, broadcast.Purge{Object: v.Object, Group: int64(v.Group), Issued: v.IssuedAt.UnixMilli()})
		}
		p.broadcaster.RecordPurges(told)
	}
}

// Run takes part until the gateway drains or its life ends.
func (p *fleetService) Run(life *env.Lifetime) error {
	defer close(p.ended)
	stop := make(chan struct{})
	end := sync.OnceFunc(func() { close(stop) })
	defer life.OnEnd(end)()
	go func() {
		select {
		case <-p.stop:
			end()
		case <-stop:
		}
	}()
	done := make(chan struct{})
	go func() {
		if p.gossip != nil {
			p.gossip.Run(stop)
		}
		close(done)
	}()
	cast := make(chan struct{})
	go func() {
		if p.broadcaster != nil {
			p.broadcaster.Run(stop)
		}
		close(cast)
	}()
	go p.reportFleetSize(stop)
	err := p.fleet.Run(stop)
	end()
	<-done
	<-cast
	return err
}

// reportFleetSize tells the router how many gateways share the caches, where the fleet counts more than it was told.
func (p *fleetService) reportFleetSize(stop chan struct{}) {
	every := time.NewTicker(time.Second)
	defer every.Stop()
	for {
		select {
		case <-every.C:
			p.dispatcher.SetFleetSize(p.fleet.State().FleetSize)
		case <-stop:
			return
		}
	}
}

// PrepareReload has nothing that changes at SIGHUP: the seeds' file is read anew by itself, the rest counts from the next start.
func (p *fleetService) PrepareReload(*config.Config) (func(), error) { return func() {}, nil }

// Drain leaves the fleet.
func (p *fleetService) Drain() { close(p.stop) }

// Wait waits until it has.
func (p *fleetService) Wait() { <-p.ended }

// openAdmin opens the sockets that the settings name, one where both are the same.
func openAdmin(g env.Environment, own *config.Config, routes *rollout.Controller, p *fleetService) (doors []Service, err error) {
	routing, fleet := "", ""
	if routes != nil {
		routing = own.Routing.Socket
	}
	of := admin.Services{Routes: routes}
	if p != nil {
		of.Fleet, of.Limits, of.Broadcast, fleet = p.fleet, p.gossip, p.broadcaster, own.Fleet.Socket
	}
	open := func(what, path string, of admin.Services) {
		if path == "" || err != nil {
			return
		}
		var o *admin.Server
		if o, err = admin.Open(g, path, of); err != nil {
			err = fmt.Errorf("%s.socket: %w", what, err)
			return
		}
		doors = append(doors, o)
	}
	if routing == fleet {
		open("routing", routing, of)
		return doors, err
	}
	open("routing", routing, admin.Services{Routes: routes})
	open("fleet", fleet, admin.Services{Fleet: of.Fleet, Limits: of.Limits, Broadcast: of.Broadcast})
	return doors, err
}
