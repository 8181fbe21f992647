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

// fleetSizeInterval is the interval at which the dispatcher is given the size of the fleet.
const fleetSizeInterval = time.Second

var errNoFleetName = errors.New("fleet: this gateway has no name; set ROUTER_NAME to a name that no other gateway has")

// KeyFileError reports a key file that is not as long as an AES key. It never contains the content of the file.
type KeyFileError struct {
	Path  string
	Bytes int // length of the file
}

// Error returns the path, the length of the file and the valid lengths of a key.
func (e *KeyFileError) Error() string {
	return fmt.Sprintf("fleet.key_file: %s holds %d bytes, expected a key of 16, 24 or 32 bytes", e.Path, e.Bytes)
}

// fleetService runs the gateway's fleet membership and what it exchanges with other members. It
// owns the goroutines of both. It serves no lookups, and no decision about a lookup waits for it.
type fleetService struct {
	fleet       *membership.Fleet
	gossip      *gossip.Gossiper // nil: neither limits nor purges are shared by gossip
	broadcaster *driver.Driver   // nil: purges are not broadcast
	dispatcher  *dispatch.Dispatcher
	stop        chan struct{} // closed by Drain
	ended       chan struct{} // closed when Run returns
}

// joinFleet returns the fleet service, which does not run yet. It
// returns nil if the operators configure no fleet, as on the platform.
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

// membershipSettings returns the operators' fleet settings in the
// form of package membership. It reads the key file if one is set.
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

// membershipDependencies returns the dependencies of package membership: those of the
// environment, the transport and, if a folder is configured, the store of known members.
func (g *instance) membershipDependencies(c *config.Fleet, memberSettings membership.Settings) (membership.Dependencies, error) {
	dependencies := membership.FromEnvironment(g.env)
	counts := &transport.Counts{}
	dependencies.TransportCounts = counts
	listen := netip.MustParseAddrPort(c.Listen) // validated when the configuration was read
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

// openExchanges creates the components that exchange data with other gateways: limits and purges by gossip, purges by
// broadcast. It sets dependencies.OnMessage so that each received message reaches the component that it belongs to.
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
		var incarnation [8]byte // not from the seed, which may be the same at each start and on each gateway
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

// dispatchMessages returns a message handler that passes messages of the broadcast
// to broadcaster and all others to others. If others is nil, they are dropped.
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

// reportFleetSize gives the dispatcher the number of gateways that
// share the caches at each fleetSizeInterval, until stop is closed.
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

// Reload changes nothing. The fleet rereads its seed file on its own. All other settings take effect at the next start.
func (s *fleetService) Reload(*config.Config) error { return nil }

// Drain starts to leave the fleet. It does not wait.
func (s *fleetService) Drain() { close(s.stop) }

// Wait waits until the gateway has left the fleet.
func (s *fleetService) Wait() { <-s.ended }
