package fleet

import (
	"net/netip"
)

// Ports that the gateways, the relay and the stub servers listen on.
const (
	peerPort              = 7946
	clientPort            = 10080
	discoveryPort         = 8500
	discoveryAndCachePort = 20000
	firstCachePort        = 10_000 // of a gateway's private listener for the first cache; each further cache adds one
)

// Each kind of address has a range of blocks in the rig's loopback network. A constant is the third byte of the first
// block of its range, and each block holds hostsInBlock hosts. The private listeners of one gateway share an address
// and differ by port, because there may be a thousand caches.
const (
	hostsInBlock   = 250
	discoveryBlock = 9
	relayBlocks    = 10 // public listeners of the relay, one for each gateway, at the addresses that peers know
	listenBlocks   = 20 // gateways
	privateBlocks  = 30 // private listeners of the relay, for each gateway's own connections to discovery and to caches
	cacheBlocks    = 40

	firstNetwork = 60 // second byte of the first loopback network
)

// address returns the address of a host in a range of blocks. The index counts hosts from 0.
func (r *Rig) address(blocks, index, port int) netip.AddrPort {
	network := byte(firstNetwork + r.options.Network)
	block := byte(blocks + index/hostsInBlock)
	host := byte(1 + index%hostsInBlock)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, network, block, host}), uint16(port))
}
