package scenario

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"foldslip/internal/lab/simenv"
)

// checker sees the wires and the true state of every party, never the gateway's own view but for its counts, which
// must agree with its sockets. It checks after each step.
type checker struct {
	scenario     *Scenario
	violations   []Violation
	lookups      map[string]*lookup // by id, until some time after their end
	lookupCount  int
	outcomes     map[string]int
	versions     map[string]int  // of objects and groups: purges so far
	deduplicated map[string]bool // deduplicated lookups by zone and id
	purges       []purge
	idleCount    uint64
	drainEvents  map[string]int // by cache: number of the event that told it drains or is gone
}

type purge struct {
	number int // of the event
	object string
	group  int
	issued time.Time
}

// lookup is a lookup of a usual client at one gateway.
type lookup struct {
	id, object   string
	kind, part   int
	group        int
	etag, body   string
	deadline     time.Duration
	process      *gatewayProcess
	conn         *clientConn
	sentAt       time.Duration
	receivedAt   time.Duration // its last byte reached the gateway's machine; 0: not yet
	ended        bool          // answered, or nothing is owed any more
	clientGone   bool
	clientGoneAt time.Duration // its client closed or reset the connection
	attempts     []*attempt
	lastInFlight time.Duration // when a send was last out
	repeats      int
	firstSentAt  time.Duration // of it, or of the lookup that it repeats
	onAnswer     func(status int, wait time.Duration)
	routeSides   *[2]bool // configurations of the routes that all its sends so far may have been decided under
}

// attempt is a send as it stood on a gateway's wire.
type attempt struct {
	lookup      *lookup
	conn        *cacheConn
	firstByteAt time.Duration // its first byte
	inFlight    bool
	awaited     bool // its answer has not reached the gateway, which has not given it up
	answers     []*cachedCopy
	notModified bool
}

func newChecker(d *Scenario) *checker {
	return &checker{scenario: d, lookups: map[string]*lookup{}, outcomes: map[string]int{}, versions: map[string]int{}, deduplicated: map[string]bool{},
		drainEvents: map[string]int{}}
}

// violated notes a broken rule; the first one ends the day.
func (r *checker) violated(rule, format string, a ...any) {
	b := Violation{rule, r.scenario.sim.Now(), fmt.Sprintf(format, a...)}
	r.violations = append(r.violations, b)
	r.scenario.record("BROKEN %s: %s", rule, b.Detail)
	r.scenario.sim.Halt()
}

// answerStartedAt is when the answer that a gateway has just finished began.
func (a *lookup) answerStartedAt() time.Duration {
	if a.conn == nil || a.conn.firstByteAt == 0 {
		return a.process.actor.scenario.sim.Now()
	}
	return a.conn.firstByteAt
}

func groupOf(object string) int { return int(hashString(object) % 16) }

func hashString(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// partKB is the size of a part as lookups count it.
func partKB(object string, part int) float64 {
	n := hashString(object + "/" + strconv.Itoa(part))
	switch {
	case object[0] == 's' && n%12 == 0:
		return 1200
	case object[0] == 's':
		return 100 + float64(n%400)
	}
	return 10 + float64(n%50)
}

func partBytes(object string, part int) int {
	kb := partKB(object, part)
	if kb >= 1200 && hashString(object)%2 == 0 {
		return maxBody
	}
	return int(kb * 12)
}

// meanWork is the mean of workOf by kind.
var meanWork = func() (mean [4]time.Duration) {
	for i, k := range lookupKinds {
		sum := time.Duration(0)
		for n := range 300 {
			sum += partWork(fmt.Sprintf("%c%d", k.name[0], n), n%4)
		}
		mean[i] = sum / 300
	}
	return mean
}()

func partWork(object string, part int) time.Duration {
	return time.Duration(partKB(object, part) / flowKBPerSecond * float64(time.Second))
}

// version is how often an object or its group was purged: the origin gives out that version.
func (r *checker) version(object string) int {
	return r.versions[object] + r.versions["lot"+strconv.Itoa(groupOf(object))]
}

// purge purges an object, or a group where it is empty.
func (d *Scenario) purge(object string, group int) {
	issued := d.sim.Unix().Truncate(time.Millisecond).Add(time.Millisecond) // what was given out up to now is older
	p := purge{number: len(d.events) + 1, object: object, group: group, issued: issued}
	e := discoveryEvent{Purge: &purgeEvent{Object: object, Issued: issued.UnixMilli()}}
	if object == "" {
		e.Purge.Group = &group
		d.checker.versions["lot"+strconv.Itoa(group)]++
	} else {
		d.checker.versions[object]++
	}
	d.checker.purges = append(d.checker.purges, p)
	d.publish(e)
	for _, c := range slices.Concat(d.caches, d.parents) {
		d.after(time.Duration(500+d.randN(5000))*time.Millisecond, func() { c.applyPurge(p) })
	}
}

// covers tells whether a purge concerns a part.
func (p purge) covers(key string) bool {
	object, _, _ := strings.Cut(key, "/")
	return p.object == object || p.object == "" && p.group == groupOf(object)
}

// lookupSent opens a lookup.
func (r *checker) lookupSent(a *lookup) {
	r.lookupCount++
	if a.repeats == 0 {
		a.firstSentAt = r.scenario.sim.Now()
		if a.firstSentAt < warmup+earlyPeriod {
			r.scenario.earlyLookups.Sent++
		}
	}
	r.lookups[a.id] = a
	r.scenario.sim.Note(simenv.StepLookup, a.id, "", 0)
}

// lookupReceived notes that a lookup has reached its gateway whole, and looks after its time.
func (r *checker) lookupReceived(a *lookup) {
	a.receivedAt = r.scenario.sim.Now()
	if r.scenario.hooks.onReceived != nil {
		r.scenario.hooks.onReceived(r.scenario, a)
	}
	r.scenario.after(a.deadline+socketSlack+time.Millisecond, func() {
		if a.ended || a.process.ended || a.conn.split {
			return
		}
		if a.process.terminatedAt > 0 && a.receivedAt > a.process.terminatedAt+700*time.Millisecond || !a.conn.end.IsAccepted() || a.conn.end.Stalled || a.conn.misbehaves {
			return
		}
		if a.conn.isAnswering() { // it has begun, and its client is slow to take it
			return
		}
		r.violated("rule 1", "lookup %s (%s) taken by %s has no answer after %v of %v", a.id, lookupKinds[a.kind].name, a.process.process.Name,
			r.scenario.sim.Now()-a.receivedAt, a.deadline)
	})
}

// lookupEnded ends what is owed for a lookup.
func (r *checker) lookupEnded(a *lookup, end string) {
	if a.ended {
		return
	}
	a.ended = true
	r.outcomes[end]++
	if (end == "200" || end == "304") && a.firstSentAt < warmup+earlyPeriod {
		r.scenario.earlyLookups.Satisfied++
	}
	r.scenario.after(15*time.Second, func() { delete(r.lookups, a.id) })
}

// clientAnswered is a whole answer on a gateway's wire to the client.
func (r *checker) clientAnswered(a *lookup, status int, body string, tagged string, wait time.Duration) {
	now := r.scenario.sim.Now()
	// An answer that began in time and that the way or its client is slow to take is not late by its gateway, which writes it at once.
	late := a.answerStartedAt() - (a.receivedAt + a.deadline + socketSlack)
	if late > 0 {
		r.violated("rule 1", "answer %d to %s is %v late", status, a.id, late)
	}
	out := false
	for _, s := range a.attempts {
		out = out || s.awaited
	}
	switch status {
	case 200, 304:
		r.checkSatisfied(a, status, body, tagged)
	case 503, 429, 502:
		k := lookupKinds[a.kind]
		budget := min(k.aim+time.Duration(k.stretch*float64(partWork(a.object, a.part))), k.deadline)
		// A send may wait for its connection to come up, or behind a line that its cache does not take.
		idle := now - max(a.lastInFlight, a.receivedAt, a.process.process.LastDialing(), a.process.process.LastBlocked())
		if !out && idle > 400*time.Millisecond && now-a.receivedAt > budget+300*time.Millisecond && now-a.receivedAt > a.deadline/2 {
			r.violated("held back", "%s was answered %d after %v of %v, with nothing out for it for %v", a.id, status, now-a.receivedAt,
				a.deadline, idle)
		}
		if status != 502 && wait <= 0 && len(a.attempts) > 0 {
			r.violated("held back", "%s was nacked without a time to come back", a.id)
		}
	default:
		r.violated("rule 1", "%s was answered with status %d", a.id, status)
	}
	r.lookupEnded(a, strconv.Itoa(status))
}

// checkSatisfied checks that what was served came from a send, and is not too old.
func (r *checker) checkSatisfied(a *lookup, status int, body, tag string) {
	var by *attempt
	var got *cachedCopy
	for _, s := range a.attempts {
		for _, c := range s.answers {
			bare := tag == "" && lookupKinds[a.kind].passOn
			if (c.version == tag || bare) && (status == 304 && s.notModified || status == 200 && c.body(a.object+"/"+strconv.Itoa(a.part)) == body) {
				by, got = s, c
			}
		}
	}
	if by == nil {
		r.violated("rule 1", "%s was served with %d, tag %s and %d bytes that no cache made for it", a.id, status, tag, len(body))
		return
	}
	for _, p := range r.purges {
		if p.object != a.object && (p.object != "" || p.group != a.group) || !got.createdAt.Before(p.issued) {
			continue
		}
		if told := a.process.notifiedAt(p.number); told > 0 && by.firstByteAt > told+purgeGrace+socketSlack {
			r.violated("rule 5", "%s (%s) was served a copy %v older than a purge that %s was told of %v before the send", a.id,
				a.object, p.issued.Sub(got.createdAt), a.process.process.Name, by.firstByteAt-told)
		}
	}
}

// checkForwardedAnswer checks an answer that a gateway lets pass now: no copy older than a purge that it was told of past the grace,
// whenever the send went out.
func (r *checker) checkForwardedAnswer(a *lookup, got *cachedCopy) {
	for _, p := range r.purges {
		if p.object != a.object && (p.object != "" || p.group != a.group) || !got.createdAt.Before(p.issued) {
			continue
		}
		if told := a.process.notifiedAt(p.number); told > 0 && r.scenario.sim.Now() > told+purgeGrace+socketSlack {
			r.violated("rule 5", "%s (%s): an answer %v older than a purge that %s was told of %v ago is let pass", a.id, a.object,
				p.issued.Sub(got.createdAt), a.process.process.Name, r.scenario.sim.Now()-told)
		}
	}
}

func (l *gatewayProcess) notifiedAt(no int) time.Duration {
	if no < len(l.notified) {
		return l.notified[no]
	}
	return 0
}

// attemptSent is a send that a gateway has written whole.
func (r *checker) attemptSent(k *cacheConn, q *attemptRequest, first time.Duration) {
	d, l := r.scenario, k.process
	a := r.lookups[q.id]
	if l == nil || l.ended {
		return
	}
	if a == nil || a.process != l {
		r.violated("protocol", "%s sends %s, which no client asked of it", l.process.Name, q.id)
		return
	}
	if q.object != a.object || q.part != a.part || q.kind != lookupKinds[a.kind].name || q.etag != "" && q.etag != a.etag ||
		q.body != a.body {
		r.violated("protocol", "%s sends %s with other fields than its client's: %s %s/%d", l.process.Name, q.id, q.kind, q.object, q.part)
		return
	}
	if a.ended && !a.clientGone && first > a.conn.answeredAt {
		r.violated("rule 1", "%s sends %s to %s after its final answer", l.process.Name, q.id, k.cache.id)
	}
	// A client that left while its lookup waited: aim for never, and past this the users count it.
	if a.clientGone && a.clientGoneAt > 0 && !a.conn.split && first > a.clientGoneAt+cancelGrace {
		r.violated("gone client", "%s sends %s to %s %v after its client left", l.process.Name, q.id, k.cache.id, first-a.clientGoneAt)
	}
	for _, s := range a.attempts {
		if s.inFlight {
			r.violated("rule 2", "%s has %s out at %s and sends it to %s", l.process.Name, q.id, s.conn.cache.id, k.cache.id)
			return
		}
	}
	if len(a.attempts) >= maxAttempts {
		r.violated("protocol", "%s sends %s more than %d times", l.process.Name, q.id, maxAttempts)
	}
	for _, x := range [][2]string{{"sends to", k.cache.id}, {"names as source", q.source}} {
		what, id := x[0], x[1]
		if no := r.drainEvents[id]; no > 0 {
			if told := l.notifiedAt(no); told > 0 && first > told+drainGrace+socketSlack {
				r.violated("rule 3", "%s %s %s, told %v ago that it drains or is gone", l.process.Name, what, id, first-told)
				return
			}
		}
	}
	if m := d.Plan.ColdStart; m != nil && !m.Torn && (l.notifiedAt(1) == 0 || m.DrainUnannounced && l.notifiedAt(2) == 0) && (l.actor.knownDraining[k.cache.id] || l.actor.knownDraining[q.source]) {
		r.violated("rule 3", "%s sends to %s (source %q), of which its list on disk knows that it drains", l.process.Name, k.cache.id, q.source)
		return
	}
	if d.Plan.changesRoutes() {
		r.checkRoutes(a, k.cache.id)
	}
	if q.source != "" {
		from := d.byID[q.source]
		if from == nil && d.Plan.ColdStart == nil || from != nil && from.flavor == "edge" {
			r.violated("protocol", "%s names %q as a source", l.process.Name, q.source)
			return
		}
	}
	s := &attempt{lookup: a, conn: k, firstByteAt: first, inFlight: true, awaited: true}
	a.attempts = append(a.attempts, s)
	k.attempts = append(k.attempts, s)
	d.sim.Note(simenv.StepAttempt, q.id, "", int64(len(a.attempts)))
	if d.hooks.onAttempt != nil {
		d.hooks.onAttempt(d, k, q)
	}
}

func (r *checker) attemptEnded(s *attempt) {
	s.inFlight = false
	r.outcomeArrived(s)
}

// outcomeArrived is the end of a send as its gateway has it.
func (r *checker) outcomeArrived(s *attempt) {
	if s.awaited {
		s.awaited = false
		s.lookup.lastInFlight = r.scenario.sim.Now()
	}
}

// attemptCancelled is a send that its gateway gives up.
func (r *checker) attemptCancelled(k *cacheConn, id string) {
	k.attempts = slices.DeleteFunc(k.attempts, func(s *attempt) bool {
		if s.lookup.id == id {
			r.attemptEnded(s)
		}
		return s.lookup.id == id
	})
}

// answerWritten is a send whose end the cache is writing now; the gateway has it once so many bytes have arrived.
func (r *checker) answerWritten(q *attemptRequest, end int) {
	k := q.conn
	k.attempts = slices.DeleteFunc(k.attempts, func(s *attempt) bool {
		if s.lookup.id != q.id {
			return false
		}
		s.inFlight = false
		k.pendingAnswers = append(k.pendingAnswers, pendingAnswer{end, s})
		return true
	})
}

// connectionEnded is the end of a connection, at either side: all that is open on it is given up.
func (r *checker) connectionEnded(k *cacheConn) {
	for _, s := range k.attempts {
		r.attemptEnded(s)
	}
	for _, x := range k.pendingAnswers {
		r.outcomeArrived(x.attempt)
	}
	k.attempts, k.pendingAnswers = nil, nil
}

// cacheAnswered is a good answer that a cache makes for a send.
func (r *checker) cacheAnswered(q *attemptRequest, got *cachedCopy, same bool) {
	for _, s := range q.conn.attempts {
		if s.lookup.id == q.id {
			kept := *got
			s.answers = append(s.answers, &kept)
			s.notModified = s.notModified || same
		}
	}
}

// effectRan is a lookup that has run at the origin.
func (r *checker) effectRan(q *attemptRequest, times int) {
	if lookupKinds[q.kindIndex].effect != "idempotent" && times > 1 {
		r.violated("rule 2", "the effect of %s (%s, %s) has run %d times", q.object, q.kind, q.id, times)
	}
}

// gatewayKilled is the end of a life without a word.
func (r *checker) gatewayKilled(l *gatewayProcess) {
	for _, id := range sortedKeys(r.lookups) {
		if a := r.lookups[id]; a.process == l && !a.ended {
			r.lookupEnded(a, "gateway gone")
		}
	}
}

// gatewayEnded is the end of a life by itself.
func (r *checker) gatewayEnded(l *gatewayProcess, err error) {
	l.ended, l.endedAt = true, r.scenario.sim.Now()
	if err != nil || l.terminatedAt == 0 {
		r.violated("crash", "%s ended by itself: %v", l.process.Name, err)
		return
	}
	r.scenario.after(0, func() {
		if n, timers, fds := l.process.Resources(); n > 0 || timers > 0 || fds > 0 {
			r.violated("leak", "%s has ended and left %d goroutines (%s), %d timers, %d descriptors", l.process.Name, n, l.process.GoroutineNames(),
				timers, fds)
		}
	})
	for _, id := range sortedKeys(r.lookups) {
		a := r.lookups[id]
		if a.process != l || a.ended {
			continue
		}
		if a.receivedAt > 0 && a.receivedAt < l.terminatedAt+700*time.Millisecond && a.conn.end.IsAccepted() && !a.conn.split {
			r.violated("rule 1", "%s ended and left %s, taken %v after SIGTERM, without an answer", l.process.Name, a.id, a.receivedAt-l.terminatedAt)
		}
		r.lookupEnded(a, "gateway gone")
	}
}

// checkIdle checks what must hold whenever all wait.
func (r *checker) checkIdle() {
	r.idleCount++
	d := r.scenario
	for _, g := range d.gateways {
		l := g.current
		if l == nil || l.ended || l.instance == nil {
			continue
		}
		if r.idleCount%4 == 0 {
			load := l.instance.Load()
			handed, streams := 0, 0
			if l.extproc != nil {
				handed, streams = l.extproc.AttemptsOut(), l.extproc.openStreams()
			}
			if load.OpenAttempts != load.ConnAttempts+load.QueuedAttempts+handed {
				r.violated("in flight", "%s: the module counts %d sends, its connections %d, %d wait to be written, %d are at callers", l.process.Name,
					load.OpenAttempts, load.ConnAttempts, load.QueuedAttempts, handed)
			}
			if room := int(g.memoryMB * 8); load.Lookups > 4*room || load.ClientConns > g.descriptors/2+1 {
				r.violated("bounds", "%s holds %d lookups (room %d), %d clients of %d descriptors", l.process.Name, load.Lookups, room,
					load.ClientConns, g.descriptors)
			}
			out := 0
			for k := range l.conns { // a sum: the order does not matter
				out += len(k.attempts)
			}
			if out > load.ConnAttempts {
				r.violated("in flight", "%s: %d sends are out on its wires, it counts %d", l.process.Name, out, load.ConnAttempts)
			}
			// The listener, the bulletin and what is being accepted or closed are all that may be beside them.
			if _, _, fds := l.process.Resources(); fds > load.ClientConns+load.CacheConns+streams+3+min(1, streams) && l.terminatedAt == 0 {
				r.violated("leak", "%s holds %d descriptors for %d clients and %d connections to caches", l.process.Name, fds, load.ClientConns,
					load.CacheConns)
			}
		}
	}
	if r.idleCount%256 == 0 {
		r.countAsNotified()
	}
}

// countAsNotified lets what was published long ago count as told to those that could hear it.
func (r *checker) countAsNotified() {
	d, now := r.scenario, r.scenario.sim.Now()
	for _, g := range d.gateways {
		l := g.current
		if l == nil || l.ended {
			continue
		}
		b := d.discoveryServers[g.discoveryIndex]
		if b.down || b.silent || b.lag > 0 || d.isSplit("gateways", "bulletin") || g.host.Vanished {
			l.cutOffAt = now
		}
		for no := range d.events {
			e := d.events[no]
			if l.notifiedAt(e.Number) == 0 && now-e.publishedAt > notifiedAfter && now-max(l.startedAt, l.cutOffAt) > reachableFor {
				l.markNotified(e.Number, now)
			}
		}
	}
}

// checkEnd checks what must hold at the day's end.
func (r *checker) checkEnd() {
	for _, g := range r.scenario.gateways {
		if g.current != nil && !g.current.ended {
			r.violated("stop", "%s has not ended", g.current.process.Name)
		}
	}
	open := 0
	for _, a := range r.lookups {
		if !a.ended && a.receivedAt > 0 {
			open++
		}
	}
	if open > 0 && len(r.violations) == 0 {
		r.violated("rule 1", "%d lookups were never answered", open)
	}
}
