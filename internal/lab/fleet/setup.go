package fleet

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"foldslip/example/standin"
)

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
