package rejoin

import (
	"math/rand/v2"
	"slices"
)

// longLostShare is the part of the time that a member has been lost after which it is due again.
const lostTimeDivisor = 8

// companySpread is the time over which gateways that just found company make their first contact, in initial backoffs.
const firstContactSpread = 5

// Scheduler decides which address is contacted when. Use New.
type Scheduler struct {
	settings Settings
	rng      *rand.Rand

	nextAt         int64 // of the next contact of a lost member, or of any address while alone
	differAt       int64 // of the next contact of a member that sees another live set
	backoff        int64 // while alone
	queue          []string
	connectedSince int64 // 0: alone
	resumed        bool  // after a pause that no contact was made for yet
	contactedAt    map[string]int64

	nameRetryAt int64 // 0: the name is this process's
	nameBackoff int64 // the last one
}

// New returns a scheduler that is due at once.
func New(settings Settings, rng *rand.Rand, now int64) *Scheduler {
	return &Scheduler{settings: settings, rng: rng, nextAt: now, contactedAt: map[string]int64{}}
}

// jitter returns an interval give or take a quarter.
func (s *Scheduler) jitter(interval int64) int64 { return interval*3/4 + s.rng.Int64N(interval/2+1) }

// MarkResumed notes that this process ran on after a pause.
func (s *Scheduler) MarkResumed() { s.resumed = true }

// Next returns the contact that is due now; ok is false if none is. differing returns the addresses of live members that see another live
// set; it is called only when such a contact is due.
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

// handleFirstPeer makes all that are still missing due again. Gateways that start at once find each other in islands: one that is contacted
// stops being alone before it made its own contacts, and contacts that failed while the others were not up yet say nothing.
func (s *Scheduler) handleFirstPeer(now int64) {
	s.connectedSince = now
	s.backoff = 0
	s.queue = nil
	clear(s.contactedAt)
	s.nextAt = now + s.rng.Int64N(firstContactSpread*s.settings.InitialBackoff+1)
}

// seenAgain returns a lost member that a peer saw since it was lost, and since it was last contacted.
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

// contactRandom decides by chance whether this gateway contacts one of some addresses, and which, so that the fleet as a whole makes
// contactsPerInterval contacts for each of them.
func (s *Scheduler) contactRandom(addrs []string, reason Reason, now int64, live int) (Contact, bool) {
	if len(addrs) == 0 || s.rng.Float64()*float64(live+1) >= float64(contactsPerInterval*len(addrs)) {
		return Contact{}, false
	}
	return s.contact(addrs[s.rng.IntN(len(addrs))], reason, now), true
}

// due returns the lost members and missing seeds whose interval is over.
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

// isDue reports whether the interval of an address that has been missing since a time is over.
func (s *Scheduler) isDue(addr string, missingSince, now int64) bool {
	interval := min(max((now-missingSince)/lostTimeDivisor, s.settings.RejoinInterval), s.settings.MaxRejoinInterval)
	last, contacted := s.contactedAt[addr]
	return !contacted || now-last >= interval
}

// isLost reports whether an address is that of a lost member.
func (p Peers) isLost(addr string) bool {
	return slices.ContainsFunc(p.Lost, func(lost Lost) bool { return lost.Addr == addr })
}

// missingSeeds returns the seeds that no live or lost member has.
func missingSeeds(peers Peers) (addrs []string) {
	for _, addr := range peers.Seeds {
		if addr != peers.Self && !slices.Contains(peers.Live, addr) && !peers.isLost(addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// nextAlone goes through all known addresses, in rounds that get slower.
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

// startRound queues all known addresses in a random order, and doubles the backoff.
func (s *Scheduler) startRound(peers Peers) {
	for _, lost := range peers.Lost {
		s.queue = append(s.queue, lost.Addr)
	}
	s.queue = append(s.queue, missingSeeds(peers)...)
	s.rng.Shuffle(len(s.queue), func(i, j int) { s.queue[i], s.queue[j] = s.queue[j], s.queue[i] })
	s.backoff = nextBackoff(s.backoff, s.settings.InitialBackoff, s.settings.MaxBackoff)
}

// nextBackoff returns the backoff after another one; 0: the first.
func nextBackoff(backoff, initial, limit int64) int64 {
	if backoff == 0 {
		return initial
	}
	return min(2*backoff, limit)
}

// contact returns the contact with an address and notes its time.
func (s *Scheduler) contact(addr string, reason Reason, now int64) Contact {
	s.contactedAt[addr] = now
	return Contact{addr, reason}
}

// pruneContacted drops addresses that were contacted and are live, or neither lost nor seeds, since.
func (s *Scheduler) pruneContacted(peers Peers) {
	for addr := range s.contactedAt {
		if slices.Contains(peers.Live, addr) || !slices.Contains(peers.Seeds, addr) && !peers.isLost(addr) {
			delete(s.contactedAt, addr)
		}
	}
}

// ShouldDefer reports whether, of two processes that claim one name, the one of incarnation self defers: the one that started later. Both
// decide alike whatever their clocks say, since both compare the same two incarnations.
func ShouldDefer(self, other uint64) bool { return self > other }

// DeferName notes that another process has this gateway's name, and returns how long it is until the name is to be tried again.
func (s *Scheduler) DeferName(now int64) (wait int64) {
	s.nameBackoff = nextBackoff(s.nameBackoff, s.settings.InitialNameBackoff, s.settings.MaxNameBackoff)
	wait = s.jitter(s.nameBackoff)
	s.nameRetryAt = now + wait
	return wait
}

// ReclaimName reports whether it is time to try the name again; if so, contacts go on as after a start.
func (s *Scheduler) ReclaimName(now int64) bool {
	if s.nameRetryAt == 0 || now < s.nameRetryAt {
		return false
	}
	s.nameRetryAt = 0
	s.nextAt = now
	s.queue = nil
	return true
}

// HasDeferred reports whether another process has this gateway's name and this one waits.
func (s *Scheduler) HasDeferred() bool { return s.nameRetryAt > 0 }

// ContactedCount returns how many addresses the scheduler remembers.
func (s *Scheduler) ContactedCount() int { return len(s.contactedAt) }
