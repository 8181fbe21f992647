package clients

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"foldslip/example/standin"
)

// The rules that the play judges by: the time within which what discovery tells counts as notified, the graces of
// platformSettings, and the slack of all limits of the protocol.
const (
	notifiedWithin = 7 * time.Second
	drainGrace     = 2 * time.Second
	purgeGrace     = 6 * time.Second
	limitSlack     = 50 * time.Millisecond
)

const (
	minSlowDelay   = 300 * time.Millisecond
	maxSlowDelay   = 6900 * time.Millisecond
	maxSlowPieces  = 8
	maxReloads     = 3
	warmUpTime     = time.Second            // before the service becomes slow
	announcedAfter = 200 * time.Millisecond // after it has become slow
	watchedFor     = 3 * time.Second        // after the limit
	purgedObject   = "purged"
	purgeInterval  = 50 * time.Millisecond // between lookups of the purged object
)

// slowPlan is what a seed draws for a slow discovery service.
type slowPlan struct {
	delay        time.Duration
	pieces       int             // parts in which what discovery writes arrives, until the delay
	isFromStart  bool            // it is slow from before the gateway's start
	isOpenSilent bool            // connections that are open when it becomes slow bring nothing more
	isPurge      bool            // it tells a purge; otherwise that a cache drains
	reloads      []time.Duration // when the gateway reads its configuration again after the event
	isMoved      bool            // each time with another address of discovery
}

func drawSlowPlan(random *rand.Rand) slowPlan {
	plan := slowPlan{
		delay:       minSlowDelay + time.Duration(random.Int64N(int64(maxSlowDelay-minSlowDelay))),
		pieces:      1 + random.IntN(maxSlowPieces),
		isFromStart: random.IntN(4) == 0,
		isPurge:     random.IntN(3) == 0,
	}
	plan.isOpenSilent = !plan.isFromStart && random.IntN(3) == 0
	if random.IntN(2) == 0 {
		for range 1 + random.IntN(maxReloads) {
			plan.reloads = append(plan.reloads, time.Duration(random.Int64N(int64(notifiedWithin))))
		}
		slices.Sort(plan.reloads)
		plan.isMoved = random.IntN(2) == 0
	}
	return plan
}

// limit returns how long after the event its rule binds.
func (p slowPlan) limit() time.Duration {
	if p.isPurge {
		return notifiedWithin + purgeGrace + limitSlack
	}
	return notifiedWithin + drainGrace + limitSlack
}

// duration returns how long the play takes.
func (p slowPlan) duration() time.Duration {
	return warmUpTime + announcedAfter + p.limit() + watchedFor
}

// slowDiscovery lets discovery tell a purge or a drain while what it writes arrives late, and checks that the rule on it
// holds from its limit on.
func (s *stage) slowDiscovery() {
	plan := s.relay.plan
	time.Sleep(warmUpTime)
	s.relay.becomeSlow()
	time.Sleep(announcedAfter)
	announcedAt := time.Now()
	go s.reload(announcedAt)
	if plan.isPurge {
		s.caches.discovery.Announce(fmt.Sprintf(`{"recall":{"item":"%s","issued":%d}}`, purgedObject, announcedAt.UnixMilli()))
		s.checkPurge(announcedAt.Add(plan.limit()))
	} else {
		drained := s.caches.endpoints[0]
		drained.Phase = "draining"
		s.caches.discovery.Announce(standin.EndpointList(false, drained))
		s.checkDrain(announcedAt)
	}
	s.count(1)
	connections, listBytes := s.relay.counts()
	s.report.Clients = connections
	s.report.ListBytes = listBytes
	s.hold()
}

// reload makes the gateway read its configuration again at the times of the plan.
func (s *stage) reload(announcedAt time.Time) {
	from, to := s.relay.addrs[0], s.relay.addrs[0]
	if s.relay.plan.isMoved {
		to = s.relay.addrs[1]
	}
	for _, after := range s.relay.plan.reloads {
		time.Sleep(time.Until(announcedAt.Add(after)))
		if err := s.gateway.moveDiscovery(from, to); err != nil {
			return // the play has ended
		}
		from, to = to, from
	}
}

// checkDrain checks that no lookup is sent to the first edge past the limit.
func (s *stage) checkDrain(announcedAt time.Time) {
	limit := s.relay.plan.limit()
	time.Sleep(time.Until(announcedAt.Add(limit + watchedFor - announcedAfter)))
	if last := s.caches.lastSendTo(0).Sub(announcedAt); last > limit {
		s.report.violate("a lookup was sent to a cache %.2f s after discovery told that it drains, allowed are %.2f s (%+v)", last.Seconds(), limit.Seconds(), s.relay.plan)
	}
}

// checkPurge checks that no answer is older than the purge from a time on.
func (s *stage) checkPurge(from time.Time) {
	var stale int
	for n := int64(0); time.Since(from) < watchedFor-announcedAfter; n++ {
		time.Sleep(purgeInterval)
		if body, err := s.lookUp(n); err == nil && body == oldCopy && time.Now().After(from) {
			stale++
		}
	}
	if stale > 0 {
		s.report.violate("%d answers were older than a purge past its grace (%+v)", stale, s.relay.plan)
	}
}

// lookUp looks up the purged object on a connection of its own and returns the body.
func (s *stage) lookUp(number int64) (body string, err error) {
	conn, err := dialFrom(s.ctx, playAddr, s.gateway.addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(soundAllowed + answerSlack))
	io.WriteString(conn, requestText(s.id(number), "segment", purgedObject, soundAllowed))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response.Body)
	return string(text), err
}
