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

// Cache localities in the rig's endpoint list. The list has the
// scenario's number of edge caches, one parent and one origin.
const (
	edgeLocality   = "town"
	sourceLocality = "hub"
)

// setUp starts the stub servers and the relay's listeners, and writes the files of each gateway. It starts no gateway.
func (r *Rig) setUp() error {
	if err := os.MkdirAll(r.options.Dir, 0o700); err != nil {
		return err
	}
	var err error
	if r.discovery, err = standin.NewDiscovery(r.address(discoveryBlock, 0, discoveryPort).String(), 1); err != nil {
		return err
	}
	go discard(r.discovery.Subscribed, r.done)
	endpoints, err := r.startCaches()
	if err != nil {
		return err
	}
	var seeds []string
	for i := range int(r.scenario.Seeds) {
		seeds = append(seeds, r.address(relayBlocks, i, peerPort).String())
	}
	for i, name := range r.scenario.names() {
		if err := r.addGateway(name, gatewayFiles{
			index:     i,
			endpoints: slices.Clone(endpoints),
			seeds:     seeds,
			listen:    r.address(listenBlocks, i, peerPort),
			advertise: r.address(relayBlocks, i, peerPort),
		}); err != nil {
			return err
		}
	}
	return nil
}

// startCaches starts the stub caches and returns the endpoint list with the caches' own addresses.
func (r *Rig) startCaches() (endpoints []standin.Endpoint, err error) {
	edges := int(r.scenario.Caches)
	for i := range edges + 2 {
		flavor, locality := "edge", edgeLocality
		switch i {
		case edges:
			flavor, locality = "parent", sourceLocality
		case edges + 1:
			flavor, locality = "origin", sourceLocality
		}
		memory := &memoryCache{storedAt: map[string]time.Time{}}
		cache, err := standin.NewCache(r.address(cacheBlocks, i, discoveryAndCachePort).String(), memory.respond)
		if err != nil {
			return nil, err
		}
		r.caches = append(r.caches, cache)
		go discard(cache.Cancelled, r.done)
		endpoints = append(endpoints, standin.Endpoint{ID: fmt.Sprintf("c%d", i+1), HostPort: cache.Addr, Locality: locality, Flavor: flavor, Phase: "up", Size: 1})
	}
	return endpoints, nil
}

// addGateway opens the relay's listeners for a gateway and writes the gateway's files. The endpoints in files have the
// caches' own addresses, which addGateway replaces by the addresses of the gateway's private listeners.
func (r *Rig) addGateway(name string, files gatewayFiles) error {
	if err := r.relay.Add(name, files.advertise, files.listen); err != nil {
		return err
	}
	p := &process{
		name:    name,
		dir:     filepath.Join(r.options.Dir, name),
		program: r.options.Program,
		clients: r.address(listenBlocks, files.index, clientPort).String(),
		rig:     r,
	}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return err
	}
	var err error
	if p.log, err = os.Create(filepath.Join(p.dir, "log")); err != nil {
		return err
	}
	for i := range files.endpoints {
		endpoint := &files.endpoints[i]
		private := r.address(privateBlocks, files.index, firstCachePort+i)
		if err := r.relay.AddPrivate(name, endpoint.ID, private, netip.MustParseAddrPort(endpoint.HostPort)); err != nil {
			return err
		}
		endpoint.HostPort = private.String()
	}
	private := r.address(privateBlocks, files.index, discoveryAndCachePort)
	if err := r.relay.AddPrivate(name, DiscoveryName, private, netip.MustParseAddrPort(r.discovery.Addr)); err != nil {
		return err
	}
	p.discovery = private.String()
	if err := r.writeGatewayFiles(p, files); err != nil {
		return err
	}
	r.processes = append(r.processes, p)
	r.byName[name] = p
	return nil
}
