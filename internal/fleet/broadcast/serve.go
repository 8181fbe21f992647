package broadcast

// This file answers the requests of a peer's reconciliation, as long as the rate allows.

const (
	minSumsCredit = -2000 // credit in bytes, below which requests for sums are not answered
	minPullCredit = 0     // credit in bytes, below which pulls are not answered
)

// mayServe reports whether the rate allows an answer. It counts the requests that are refused.
func (n *Node) mayServe(minCredit, now int64) bool {
	if n.credit(now) < minCredit {
		n.stats.RefusedRequests++
		return false
	}
	return true
}

// handleSum answers a peer's sum of a span. The answer holds the sums of the latest minutes that fit a frame, or no
// sums if the peer's sum equals the own one.
func (n *Node) handleSum(from string, theirs span, sum purgeSum, now int64) {
	if !n.mayServe(minSumsCredit, now) {
		return
	}
	own := n.comparedSpan(now)
	if theirs.from >= n.horizon(now) && theirs.to >= theirs.from && own.to <= theirs.to+minute && n.kept.sumOf(theirs) == sum {
		n.send(from, encodeSums(sums{from: theirs.from / minute * minute, step: minute}), now)
		return
	}
	first := max(theirs.from/minute*minute, ceilMinute(n.horizon(now)), ceilMinute(own.to)-maxSumsPerFrame*minute)
	answer := sums{from: first, step: minute}
	for second := first; second < own.to; second += minute {
		answer.list = append(answer.list, n.kept.minutes[second/minute])
	}
	n.send(from, encodeLatestSums(answer), now)
}

// handleSumsRequest answers with the sums of a minute's seconds.
func (n *Node) handleSumsRequest(from string, first int64, now int64) {
	if !n.mayServe(minSumsCredit, now) {
		return
	}
	answer := sums{from: first, step: 1}
	end := min(first+minute, n.comparedSpan(now).to)
	for second := first; second < end; second++ {
		answer.list = append(answer.list, n.kept.sumOfSecond(second))
	}
	n.send(from, encodeLatestSums(answer), now)
}

// handlePullRequest answers a pull with the requested purges whose IDs it does not list.
func (n *Node) handlePullRequest(from string, request pullRequest, now int64) {
	if !n.mayServe(minPullCredit, now) {
		return
	}
	purges := n.unlisted(request)
	sortByIssue(purges)
	frame, sent := encodePurges(request, true, purges)
	if len(purges) > maxPurgesPerFrame || sent < len(purges) {
		frame, sent = encodePurges(request, false, purges)
	}
	n.stats.PurgesServed += uint64(sent)
	n.send(from, frame, now)
}

// unlisted returns the purges to send in answer to a pull, at most one more than maxPurgesPerFrame.
func (n *Node) unlisted(request pullRequest) (purges []Purge) {
	listed := map[uint32]bool{}
	for _, id := range request.ids {
		listed[id] = true
	}
	for _, kept := range n.kept.withPrefix(request.second, request.bits, request.prefix) {
		if listed[uint32(kept.id)] {
			continue
		}
		p := n.kept.purge(request.second, &kept)
		if len(p.Object) > maxObjectNameBytes {
			continue
		}
		purges = append(purges, p)
		if len(purges) > maxPurgesPerFrame {
			break
		}
	}
	return purges
}
