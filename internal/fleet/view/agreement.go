package view

import "math/bits"

// agreement is which members are known to see the same live set as this gateway: a bit for each live member, in the order of their names,
// which is the same wherever the digest is. The bits spread by gossip, so that all gateways know them after some log n rounds.
//
// A generation keeps bits that were sent before a set changed and changed back from counting now: each change of the own set raises it
// above every generation that was received (as a Lamport clock, CACM 1978), and bits of a lower one are ignored. No clocks are compared.
type agreement struct {
	generation        uint64
	highestGeneration uint64 // own or received
	agreedBits        []byte // nil: only this gateway's bit is set, see ownAgreedBits
}

// startGeneration starts a generation in which only this gateway is known to see its set.
func (v *View) startGeneration() {
	v.generation = max(v.generation, v.highestGeneration) + 1
	v.highestGeneration = v.generation
	v.agreedBits = nil
}

// ownAgreedBits returns the bits. They are made when they are asked for, since that takes a pass over all members.
func (v *View) ownAgreedBits() []byte {
	if v.agreedBits == nil {
		v.agreedBits = make([]byte, v.agreedBytes())
		i := v.liveIndex(v.self)
		v.agreedBits[i/8] |= 1 << (i % 8)
	}
	return v.agreedBits
}

func (v *View) agreedBytes() int { return (v.liveCount + 7) / 8 }

// liveIndex returns a live member's index in the order of names.
func (v *View) liveIndex(name string) (index int) {
	for other, m := range v.members {
		if m.State.IsLive() && other < name {
			index++
		}
	}
	return index
}

// AgreeingCount returns how many live members are known to see the same set as this gateway, itself included.
func (v *View) AgreeingCount() (count int) {
	for _, b := range v.ownAgreedBits() {
		count += bits.OnesCount8(b)
	}
	return count
}

// allAgree reports whether every live member is known to see the same set.
func (v *View) allAgree() bool { return v.AgreeingCount() == v.liveCount }

// Agrees reports whether a member is known to see the same set.
func (v *View) Agrees(name string) bool {
	m := v.members[name]
	if m == nil || !m.State.IsLive() {
		return false
	}
	i := v.liveIndex(name)
	return v.ownAgreedBits()[i/8]&(1<<(i%8)) != 0
}

// mergeAgreement takes a member's digest and which members it knows to agree with it.
func (v *View) mergeAgreement(m *Member, received agreementFrame, now int64) {
	v.highestGeneration = max(v.highestGeneration, received.generation)
	m.Digest = received.digest
	m.DigestAt = now
	if !m.State.IsLive() {
		return
	}
	if received.digest != v.Digest() {
		v.unsettle(now)
		if v.Agrees(m.Name) { // it does so no more
			v.startGeneration()
		}
		return
	}
	if received.generation < v.generation || len(received.agreedBits) != v.agreedBytes() {
		return
	}
	if received.generation > v.generation { // a gateway saw another set meanwhile: agreement is collected anew
		v.generation = received.generation
		v.agreedBits = nil
		v.unsettle(now)
	}
	own := v.ownAgreedBits()
	for i, b := range received.agreedBits {
		own[i] |= b
	}
	if used := v.liveCount % 8; used > 0 {
		own[len(own)-1] &= 1<<used - 1 // bits of no member
	}
}
