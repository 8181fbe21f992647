package broadcast

const (
	microsPerSecond    = 1_000_000
	maxRateDebtSeconds = 10                      // maximum debt, in seconds of the rate limit
	maxRefill          = 3_600 * microsPerSecond // maximum elapsed time that counts, so that the product does not overflow
)

// tokenBucket is a token bucket that may go into debt. A token is a millionth of a byte.
type tokenBucket struct{ tokens, filledAt int64 }

// fill adds tokens for the time since the last call, at a rate in bytes per second, up to a burst in bytes.
func (b *tokenBucket) fill(now, rate, burst int64) {
	if elapsed := now - b.filledAt; elapsed > 0 {
		b.tokens = min(burst*microsPerSecond, b.tokens+min(elapsed, maxRefill)*rate)
		b.filledAt = now
	}
}

// credit returns the remaining credit of the rate limit in bytes. A credit below 0 is a debt.
func (n *Node) credit(now int64) int64 {
	n.rate.fill(now, n.settings.RateLimit, n.settings.RateLimit)
	return n.rate.tokens / microsPerSecond
}

func (n *Node) spend(bytes int, now int64) {
	n.credit(now)
	n.rate.tokens = max(-maxRateDebtSeconds*n.settings.RateLimit*microsPerSecond, n.rate.tokens-int64(bytes)*microsPerSecond)
}

// send queues a frame for a peer and counts it against the rate limit.
func (n *Node) send(to string, frame []byte, now int64) {
	n.out = append(n.out, Message{to, frame})
	n.stats.FramesOut++
	n.stats.BytesOut += uint64(len(frame) + datagramOverhead)
	n.spend(len(frame)+datagramOverhead, now)
}
