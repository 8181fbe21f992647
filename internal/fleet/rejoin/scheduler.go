package rejoin

import (
	"math/rand/v2"
	"slices"
)

// lostTimeDivisor divides the time since a member was lost. The quotient is the time between two contacts of the
// member.
const lostTimeDivisor = 8

// firstContactSpread is the time over which gateways that got their first live peer spread their first contact, as a
// multiple of InitialBackoff.
const firstContactSpread = 5

// Scheduler decides which address a gateway contacts and when. New makes one.
type Scheduler struct {
	settings Settings
	rng      *rand.Rand

	nextAt         int64    // time of the next contact of a lost member, or of any address while there is no live peer
	differAt       int64    // time of the next contact of a member that sees another live set
	backoff        int64    // upper bound of the time between contacts while there is no live peer
	queue          []string // addresses left to contact in the round without live peers
	connectedSince int64    // time of the first live peer; 0 if there is none
	resumed        bool     // the process resumed after a pause and has not made the contact for it yet
	contactedAt    map[string]int64

	nameRetryAt int64 // time to try the name again; 0 unless this process deferred it
	nameBackoff int64 // last backoff of the name
}

// New returns a scheduler whose first contact is due at once.
func New(settings Settings, rng *rand.Rand, now int64) *Scheduler {
	return &Scheduler{settings: settings, rng: rng, nextAt: now, contactedAt: map[string]int64{}}
}

// jitter returns a random time from three quarters to five quarters of an interval.
func (s *Scheduler) jitter(interval int64) int64 { return interval*3/4 + s.rng.Int64N(interval/2+1) }

// MarkResumed records that this process resumed after a pause, so that a contact with a live member is due at once.
func (s *Scheduler) MarkResumed() { s.resumed = true }

// Next returns the contact that is due now. ok is false if no contact is due. The function differing returns the
// addresses of live members that see another live set. It is called only when the time for such a contact has come.
func (s *Scheduler) Next(now int64, peers Peers, differing func() []string) (contact Contact, ok bool) {
	if s.nameRetryAt > 0 {
		return Contact{}, false
	}
	s.pruneContacted(peers)
	if len(peers.Live) == 0 {
		s.resumed = false
		s.connectedSince = 0
		return s.nextAlone(now, peers)
	}
	if s.connectedSince == 0 {
		s.handleFirstPeer(now)
	}
	if s.resumed {
		s.resumed = false
		return s.contact(peers.Live[s.rng.IntN(len(peers.Live))], ReasonResumed, now), true
	}
	if addr, ok := s.seenAgain(now, peers); ok {
		return s.contact(addr, ReasonSeen, now), true
	}
	if now >= s.differAt {
		s.differAt = now + s.jitter(s.settings.DifferInterval)
		if contact, ok := s.contactRandom(differing(), ReasonDiffer, now, len(peers.Live)); ok {
			return contact, true
		}
	}
	if now < s.nextAt {
		return Contact{}, false
	}
	s.nextAt = now + s.jitter(s.settings.RejoinInterval)
	return s.contactRandom(s.due(now, peers), ReasonRejoin, now, len(peers.Live))
}

// handleFirstPeer makes all missing addresses due again when the gateway gets its first live peer. Gateways that start
// at the same time can form separate groups, because a gateway that is contacted gets a live peer before it has made
// its own contacts. Contacts that failed before the other gateways had started do not show that these are down.
func (s *Scheduler) handleFirstPeer(now int64) {
	s.connectedSince = now
	s.backoff = 0
	s.queue = nil
	clear(s.contactedAt)
	s.nextAt = now + s.rng.Int64N(firstContactSpread*s.settings.InitialBackoff+1)
}

// seenAgain returns the address of a lost member that a peer has seen since the member was lost and since it was last
// contacted. It returns each address at most once in a RejoinInterval.
func (s *Scheduler) seenAgain(now int64, peers Peers) (addr string, ok bool) {
	for _, lost := range peers.Lost {
		if lost.LastSeen <= lost.LostAt {
			continue
		}
		last, contacted := s.contactedAt[lost.Addr]
		if !contacted || now-last >= s.settings.RejoinInterval && last < lost.LastSeen {
			return lost.Addr, true
		}
	}
	return "", false
}

// contactRandom decides at random whether this gateway makes a contact, and with which of the addresses. The
// probability is such that the fleet as a whole makes contactsPerInterval contacts with each address in an interval.
// live is the number of other live members.
func (s *Scheduler) contactRandom(addrs []string, reason Reason, now int64, live int) (Contact, bool) {
	if len(addrs) == 0 || s.rng.Float64()*float64(live+1) >= float64(contactsPerInterval*len(addrs)) {
		return Contact{}, false
	}
	return s.contact(addrs[s.rng.IntN(len(addrs))], reason, now), true
}

// due returns the addresses of the lost members and missing seeds that are due for a contact.
func (s *Scheduler) due(now int64, peers Peers) (addrs []string) {
	for _, lost := range peers.Lost {
		if s.isDue(lost.Addr, lost.LostAt, now) {
			addrs = append(addrs, lost.Addr)
		}
	}
	for _, addr := range missingSeeds(peers) {
		if s.isDue(addr, s.connectedSince, now) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// isDue reports whether an address is due for a contact. The interval between contacts grows with the time since
// missingSince, from RejoinInterval to MaxRejoinInterval.
func (s *Scheduler) isDue(addr string, missingSince, now int64) bool {
	interval := min(max((now-missingSince)/lostTimeDivisor, s.settings.RejoinInterval), s.settings.MaxRejoinInterval)
	last, contacted := s.contactedAt[addr]
	return !contacted || now-last >= interval
}

// isLost reports whether a lost member has the address.
func (p Peers) isLost(addr string) bool {
	return slices.ContainsFunc(p.Lost, func(lost Lost) bool { return lost.Addr == addr })
}

// missingSeeds returns the seed addresses that neither this gateway nor a live or lost member has.
func missingSeeds(peers Peers) (addrs []string) {
	for _, addr := range peers.Seeds {
		if addr != peers.Self && !slices.Contains(peers.Live, addr) && !peers.isLost(addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// nextAlone returns the next contact of a gateway without live peers. It contacts all known addresses in rounds with
// growing backoff.
func (s *Scheduler) nextAlone(now int64, peers Peers) (Contact, bool) {
	if now < s.nextAt {
		return Contact{}, false
	}
	if len(s.queue) == 0 {
		s.startRound(peers)
	}
	s.nextAt = now + s.rng.Int64N(s.backoff+1)
	if len(s.queue) == 0 {
		return Contact{}, false
	}
	addr := s.queue[0]
	s.queue = s.queue[1:]
	return s.contact(addr, ReasonStart, now), true
}

// startRound queues the addresses of all lost members and missing seeds in random order, and doubles the backoff.
func (s *Scheduler) startRound(peers Peers) {
	for _, lost := range peers.Lost {
		s.queue = append(s.queue, lost.Addr)
	}
	s.queue = append(s.queue, missingSeeds(peers)...)
	s.rng.Shuffle(len(s.queue), func(i, j int) { s.queue[i], s.queue[j] = s.queue[j], s.queue[i] })
	s.backoff = nextBackoff(s.backoff, s.settings.InitialBackoff, s.settings.MaxBackoff)
}

// nextBackoff returns the backoff that follows another, up to limit. It returns initial if backoff is 0.
func nextBackoff(backoff, initial, limit int64) int64 {
	if backoff == 0 {
		return initial
	}
	return min(2*backoff, limit)
}

// contact returns a contact with an address and records its time.
func (s *Scheduler) contact(addr string, reason Reason, now int64) Contact {
	s.contactedAt[addr] = now
	return Contact{addr, reason}
}

// pruneContacted drops the contact times of addresses that are live now, or that are neither lost members nor seeds.
func (s *Scheduler) pruneContacted(peers Peers) {
	for addr := range s.contactedAt {
		if slices.Contains(peers.Live, addr) || !slices.Contains(peers.Seeds, addr) && !peers.isLost(addr) {
			delete(s.contactedAt, addr)
		}
	}
}

// ShouldDefer reports whether the process with incarnation self defers to another process that claims the same name.
// The process that started later defers. Both processes come to the same decision whatever their clocks say, because
// both compare the same two incarnations.
func ShouldDefer(self, other uint64) bool { return self > other }

// DeferName records that another process has this gateway's name. It returns the time in microseconds until the name is
// to be tried again.
func (s *Scheduler) DeferName(now int64) (wait int64) {
	s.nameBackoff = nextBackoff(s.nameBackoff, s.settings.InitialNameBackoff, s.settings.MaxNameBackoff)
	wait = s.jitter(s.nameBackoff)
	s.nameRetryAt = now + wait
	return wait
}

// ReclaimName reports whether it is time to try the name again. If so, the scheduler makes contacts again as after a
// start.
func (s *Scheduler) ReclaimName(now int64) bool {
	if s.nameRetryAt == 0 || now < s.nameRetryAt {
		return false
	}
	s.nameRetryAt = 0
	s.nextAt = now
	s.queue = nil
	return true
}

// HasDeferred reports whether this process deferred to another process with its name and waits to try the name again.
func (s *Scheduler) HasDeferred() bool { return s.nameRetryAt > 0 }

// ContactedCount returns the number of addresses whose last contact the scheduler holds.
func (s *Scheduler) ContactedCount() int { return len(s.contactedAt) }
