package broadcast

import "slices"

// Reconciliation brings what no batch brought: after a cut, a start, or a loss that repair gave up. Every few seconds a gateway tells one
// peer one sum of all that it keeps; where the peer's differs, it answers with the sums of minutes, and the gateway asks on: the seconds of
// a minute that differs, the purges of a second but those it has, newest first. Only who asks receives, so it is the one that spends its
// rate; who is asked answers as long as its own has room.
const (
	settleSeconds          = 5         // seconds of issue time that may still be under way
	maxSilenceSeconds      = 300       // seconds that the span goes on in a silence; with Keep less than mostSums minutes
	horizonMargin          = 120       // seconds above the horizon that sums begin
	maxOpenRequests        = 4         // requests without their answer
	answerTimeout          = 1_500_000 // then it is asked anew, and then the peer is given up
	maxRequestAttempts     = 2
	shortReconcileInterval = 300_000 // after a pass that brought something
	maxPendingRequests     = 8192    // requests of a session
	maxSessionRequests     = 16384   // of a session: a peer that never has enough of it is left
	maxRequestedPurges     = 90      // purges a pull asks for, as far as sums tell
	maxListedIDs           = 150     // own ids a pull lists
	maxSplitBits           = 12      // bits
	requestReserveBytes    = 1200    // bytes of the rate that a request needs
	minServeCredit         = -2000   // debt at which no sums are answered any more
)

// sessionRequest is an ask (a minute) or a pull (a second).
type sessionRequest struct {
	minute   bool
	of       pullRequest
	due      int64
	attempts int
}

type session struct {
	peer         string
	lastAnswerAt int64 // time of the last answer, or of the start
	answered     bool  // the first answer came
	pending      []sessionRequest
	open         []sessionRequest
	received     int
	requested    int
}

// horizon is the second before which purges are too old. The newest issue that was heard tells the time, or the own clock if that is
// earlier: a fast clock forgets nothing too early, a slow one keeps more.
func (n *Node) horizon(now int64) int64 {
	return max(0, (n.referenceTime(now)-n.settings.KeepFor/1000)/1000)
}

// referenceTime is what is taken for now, in Unix milliseconds.
func (n *Node) referenceTime(now int64) int64 {
	if n.settings.StartUnixMillis == 0 {
		return n.kept.newest
	}
	return min(n.kept.newest, n.settings.StartUnixMillis+now/1000)
}

// maxKeptIssue is the issue in Unix milliseconds after which purges are not kept here, so not asked for either: a gateway whose clock is a day
// slow would ask for the same ones at each pass.
func (n *Node) maxKeptIssue(now int64) int64 {
	if n.settings.StartUnixMillis == 0 {
		return maxIssued
	}
	return n.settings.StartUnixMillis + now/1000 + maxClockAhead
}

func ceilMinute(sec int64) int64 { return (sec + minute - 1) / minute * minute }

// comparedSpan is the span that sums are told of: up to what may still be under way. Where no newer purge comes, it goes on with time, for
// the last ones before a silence, which nothing that follows would show to be missing.
func (n *Node) comparedSpan(now int64) span {
	s := span{from: ceilMinute(n.horizon(now)) + horizonMargin}
	s.to = max(s.from, n.kept.newest/1000-settleSeconds+min(maxSilenceSeconds, (now-n.newestAt)/1_000_000))
	return s
}

func (n *Node) stepReconcile(now int64) {
	if s := n.session; s != nil {
		for i := range s.open {
			if r := &s.open[i]; now >= r.due {
				if r.attempts++; r.attempts >= maxRequestAttempts {
					n.endSession(false, now)
					return
				}
				s.pending, s.open = append(s.pending, *r), slices.Delete(s.open, i, i+1)
				break
			}
		}
		if !s.answered && now-s.lastAnswerAt >= answerTimeout {
			n.endSession(false, now)
			return
		}
		n.sendRequests(now)
		return
	}
	if now < n.reconcileAt {
		return
	}
	peer := n.randomPeer(false)
	n.reconcileAt = now + n.settings.ReconcileInterval/2 + n.rng.Int64N(n.settings.ReconcileInterval)
	if peer == "" || n.credit(now) < requestReserveBytes {
		return
	}
	n.session = &session{peer: peer, lastAnswerAt: now}
	s := n.comparedSpan(now)
	n.stats.ReconcilePasses++
	n.send(peer, encodeSum(s, n.kept.sumOf(s)), now)
}

// endSession ends a pass; whole: all that the peer had is here now.
func (n *Node) endSession(whole bool, now int64) {
	s := n.session
	n.session = nil
	if whole {
		n.missingSince = 0
		n.differingSeconds = 0
	} else {
		n.stats.UnfinishedPasses++
	}
	if s.received > 0 || !whole && s.answered {
		n.reconcileAt = now + shortReconcileInterval + n.rng.Int64N(shortReconcileInterval)
	}
}

// sendRequests sends requests as long as the rate has room for their answers.
func (n *Node) sendRequests(now int64) {
	s := n.session
	if s.requested >= maxSessionRequests {
		n.endSession(false, now)
		return
	}
	for len(s.open) < maxOpenRequests && len(s.pending) > 0 && n.credit(now) >= int64(requestReserveBytes*(1+len(s.open))) {
		r := s.pending[len(s.pending)-1]
		s.pending = s.pending[:len(s.pending)-1]
		r.due = now + answerTimeout
		s.requested++
		s.open = append(s.open, r)
		if r.minute {
			n.send(s.peer, encodeSumsRequest(r.of.second), now)
			continue
		}
		r.of.ids = nil
		for _, it := range n.kept.itemsWithPrefix(r.of.second, r.of.bits, r.of.prefix) {
			if len(r.of.ids) < maxIDsPerFrame {
				r.of.ids = append(r.of.ids, uint32(it.id))
			}
		}
		n.send(s.peer, encodePullRequest(r.of), now)
	}
	n.differingSeconds = 0
	for _, r := range append(slices.Clip(s.pending), s.open...) {
		if r.minute {
			n.differingSeconds += minute
		} else {
			n.differingSeconds++
		}
	}
	if len(s.open) == 0 && len(s.pending) == 0 && s.answered {
		n.endSession(true, now)
	}
}

// handleSum answers the sum of a span with the sums of minutes; with none where it is the own one too.
func (n *Node) handleSum(from string, s span, of sum, now int64) {
	if n.credit(now) < minServeCredit {
		n.stats.RefusedRequests++
		return
	}
	own := n.comparedSpan(now)
	if s.from >= n.horizon(now) && s.to >= s.from && own.to <= s.to+minute && n.kept.sumOf(s) == of {
		n.send(from, encodeSums(sums{from: s.from / minute * minute, step: minute}), now)
		return
	}
	first := max(s.from/minute*minute, ceilMinute(n.horizon(now)), ceilMinute(own.to)-maxSumsPerFrame*minute)
	answer := sums{from: first, step: minute}
	for sec := first; sec < own.to; sec += minute {
		answer.of = append(answer.of, n.kept.minutes[sec/minute])
	}
	n.send(from, trimSums(answer), now)
}

// trimSums leaves out the oldest until it fits a frame.
func trimSums(s sums) []byte {
	for {
		if b := encodeSums(s); len(b) <= maxFrameBytes {
			return b
		}
		s.from, s.of = s.from+s.step, s.of[1:]
	}
}

func (n *Node) handleSumsRequest(from string, first int64, now int64) {
	if n.credit(now) < minServeCredit {
		n.stats.RefusedRequests++
		return
	}
	answer := sums{from: first, step: 1}
	last := n.comparedSpan(now).to
	for sec := first; sec < min(first+minute, last); sec++ {
		answer.of = append(answer.of, n.kept.sumOfSecond(sec))
	}
	n.send(from, trimSums(answer), now)
}

func (n *Node) handleSums(from string, its sums, now int64) {
	s := n.session
	if s == nil || s.peer != from {
		return
	}
	if its.step == minute {
		if s.answered {
			return
		}
		s.answered = true
		horizon, future := n.horizon(now), n.maxKeptIssue(now)
		for i, of := range its.of { // the newest is asked first: it is the last
			if sec := its.from + int64(i)*minute; of.count > 0 && sec >= horizon && sec*1000 <= future && n.kept.minutes[sec/minute] != of {
				s.pending = append(s.pending, sessionRequest{minute: true, of: pullRequest{second: sec}})
			}
		}
		s.lastAnswerAt = now
		n.sendRequests(now)
		return
	}
	// A trimmed answer begins later in its minute.
	i := slices.IndexFunc(s.open, func(r sessionRequest) bool { return r.minute && r.of.second == its.from/minute*minute })
	if i < 0 {
		return
	}
	s.open, s.lastAnswerAt = slices.Delete(s.open, i, i+1), now
	for i, of := range its.of {
		sec := its.from + int64(i)
		own := n.kept.sumOfSecond(sec)
		if own == of || of.count == 0 || sec*1000 > n.maxKeptIssue(now) {
			continue
		}
		split := 0
		for split < maxSplitBits && (own.count>>split > maxListedIDs || (max(of.count, own.count)-own.count)>>split > maxRequestedPurges) {
			split++
		}
		for prefix := range uint32(1) << split {
			if len(s.pending) < maxPendingRequests {
				s.pending = append(s.pending, sessionRequest{of: pullRequest{second: sec, bits: uint8(split), prefix: prefix}})
			}
		}
	}
	n.sendRequests(now)
}

func (n *Node) handlePullRequest(from string, p pullRequest, now int64) {
	if n.credit(now) < 0 {
		n.stats.RefusedRequests++
		return
	}
	known := map[uint32]bool{}
	for _, id := range p.ids {
		known[id] = true
	}
	var give []Purge
	whole := true
	for _, it := range n.kept.itemsWithPrefix(p.second, p.bits, p.prefix) {
		if known[uint32(it.id)] {
			continue
		}
		one := n.kept.purge(p.second, &it)
		if len(one.Object) > maxObjectNameBytes {
			continue
		}
		if give = append(give, one); len(give) > maxPurgesPerFrame {
			whole = false
			break
		}
	}
	sortByIssue(give)
	frame, sent := encodePurges(p, true, give)
	if !whole || sent < len(give) {
		frame, sent = encodePurges(p, false, give)
	}
	n.stats.PurgesServed += uint64(sent)
	n.send(from, frame, now)
}

func (n *Node) handlePurges(from string, of pullRequest, whole bool, purges []Purge, now int64) (heed []Purge) {
	s := n.session
	if s == nil || s.peer != from {
		return nil
	}
	i := slices.IndexFunc(s.open, func(r sessionRequest) bool {
		return !r.minute && r.of.second == of.second && r.of.bits == of.bits && r.of.prefix == of.prefix
	})
	if i < 0 {
		return nil
	}
	s.open, s.lastAnswerAt = slices.Delete(s.open, i, i+1), now
	horizon := n.horizon(now)
	for _, p := range purges {
		if p.Issued/1000 == of.second && of.second >= horizon && n.keep(p, now) == fresh {
			delete(n.waiting, p)
			heed = append(heed, p)
		}
	}
	s.received += len(heed)
	n.stats.PurgesReceived += uint64(len(heed))
	if !whole && of.bits < maxPrefixBits && len(s.pending) < maxPendingRequests-1 {
		for half := range uint32(2) {
			s.pending = append(s.pending, sessionRequest{of: pullRequest{second: of.second, bits: of.bits + 1, prefix: of.prefix<<1 | half}})
		}
	}
	n.sendRequests(now)
	return heed
}
