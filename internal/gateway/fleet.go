package gateway

import (
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/config"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/fleet/broadcast/driver"
	"foldslip/internal/fleet/gossip"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/fleet/transport"
	"foldslip/internal/fleet/view"
)

// fleetSizeInterval is how often the dispatcher learns the size of the fleet.
const fleetSizeInterval = time.Second

var errNoFleetName = errors.New("fleet: this gateway has no name; set ROUTER_NAME, unlike that of any other")

// KeyFileError reports a file that holds no key. It never holds the key itself.
type KeyFileError struct {
	Path  string
	Bytes int // in the file
}

// Error says which file it is and what a key is.
func (e *KeyFileError) Error() string {
	return fmt.Sprintf("fleet.key_file: %s holds %d bytes; 16, 24 or 32 are a key", e.Path, e.Bytes)
}

// fleetService is this gateway's part in its fleet: it owns the fleet's goroutines. It takes no lookups, and no decision waits for it.
type fleetService struct {
	fleet       *membership.Fleet
	gossip      *gossip.Gossiper // nil: no limits to share
	broadcaster *driver.Driver   // nil: purges are not broadcast
	dispatcher  *dispatch.Dispatcher
	stop        chan struct{} // closed by Drain
	ended       chan struct{} // closed when Run returns
}

// joinFleet opens the gateway's part in its fleet; nil where the operators configure no fleet, as on the platform.
func (g *instance) joinFleet() (*fleetService, error) {
	fleetConfig := g.config.operators.Fleet
	if fleetConfig == nil {
		return nil, nil
	}
	if g.config.platform.Name == "" {
		return nil, errNoFleetName
	}
	memberSettings, err := g.membershipSettings(fleetConfig)
	if err != nil {
		return nil, err
	}
	dependencies, err := g.membershipDependencies(fleetConfig, memberSettings)
	if err != nil {
		return nil, err
	}
	service := &fleetService{dispatcher: g.dispatcher, stop: make(chan struct{}), ended: make(chan struct{})}
	if err := g.openExchanges(service, fleetConfig, memberSettings, &dependencies); err != nil {
		return nil, err
	}
	if service.fleet, err = membership.New(memberSettings, dependencies); err != nil {
		return nil, err
	}
	if service.gossip != nil {
		service.gossip.SetFleet(service.fleet)
	}
	if service.broadcaster != nil {
		service.broadcaster.SetFleet(service.fleet)
	}
	return service, nil
}

// membershipSettings are the operators' settings of the fleet as package membership has them.
func (g *instance) membershipSettings(c *config.Fleet) (membership.Settings, error) {
	memberSettings := membership.Settings{
		Name:            g.config.platform.Name,
		Listen:          c.Listen,
		Advertise:       c.Advertise,
		Label:           c.Label,
		Seeds:           c.Seeds,
		SeedFile:        c.SeedFile,
		MaxMembers:      int(c.MaxMembers),
		ExpectedMembers: int(c.ExpectedMembers),
		ProbeInterval:   config.Milliseconds(c.ProbeMS),
		ProbeTimeout:    config.Milliseconds(c.ProbeTimeoutMS),
		GossipInterval:  config.Milliseconds(c.GossipMS),
		ReapAfter:       config.Milliseconds(c.ReapMS),
		SettleAfter:     config.Milliseconds(c.SettleMS),
		RejoinInterval:  config.Milliseconds(c.RejoinMS),
		Locality:        view.Locality{Region: c.Region, Zone: c.Zone, Site: c.Site},
	}
	if c.KeyFile == "" {
		return memberSettings, nil
	}
	key, err := g.env.ReadFile(c.KeyFile)
	if err != nil {
		return memberSettings, fmt.Errorf("fleet.key_file: %w", err)
	}
	if err := memberlist.ValidateKey(key); err != nil {
		return memberSettings, &KeyFileError{c.KeyFile, len(key)}
	}
	memberSettings.Key = key
	return memberSettings, nil
}

// membershipDependencies are the transport and the stored members of the fleet.
func (g *instance) membershipDependencies(c *config.Fleet, memberSettings membership.Settings) (membership.Dependencies, error) {
	dependencies := membership.FromEnvironment(g.env)
	counts := &transport.Counts{}
	dependencies.TransportCounts = counts
	listen := netip.MustParseAddrPort(c.Listen) // validated with the configuration
	advertise := netip.MustParseAddrPort(c.Advertise)
	dependencies.OpenTransport = func() (memberlist.Transport, error) {
		return transport.Listen(listen, advertise, counts, g.env.Log())
	}
	if c.Folder == "" {
		return dependencies, nil
	}
	directory, err := g.env.OpenDirectory(c.Folder)
	if err != nil {
		return dependencies, fmt.Errorf("fleet.folder: %w", err)
	}
	store, err := membership.OpenMemberStore(directory, memberSettings.Name, memberSettings.MaxMembers)
	if err != nil {
		return dependencies, fmt.Errorf("fleet.folder: %w", err)
	}
	if damage := store.LoadError(); damage != nil {
		g.env.Log().Warn("fleet_members_damaged", "folder", c.Folder, "error", damage.Error())
	}
	dependencies.Store = store
	return dependencies, nil
}

// openExchanges opens what gateways exchange over the fleet: shares of limits and purges by gossip, purges by broadcast. Messages come to
// whichever they are of.
func (g *instance) openExchanges(service *fleetService, c *config.Fleet, memberSettings membership.Settings, dependencies *membership.Dependencies) error {
	var shared gossip.Admission
	if g.routes != nil {
		shared = g.routes
	}
	purges := &fleetPurges{log: g.purges, dispatcher: g.dispatcher, watch: g.watch}
	if shared != nil || c.SharesPurges {
		var onPurges = purges.onGossip
		if !c.SharesPurges {
			onPurges = nil
		}
		service.gossip = gossip.New(memberSettings.Name, shared, onPurges, g.env.Log(), g.config.seed)
		dependencies.OnMessage = service.gossip.HandleMessage
	}
	if c.BroadcastsPurges {
		var incarnation [8]byte // not of the seed, which a configuration may give alike at each start and to each gateway
		if _, err := crand.Read(incarnation[:]); err != nil {
			return err
		}
		service.broadcaster = driver.New(memberSettings.Name, memberSettings.Locality, purges.onBroadcast, g.env.Log(),
			binary.LittleEndian.Uint64(incarnation[:]), dependencies.Now)
		purges.announceByBroadcast(service.broadcaster)
		dependencies.OnMessage = dispatchMessages(service.broadcaster, dependencies.OnMessage)
	}
	if c.SharesPurges {
		purges.announceByGossip(service.gossip)
	}
	return nil
}

// dispatchMessages gives a member's messages to the broadcast they are of, or to others (nil: nobody).
func dispatchMessages(broadcaster *driver.Driver, others func([]byte)) func([]byte) {
	return func(message []byte) {
		switch {
		case driver.IsBroadcast(message):
			broadcaster.HandleMessage(message)
		case others != nil:
			others(message)
		}
	}
}

// Run takes part in the fleet until the gateway drains or its lifetime ends.
func (s *fleetService) Run(lifetime *env.Lifetime) error {
	defer close(s.ended)
	stop := make(chan struct{})
	end := sync.OnceFunc(func() { close(stop) })
	defer lifetime.OnEnd(end)()
	go func() {
		select {
		case <-s.stop:
			end()
		case <-stop:
		}
	}()
	var exchanges sync.WaitGroup
	if s.gossip != nil {
		exchanges.Go(func() { s.gossip.Run(stop) })
	}
	if s.broadcaster != nil {
		exchanges.Go(func() { s.broadcaster.Run(stop) })
	}
	go s.reportFleetSize(stop)
	err := s.fleet.Run(stop)
	end()
	exchanges.Wait()
	return err
}

// reportFleetSize tells the dispatcher how many gateways share the caches, until stop is closed.
func (s *fleetService) reportFleetSize(stop chan struct{}) {
	ticker := time.NewTicker(fleetSizeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.dispatcher.SetFleetSize(s.fleet.State().FleetSize)
		case <-stop:
			return
		}
	}
}

// PrepareReload changes nothing: the seeds' file is read again by itself, the rest takes effect at the next start.
func (s *fleetService) PrepareReload(*config.Config) (func(), error) { return func() {}, nil }

// Drain leaves the fleet.
func (s *fleetService) Drain() { close(s.stop) }

// Wait waits until the gateway has left the fleet.
func (s *fleetService) Wait() { <-s.ended }
