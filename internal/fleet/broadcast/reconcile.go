package broadcast

import "slices"

// Reconciliation delivers the purges that no batch delivered: after a partition, after a start, or after a loss that
// repair gave up on. Every Settings.ReconcileInterval, a gateway sends one peer the sum of its kept purges. If the
// peer's sum differs, the peer answers with its sums by minute. The gateway then requests the sums by second of each
// minute that differs, and pulls from each second that differs the purges that it lacks, newest first. Only the
// requesting gateway receives purges, so reconciliation spends its rate. A peer answers (serve.go) as long as its own
// rate allows.
const (
	maxOpenRequests        = 4          // requests in flight in a session
	maxPendingRequests     = 8192       // requests of a session that wait to be sent
	maxSessionRequests     = 16384      // requests sent in a session, after which a peer that does not finish is given up
	maxRequestAttempts     = 2          // attempts of a request, after which the peer is given up
	minAnswerTimeout       = 1_500_000  // microseconds after which a request without an answer is repeated at first
	maxAnswerTimeout       = 12_000_000 // doubled up to this after a session without an answer in time
	shortReconcileInterval = 300_000    // microseconds, the minimum delay after a pass that delivered purges or was cut short
	maxRequestedPurges     = 90         // purges that a pull is expected to return, by the difference of the sums
	maxListedIDs           = 150        // own IDs that a pull is expected to list
	maxSplitBits           = 12         // length of the ID prefixes by which a second is split when it is first pulled
	requestReserveBytes    = 1200       // rate credit that each request in flight reserves for its answer
	settleSeconds          = 5          // latest seconds of issue time, not compared because their purges may be in flight
	maxSilenceSeconds      = 300        // seconds by which the compared span is extended at most while no newer purge arrives
	horizonMargin          = 120        // seconds between the horizon and the start of the compared span
)

// sessionRequest requests the sums of a minute's seconds, or pulls purges of one second.
type sessionRequest struct {
	isOfMinute bool
	pull       pullRequest // in a request for a minute, only its first second is set
	due        int64       // when the request times out
	attempts   int         // that timed out
}

// session is one pass of reconciliation with one peer.
type session struct {
	peer       string
	startedAt  int64
	isAnswered bool             // the sums by minute have arrived
	pending    []sessionRequest // not sent yet; the last one is sent first
	open       []sessionRequest // sent and not answered yet
	received   int              // number of purges that were new here
	requested  int              // number of requests sent
}

// horizon returns the first second of issue time that has not expired. Its present time is the newest known issue, or
// the own clock if that is earlier. Therefore a fast clock expires nothing too early, and a slow clock keeps purges
// for longer.
func (n *Node) horizon(now int64) int64 {
	return max(0, (n.referenceTime(now)-n.settings.KeepFor/1000)/1000)
}

// referenceTime returns the time that is taken for the present, in Unix milliseconds.
func (n *Node) referenceTime(now int64) int64 {
	if n.settings.StartUnixMillis == 0 {
		return n.kept.newest
	}
	return min(n.kept.newest, n.settings.StartUnixMillis+now/1000)
}

// maxKeptIssue returns the latest issue time, in Unix milliseconds, of the purges that are kept here. Later purges
// are not requested either, because a gateway whose clock is a day slow would request the same ones in each pass.
func (n *Node) maxKeptIssue(now int64) int64 {
	if n.settings.StartUnixMillis == 0 {
		return maxIssued
	}
	return n.settings.StartUnixMillis + now/1000 + maxClockAhead
}

func ceilMinute(second int64) int64 { return (second + minute - 1) / minute * minute }

// comparedSpan returns the span of issue time whose sums are compared. It ends before the purges that may still be in
// flight. While no newer purge arrives, its end advances with time. It then includes the last purges before the
// silence, because no later batch would show that they are missing.
func (n *Node) comparedSpan(now int64) span {
	from := ceilMinute(n.horizon(now)) + horizonMargin
	silence := min(maxSilenceSeconds, (now-n.newestAt)/microsPerSecond)
	return span{from: from, to: max(from, n.kept.newest/1000-settleSeconds+silence)}
}

// stepReconcile continues the current session, or starts a new one if it is due.
func (n *Node) stepReconcile(now int64) {
	if n.session != nil {
		n.stepSession(now)
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
	n.session = &session{peer: peer, startedAt: now}
	compared := n.comparedSpan(now)
	n.stats.ReconcilePasses++
	n.send(peer, encodeSum(compared, n.kept.sumOf(compared)), now)
}

// stepSession repeats a request that has timed out. It ends the session if the peer does not answer.
func (n *Node) stepSession(now int64) {
	s := n.session
	overdue := slices.IndexFunc(s.open, func(r sessionRequest) bool { return now >= r.due })
	if overdue >= 0 {
		request := &s.open[overdue]
		request.attempts++
		if request.attempts >= maxRequestAttempts {
			n.endUnanswered(now)
			return
		}
		s.pending = append(s.pending, *request)
		s.open = slices.Delete(s.open, overdue, overdue+1)
	}
	if !s.isAnswered && now-s.startedAt >= n.answerTimeout {
		n.endUnanswered(now)
		return
	}
	n.sendRequests(now)
}

// endUnanswered ends a session whose peer did not answer in time. Answers over a slow link may come later than that, so
// the next session waits longer for them: otherwise none would ever be in time.
func (n *Node) endUnanswered(now int64) {
	n.answerTimeout = min(2*n.answerTimeout, maxAnswerTimeout)
	n.endSession(false, now)
}

// endSession ends the session. After a complete session, this gateway has all purges that the peer had.
func (n *Node) endSession(isComplete bool, now int64) {
	s := n.session
	n.session = nil
	if isComplete {
		n.answerTimeout = max(n.answerTimeout/2, minAnswerTimeout)
		n.missingSince = 0
		n.differingSeconds = 0
	} else {
		n.stats.UnfinishedPasses++
	}
	if s.received > 0 || !isComplete && s.isAnswered {
		n.reconcileAt = now + shortReconcileInterval + n.rng.Int64N(shortReconcileInterval)
	}
}

// sendRequests sends pending requests while the rate has credit for their answers. It ends a session that has no
// requests left, or that has sent maxSessionRequests.
func (n *Node) sendRequests(now int64) {
	s := n.session
	if s.requested >= maxSessionRequests {
		n.endSession(false, now)
		return
	}
	for len(s.open) < maxOpenRequests && len(s.pending) > 0 && n.credit(now) >= int64(requestReserveBytes*(1+len(s.open))) {
		last := len(s.pending) - 1
		request := s.pending[last]
		s.pending = s.pending[:last]
		n.sendRequest(request, now)
	}
	n.differingSeconds = s.differingSeconds()
	if len(s.open) == 0 && len(s.pending) == 0 && s.isAnswered {
		n.endSession(true, now)
	}
}

func (n *Node) sendRequest(request sessionRequest, now int64) {
	s := n.session
	request.due = now + n.answerTimeout
	s.requested++
	s.open = append(s.open, request)
	if request.isOfMinute {
		n.send(s.peer, encodeSumsRequest(request.pull.second), now)
		return
	}
	pull := request.pull
	pull.ids = n.listedIDs(pull)
	n.send(s.peer, encodePullRequest(pull), now)
}

// listedIDs returns the lower halves of the IDs of the kept purges that match a pull, at most maxIDsPerFrame.
func (n *Node) listedIDs(pull pullRequest) (ids []uint32) {
	for _, kept := range n.kept.withPrefix(pull.second, pull.bits, pull.prefix) {
		if len(ids) < maxIDsPerFrame {
			ids = append(ids, uint32(kept.id))
		}
	}
	return ids
}

// differingSeconds returns the number of seconds of issue time that the remaining requests cover.
func (s *session) differingSeconds() (seconds int) {
	for _, requests := range [][]sessionRequest{s.pending, s.open} {
		for _, request := range requests {
			if request.isOfMinute {
				seconds += minute
			} else {
				seconds++
			}
		}
	}
	return seconds
}

// handleSums handles the peer's sums, either by minute or by second of one minute, and requests details where they
// differ from the own sums.
func (n *Node) handleSums(from string, theirs sums, now int64) {
	s := n.session
	if s == nil || s.peer != from {
		return
	}
	if theirs.step == minute {
		if s.isAnswered {
			return
		}
		s.isAnswered = true
		n.requestMinutes(theirs, now)
		n.sendRequests(now)
		return
	}
	answeredMinute := theirs.from / minute * minute // an answer without its oldest sums begins later in the minute
	i := slices.IndexFunc(s.open, func(r sessionRequest) bool { return r.isOfMinute && r.pull.second == answeredMinute })
	if i < 0 {
		return
	}
	s.open = slices.Delete(s.open, i, i+1)
	n.requestSeconds(theirs, now)
	n.sendRequests(now)
}

// requestMinutes adds requests for the minutes that differ. The newest minute comes last, so it is sent first.
func (n *Node) requestMinutes(theirs sums, now int64) {
	horizon, maxIssue := n.horizon(now), n.maxKeptIssue(now)
	for i, sum := range theirs.list {
		second := theirs.from + int64(i)*minute
		if sum.count == 0 || second < horizon || second*1000 > maxIssue || n.kept.minutes[second/minute] == sum {
			continue
		}
		n.session.pending = append(n.session.pending, sessionRequest{isOfMinute: true, pull: pullRequest{second: second}})
	}
}

// requestSeconds adds pulls of the seconds that differ. Each second is split by ID prefix, so that the listed IDs and
// the answer of each pull are expected to fit a frame.
func (n *Node) requestSeconds(theirs sums, now int64) {
	for i, sum := range theirs.list {
		second := theirs.from + int64(i)
		own := n.kept.sumOfSecond(second)
		if own == sum || sum.count == 0 || second*1000 > n.maxKeptIssue(now) {
			continue
		}
		missing := max(sum.count, own.count) - own.count
		bits := 0
		for bits < maxSplitBits && (own.count>>bits > maxListedIDs || missing>>bits > maxRequestedPurges) {
			bits++
		}
		for prefix := range uint32(1) << bits {
			if len(n.session.pending) < maxPendingRequests {
				pull := pullRequest{second: second, bits: uint8(bits), prefix: prefix}
				n.session.pending = append(n.session.pending, sessionRequest{pull: pull})
			}
		}
	}
}

// handlePurges handles the answer to a pull and returns the purges that are new here. If the peer has more purges
// than the answer holds, the pull is split in two.
func (n *Node) handlePurges(from string, answer pulledPurges, now int64) (learned []Purge) {
	s := n.session
	if s == nil || s.peer != from {
		return nil
	}
	request := answer.request
	i := slices.IndexFunc(s.open, func(r sessionRequest) bool { return !r.isOfMinute && r.pull.isSameAs(request) })
	if i < 0 {
		return nil
	}
	s.open = slices.Delete(s.open, i, i+1)
	horizon := n.horizon(now)
	for _, p := range answer.purges {
		if p.Issued/1000 == request.second && request.second >= horizon && n.keep(p, now) == newlyKept {
			delete(n.waiting, p)
			learned = append(learned, p)
		}
	}
	s.received += len(learned)
	n.stats.PurgesReceived += uint64(len(learned))
	if !answer.isComplete && request.bits < maxPrefixBits && len(s.pending) < maxPendingRequests-1 {
		for half := range uint32(2) {
			pull := pullRequest{second: request.second, bits: request.bits + 1, prefix: request.prefix<<1 | half}
			s.pending = append(s.pending, sessionRequest{pull: pull})
		}
	}
	n.sendRequests(now)
	return learned
}
