package fleet

import (
	"net/netip"
)

// Ports of the rig's addresses.
const (
	peerPort              = 7946
	clientPort            = 10080
	discoveryAndCachePort = 20000
)

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
