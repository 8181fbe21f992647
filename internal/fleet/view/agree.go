package view

import "math/bits"

// agreement is who is known to see the same live set as this gateway: a bit a live member, in the order of their names, which is the
// same wherever the digest is. Bits are joined by gossip, so that all know of all after some log n rounds whatever the fleet's size,
// at a bit a member.
//
// A generation keeps what was said of a set before it changed and came back from counting now: it is raised above all that was heard
// by each change of the own set (as a Lamport clock is, CACM 1978), and bits of lower ones are nothing. No clock is compared.
type agreement struct {
	gen    uint64
	heard  uint64 // the highest generation anybody told
	agreed []byte
}

// anew starts a generation in which only this gateway is known to see its set.
func (v *View) anew() {
	v.gen = max(v.gen, v.heard) + 1
	v.heard = v.gen
	v.agreed = nil
}

// own are the bits, with this gateway's own; made when they are asked for, since the set must be in order for it.
func (v *View) own() []byte {
	if v.agreed == nil {
		v.agreed = make([]byte, (v.live+7)/8)
		n := v.place(v.self)
		v.agreed[n/8] |= 1 << (n % 8)
	}
	return v.agreed
}

// place is a live member's place in the order of names.
func (v *View) place(name string) (n int) {
	for other, m := range v.members {
		if m.State.Live() && other < name {
			n++
		}
	}
	return n
}

// all tells whether every live member is known to see the same.
func (v *View) all() bool { return v.agreeing() == v.live }

// agreeing is how many are, this gateway included.
func (v *View) agreeing() (n int) {
	for _, b := range v.own() {
		n += bits.OnesCount8(b)
	}
	return n
}

// Agreeing is how many live members are known to see the same set as this gateway, itself included.
func (v *View) Agreeing() int { return v.agreeing() }

// Agrees tells whether a member is known to see the same set.
func (v *View) Agrees(name string) bool {
	m := v.members[name]
	if m == nil || !m.State.Live() {
		return false
	}
	n := v.place(name)
	return v.own()[n/8]&(1<<(n%8)) != 0
}

// joined takes what a live member said: its digest, its generation and whom it knows to see the same.
func (v *View) joined(m *Member, digest uint32, gen uint64, agreed []byte, now int64) {
	v.heard = max(v.heard, gen)
	m.Digest, m.DigestAt = digest, now
	if !m.State.Live() {
		return
	}
	if digest != v.Digest() {
		if v.settled {
			v.settled, v.from = false, now
			v.version++
		}
		if v.Agrees(m.Name) { // it does not any more
			v.anew()
		}
		return
	}
	if gen < v.gen || len(agreed) != (v.live+7)/8 {
		return
	}
	if gen > v.gen { // somebody saw others meanwhile and came back to this set: who agrees is asked anew
		v.gen, v.agreed = gen, nil
		if v.settled {
			v.settled, v.from = false, now
			v.version++
		}
	}
	own := v.own()
	for i, b := range agreed {
		own[i] |= b
	}
	if rest := v.live % 8; rest > 0 {
		own[len(own)-1] &= 1<<rest - 1 // places that nobody has
	}
}
