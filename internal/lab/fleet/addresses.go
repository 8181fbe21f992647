package fleet

import (
	"net/netip"
)

// Ports of the rig's addresses.
const (
	peerPort              = 7946
	clientPort            = 10080
	discoveryPort         = 8500
	discoveryAndCachePort = 20000
	firstCachePort        = 10_000 // of a gateway's private listener for the first cache; the next cache's is one higher
)

// The rig's loopback network has a run of blocks for each kind of address: the constant is the third byte of the first block, and
// each block holds hostsInBlock hosts. A gateway's private listeners share one address and differ by port, as there may be a
// thousand caches.
const (
	hostsInBlock   = 250
	discoveryBlock = 9
	relayBlocks    = 10 // where the relay listens for each gateway: the address that peers know
	listenBlocks   = 20 // where gateways listen
	privateBlocks  = 30 // where the relay listens for one gateway's connections to discovery and to caches
	cacheBlocks    = 40

	firstNetwork = 60 // second byte of the first loopback network
)

// address is that of a host, counted from 0, of a run of blocks.
func (r *Rig) address(blocks, index, port int) netip.AddrPort {
	network := byte(firstNetwork + r.options.Network)
	block := byte(blocks + index/hostsInBlock)
	host := byte(1 + index%hostsInBlock)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, network, block, host}), uint16(port))
}
