package policy

// randomSource is a multiply-with-carry generator. A seed yields the same draws on every platform, so that runs can
// be reproduced.
type randomSource struct{ state, carry uint32 }

func newRandomSource(seed uint64) randomSource {
	return randomSource{state: uint32(seed) | 1, carry: uint32(seed>>32)%698769068 + 1}
}

func (s *randomSource) next() uint32 {
	product := uint64(698769069)*uint64(s.state) + uint64(s.carry)
	s.state = uint32(product)
	s.carry = uint32(product >> 32)
	return s.state
}

// hashString returns the FNV-1a hash of a string, passed through mixHash. hashString and mixHash must return the same
// values at every router, because all routers have to agree on the rendezvous order of caches.
func hashString(s string) uint64 {
	hash := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		hash = (hash ^ uint64(s[i])) * 1099511628211
	}
	return mixHash(hash, 0)
}

// mixHash combines two values into a hash, using the finalizer of splitmix64.
func mixHash(a, b uint64) uint64 {
	z := a ^ b*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
