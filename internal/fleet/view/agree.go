package view

import "math/bits"

// agreement is who is known to see the same live set as this gateway: a bit a live member, in the order of their names, which is the
// same wherever the digest is. Bits are joined by gossip, so that all know of all after some log n rounds whatever the fleet's size,
// at a bit a member.
//
// A generation keeps what was said of a set before it changed and came back from counting now: it is raised above all that was heard
// by each change of the own set (as a Lamport clock is, CACM 1978), and bits of lower ones are nothing. No clock is compared.
type agreement struct {
	generation        uint64
	highestGeneration uint64 // the highest generation anybody told
	agreedBits        []byte
}

// startGeneration starts a generation in which only this gateway is known to see its set.
func (v *View) startGeneration() {
	v.generation = max(v.generation, v.highestGeneration) + 1
	v.highestGeneration = v.generation
	v.agreedBits = nil
}

// ownAgreedBits are the bits, with this gateway's own; made when they are asked for, since the set must be in order for it.
func (v *View) ownAgreedBits() []byte {
	if v.agreedBits == nil {
		v.agreedBits = make([]byte, (v.liveCount+7)/8)
		n := v.liveIndex(v.self)
		v.agreedBits[n/8] |= 1 << (n % 8)
	}
	return v.agreedBits
}

// liveIndex is a live member's place in the order of names.
func (v *View) liveIndex(name string) (n int) {
	for other, m := range v.members {
		if m.State.IsLive() && other < name {
			n++
		}
	}
	return n
}

// allAgree tells whether every live member is known to see the same.
func (v *View) allAgree() bool { return v.countAgreeing() == v.liveCount }

// countAgreeing is how many are, this gateway included.
func (v *View) countAgreeing() (n int) {
	for _, b := range v.ownAgreedBits() {
		n += bits.OnesCount8(b)
	}
	return n
}

// AgreeingCount is how many live members are known to see the same set as this gateway, itself included.
func (v *View) AgreeingCount() int { return v.countAgreeing() }

// Agrees tells whether a member is known to see the same set.
func (v *View) Agrees(name string) bool {
	m := v.members[name]
	if m == nil || !m.State.IsLive() {
		return false
	}
	n := v.liveIndex(name)
	return v.ownAgreedBits()[n/8]&(1<<(n%8)) != 0
}

// mergeAgreement takes what a live member said: its digest, its generation and whom it knows to see the same.
func (v *View) mergeAgreement(m *Member, digest uint32, gen uint64, agreed []byte, now int64) {
	v.highestGeneration = max(v.highestGeneration, gen)
	m.Digest, m.DigestAt = digest, now
	if !m.State.IsLive() {
		return
	}
	if digest != v.Digest() {
		if v.settled {
			v.settled, v.settlingSince = false, now
			v.version++
		}
		if v.Agrees(m.Name) { // it does not any more
			v.startGeneration()
		}
		return
	}
	if gen < v.generation || len(agreed) != (v.liveCount+7)/8 {
		return
	}
	if gen > v.generation { // somebody saw others meanwhile and came back to this set: who agrees is asked anew
		v.generation, v.agreedBits = gen, nil
		if v.settled {
			v.settled, v.settlingSince = false, now
			v.version++
		}
	}
	own := v.ownAgreedBits()
	for i, b := range agreed {
		own[i] |= b
	}
	if rest := v.liveCount % 8; rest > 0 {
		own[len(own)-1] &= 1<<rest - 1 // places that nobody has
	}
}
