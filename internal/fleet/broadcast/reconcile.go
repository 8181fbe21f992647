package broadcast

import "slices"

// Reconciliation brings what no batch brought: after a cut, a start, or a loss that repair gave up. Every Settings.ReconcileInterval a
// gateway sends one peer the sum of all that it keeps. Where the peer's differs, it answers with the sums of minutes, and the gateway
// requests on: the seconds of a minute that differs, the purges of a second without those it has, newest first. Only the gateway that
// requests receives, so it is the one that spends its rate; a peer answers (serve.go) as long as its own rate allows.
const (
	maxOpenRequests        = 4         // without their answer
	maxPendingRequests     = 8192      // of a session, that wait to be sent
	maxSessionRequests     = 16384     // of a session: a peer that never comes to an end is left
	maxRequestAttempts     = 2         // then the peer is given up
	answerTimeout          = 1_500_000 // microseconds, after which a request is repeated
	shortReconcileInterval = 300_000   // microseconds after a pass that brought something
	maxRequestedPurges     = 90        // that a pull asks for, as far as sums tell
	maxListedIDs           = 150       // own ids that a pull lists
	maxSplitBits           = 12        // of the prefixes that a second is split by
	requestReserveBytes    = 1200      // of the rate that a request needs, for its answer
	settleSeconds          = 5         // of issue time that may still be under way
	maxSilenceSeconds      = 300       // that the compared span goes on in a silence
	horizonMargin          = 120       // seconds above the horizon at which the compared span begins
)

// sessionRequest requests the sums of a minute's seconds, or pulls purges of a second.
type sessionRequest struct {
	isOfMinute bool
	pull       pullRequest // of a minute: its first second alone
	due        int64       // when it is repeated
	attempts   int
}

// session is a pass of reconciliation with one peer.
type session struct {
	peer       string
	startedAt  int64
	isAnswered bool             // the sums of minutes have come
	pending    []sessionRequest // the last is sent first
	open       []sessionRequest // sent, without an answer
	received   int              // purges that were new
	requested  int              // requests that were sent
}

// horizon is the second before which purges are too old. The newest issue that is known tells the time, or the own clock if that is
// earlier: a fast clock expires nothing too early, a slow one keeps more.
func (n *Node) horizon(now int64) int64 {
	return max(0, (n.referenceTime(now)-n.settings.KeepFor/1000)/1000)
}

// referenceTime is what is taken for the present time, in Unix milliseconds.
func (n *Node) referenceTime(now int64) int64 {
	if n.settings.StartUnixMillis == 0 {
		return n.kept.newest
	}
	return min(n.kept.newest, n.settings.StartUnixMillis+now/1000)
}

// maxKeptIssue is the issue in Unix milliseconds after which purges are not kept here, and so not requested either: a gateway whose clock
// is a day slow would request the same ones in each pass.
func (n *Node) maxKeptIssue(now int64) int64 {
	if n.settings.StartUnixMillis == 0 {
		return maxIssued
	}
	return n.settings.StartUnixMillis + now/1000 + maxClockAhead
}

func ceilMinute(second int64) int64 { return (second + minute - 1) / minute * minute }

// comparedSpan is the span whose sums are compared: up to what may still be under way. Where no newer purge comes it goes on with time, for
// the last ones before a silence, which nothing that follows would show to be missing.
func (n *Node) comparedSpan(now int64) span {
	from := ceilMinute(n.horizon(now)) + horizonMargin
	silence := min(maxSilenceSeconds, (now-n.newestAt)/microsPerSecond)
	return span{from: from, to: max(from, n.kept.newest/1000-settleSeconds+silence)}
}

// stepReconcile goes on with the session, or begins one that is due.
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

// stepSession repeats a request that has timed out, or ends the session where the peer does not answer.
func (n *Node) stepSession(now int64) {
	s := n.session
	overdue := slices.IndexFunc(s.open, func(r sessionRequest) bool { return now >= r.due })
	if overdue >= 0 {
		request := &s.open[overdue]
		request.attempts++
		if request.attempts >= maxRequestAttempts {
			n.endSession(false, now)
			return
		}
		s.pending = append(s.pending, *request)
		s.open = slices.Delete(s.open, overdue, overdue+1)
	}
	if !s.isAnswered && now-s.startedAt >= answerTimeout {
		n.endSession(false, now)
		return
	}
	n.sendRequests(now)
}

// endSession ends the session; in a complete one all that the peer had is here now.
func (n *Node) endSession(isComplete bool, now int64) {
	s := n.session
	n.session = nil
	if isComplete {
		n.missingSince = 0
		n.differingSeconds = 0
	} else {
		n.stats.UnfinishedPasses++
	}
	if s.received > 0 || !isComplete && s.isAnswered {
		n.reconcileAt = now + shortReconcileInterval + n.rng.Int64N(shortReconcileInterval)
	}
}

// sendRequests sends pending requests as long as the rate has room for their answers, and ends a session that has none left.
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
	request.due = now + answerTimeout
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

// listedIDs are the lower halves of the ids that are kept of what a pull asks for.
func (n *Node) listedIDs(pull pullRequest) (ids []uint32) {
	for _, kept := range n.kept.withPrefix(pull.second, pull.bits, pull.prefix) {
		if len(ids) < maxIDsPerFrame {
			ids = append(ids, uint32(kept.id))
		}
	}
	return ids
}

// differingSeconds is how many seconds of issue time the requests that are left are of.
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

// handleSums takes the peer's sums of minutes or of a minute's seconds, and requests on where they differ.
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
	answeredMinute := theirs.from / minute * minute // an answer that was cut begins later in its minute
	i := slices.IndexFunc(s.open, func(r sessionRequest) bool { return r.isOfMinute && r.pull.second == answeredMinute })
	if i < 0 {
		return
	}
	s.open = slices.Delete(s.open, i, i+1)
	n.requestSeconds(theirs, now)
	n.sendRequests(now)
}

// requestMinutes adds requests for the minutes that differ. The newest is sent first: it is the last.
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

// requestSeconds adds pulls of the seconds that differ, split by so many prefixes that their lists and answers fit a frame.
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

// handlePurges takes the answer to a pull and returns the purges that are new here. Where the peer has more, the pull is split in two.
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
