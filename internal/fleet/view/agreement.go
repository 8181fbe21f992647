package view

import "math/bits"

// agreement records which members are known to see the same live set as this gateway. It holds one bit for each live
// member, in the order of names. Gateways with equal digests have the same members in the same order. Gossip spreads
// the bits to all gateways in about log n rounds.
//
// The generation invalidates bits that were sent before a live set changed and changed back. Each change of this
// gateway's live set raises the generation above every generation that was received, as in a Lamport clock (CACM 1978).
// Bits of a lower generation are ignored. No clocks are compared.
type agreement struct {
	generation        uint64
	highestGeneration uint64 // highest generation of this gateway or of a received frame
	agreedBits        []byte // nil if only this gateway's bit is set; read it through ownAgreedBits
}

// startGeneration starts a generation in which only this gateway is known to see its live set.
func (v *View) startGeneration() {
	v.generation = max(v.generation, v.highestGeneration) + 1
	v.highestGeneration = v.generation
	v.agreedBits = nil
}

// ownAgreedBits returns the agreed bits. It creates them on demand, because that takes a pass over all members.
func (v *View) ownAgreedBits() []byte {
	if v.agreedBits == nil {
		v.agreedBits = make([]byte, v.agreedBytes())
		i := v.liveIndex(v.self)
		v.agreedBits[i/8] |= 1 << (i % 8)
	}
	return v.agreedBits
}

func (v *View) agreedBytes() int { return (v.liveCount + 7) / 8 }

// liveIndex returns the index of a live member among the live members, sorted by name.
func (v *View) liveIndex(name string) (index int) {
	for other, m := range v.members {
		if m.State.IsLive() && other < name {
			index++
		}
	}
	return index
}

// AgreeingCount returns the number of live members, self included, that are known to see the same live set as this
// gateway.
func (v *View) AgreeingCount() (count int) {
	for _, b := range v.ownAgreedBits() {
		count += bits.OnesCount8(b)
	}
	return count
}

// allAgree reports whether every live member is known to see the same live set.
func (v *View) allAgree() bool { return v.AgreeingCount() == v.liveCount }

// Agrees reports whether a member is live and known to see the same live set as this gateway.
func (v *View) Agrees(name string) bool {
	m := v.members[name]
	if m == nil || !m.State.IsLive() {
		return false
	}
	i := v.liveIndex(name)
	return v.ownAgreedBits()[i/8]&(1<<(i%8)) != 0
}

// mergeAgreement merges the agreement part of a frame that member m sent: its digest, its generation and its agreed
// bits.
func (v *View) mergeAgreement(m *Member, received agreementFrame, now int64) {
	v.highestGeneration = max(v.highestGeneration, received.generation)
	m.Digest = received.digest
	m.DigestAt = now
	if !m.State.IsLive() {
		return
	}
	if received.digest != v.Digest() {
		v.unsettle(now)
		if v.Agrees(m.Name) { // m agreed before and no longer does
			v.startGeneration()
		}
		return
	}
	if received.generation < v.generation || len(received.agreedBits) != v.agreedBytes() {
		return
	}
	if received.generation > v.generation { // some gateway's live set has changed since, so agreement is collected again
		v.generation = received.generation
		v.agreedBits = nil
		v.unsettle(now)
	}
	own := v.ownAgreedBits()
	for i, b := range received.agreedBits {
		own[i] |= b
	}
	if used := v.liveCount % 8; used > 0 {
		own[len(own)-1] &= 1<<used - 1 // clears bits that belong to no member
	}
}
