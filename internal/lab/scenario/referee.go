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

// referee sees the wires and the true state of every party, never the gateway's own view but for its counts, which
// must agree with its sockets. It checks after each step.
type referee struct {
	d        *Day
	list     []Broken
	asks     map[string]*ask // by id, until some time after their end
	asked    int
	ends     map[string]int
	versions map[string]int  // of objects and groups: purges so far
	known    map[string]bool // deduplicated lookups by zone and id
	purges   []purge
	quiets   uint64
	drained  map[string]int // by cache: number of the event that told it drains or is gone
}

type purge struct {
	no     int // of the event
	object string
	group  int
	issued time.Time
}

// ask is a lookup of a usual client at one gateway.
type ask struct {
	id, object string
	kind, part int
	group      int
	tag, bytes string
	allow      time.Duration
	l          *life
	c          *clientConn
	sentAt     time.Duration
	taken      time.Duration // its last byte reached the gateway's machine; 0: not yet
	over       bool          // answered, or nothing is owed any more
	left       bool
	leftAt     time.Duration // its client closed or reset the connection
	sends      []*send
	lastOut    time.Duration // when a send was last out
	again      int
	came       time.Duration // of it, or of the lookup that it repeats
	done       func(status int, wait time.Duration)
	sides      *[2]bool // configurations of the routes that all its sends so far may have been decided under
}

// send is a send as it stood on a gateway's wire.
type send struct {
	a        *ask
	k        *cacheConn
	first    time.Duration // its first byte
	out      bool
	waits    bool // its answer has not reached the gateway, which has not given it up
	answers  []*copied
	sameTold bool
}

func newReferee(d *Day) *referee {
	return &referee{d: d, asks: map[string]*ask{}, ends: map[string]int{}, versions: map[string]int{}, known: map[string]bool{},
		drained: map[string]int{}}
}

// broken notes a broken rule; the first one ends the day.
func (r *referee) broken(rule, format string, a ...any) {
	b := Broken{rule, r.d.w.Now(), fmt.Sprintf(format, a...)}
	r.list = append(r.list, b)
	r.d.tell("BROKEN %s: %s", rule, b.Detail)
	r.d.w.Halt()
}

// began is when the answer that a gateway has just finished began.
func (a *ask) began() time.Duration {
	if a.c == nil || a.c.wireAt == 0 {
		return a.l.g.d.w.Now()
	}
	return a.c.wireAt
}

func groupOf(object string) int { return int(sum(object) % 16) }

func sum(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// kbOf is the size of a part as lookups count it.
func kbOf(object string, part int) float64 {
	n := sum(object + "/" + strconv.Itoa(part))
	switch {
	case object[0] == 's' && n%12 == 0:
		return 1200
	case object[0] == 's':
		return 100 + float64(n%400)
	}
	return 10 + float64(n%50)
}

func sizeOf(object string, part int) int {
	kb := kbOf(object, part)
	if kb >= 1200 && sum(object)%2 == 0 {
		return mostBody
	}
	return int(kb * 12)
}

// meanWork is the mean of workOf by kind.
var meanWork = func() (mean [4]time.Duration) {
	for i, k := range kinds {
		sum := time.Duration(0)
		for n := range 300 {
			sum += workOf(fmt.Sprintf("%c%d", k.name[0], n), n%4)
		}
		mean[i] = sum / 300
	}
	return mean
}()

func workOf(object string, part int) time.Duration {
	return time.Duration(kbOf(object, part) / flowKB * float64(time.Second))
}

// version is how often an object or its group was purged: the origin gives out that version.
func (r *referee) version(object string) int {
	return r.versions[object] + r.versions["lot"+strconv.Itoa(groupOf(object))]
}

// purge purges an object, or a group where it is empty.
func (d *Day) purge(object string, group int) {
	issued := d.w.Unix().Truncate(time.Millisecond).Add(time.Millisecond) // what was given out up to now is older
	p := purge{no: len(d.events) + 1, object: object, group: group, issued: issued}
	e := event{Recall: &recall{Item: object, Issued: issued.UnixMilli()}}
	if object == "" {
		e.Recall.Lot = &group
		d.ref.versions["lot"+strconv.Itoa(group)]++
	} else {
		d.ref.versions[object]++
	}
	d.ref.purges = append(d.ref.purges, p)
	d.publish(e)
	for _, c := range slices.Concat(d.caches, d.parents) {
		d.after(time.Duration(500+d.chance(5000))*time.Millisecond, func() { c.clear(p) })
	}
}

// covers tells whether a purge concerns a part.
func (p purge) covers(key string) bool {
	object, _, _ := strings.Cut(key, "/")
	return p.object == object || p.object == "" && p.group == groupOf(object)
}

// ask opens a lookup.
func (r *referee) ask(a *ask) {
	r.asked++
	if a.again == 0 {
		a.came = r.d.w.Now()
		if a.came < warmup+earlyFor {
			r.d.early.Asked++
		}
	}
	r.asks[a.id] = a
	r.d.w.Note(simenv.StepAsk, a.id, "", 0)
}

// took notes that a lookup has reached its gateway whole, and looks after its time.
func (r *referee) took(a *ask) {
	a.taken = r.d.w.Now()
	if r.d.look.taken != nil {
		r.d.look.taken(r.d, a)
	}
	r.d.after(a.allow+slack+time.Millisecond, func() {
		if a.over || a.l.over || a.c.split {
			return
		}
		if a.l.term > 0 && a.taken > a.l.term+700*time.Millisecond || !a.c.e.Taken() || a.c.e.Stalled || a.c.wild {
			return
		}
		if a.c.answering() { // it has begun, and its client is slow to take it
			return
		}
		r.broken("rule 1", "lookup %s (%s) taken by %s has no answer after %v of %v", a.id, kinds[a.kind].name, a.l.p.Name,
			r.d.w.Now()-a.taken, a.allow)
	})
}

// close ends what is owed for a lookup.
func (r *referee) close(a *ask, end string) {
	if a.over {
		return
	}
	a.over = true
	r.ends[end]++
	if (end == "200" || end == "304") && a.came < warmup+earlyFor {
		r.d.early.Satisfied++
	}
	r.d.after(15*time.Second, func() { delete(r.asks, a.id) })
}

// answer is a whole answer on a gateway's wire to the client.
func (r *referee) answer(a *ask, status int, body string, tagged string, wait time.Duration) {
	now := r.d.w.Now()
	// An answer that began in time and that the way or its client is slow to take is not late by its gateway, which writes it at once.
	late := a.began() - (a.taken + a.allow + slack)
	if late > 0 {
		r.broken("rule 1", "answer %d to %s is %v late", status, a.id, late)
	}
	out := false
	for _, s := range a.sends {
		out = out || s.waits
	}
	switch status {
	case 200, 304:
		r.satisfied(a, status, body, tagged)
	case 503, 429, 502:
		k := kinds[a.kind]
		budget := min(k.aim+time.Duration(k.stretch*float64(workOf(a.object, a.part))), k.deadline)
		// A send may wait for its connection to come up, or behind a line that its cache does not take.
		idle := now - max(a.lastOut, a.taken, a.l.p.Dialling(), a.l.p.Blocking())
		if !out && idle > 400*time.Millisecond && now-a.taken > budget+300*time.Millisecond && now-a.taken > a.allow/2 {
			r.broken("held back", "%s was answered %d after %v of %v, with nothing out for it for %v", a.id, status, now-a.taken,
				a.allow, idle)
		}
		if status != 502 && wait <= 0 && len(a.sends) > 0 {
			r.broken("held back", "%s was nacked without a time to come back", a.id)
		}
	default:
		r.broken("rule 1", "%s was answered with status %d", a.id, status)
	}
	r.close(a, strconv.Itoa(status))
}

// satisfied checks that what was served came from a send, and is not too old.
func (r *referee) satisfied(a *ask, status int, body, tag string) {
	var by *send
	var got *copied
	for _, s := range a.sends {
		for _, c := range s.answers {
			bare := tag == "" && kinds[a.kind].passOn
			if (c.ver == tag || bare) && (status == 304 && s.sameTold || status == 200 && c.body(a.object+"/"+strconv.Itoa(a.part)) == body) {
				by, got = s, c
			}
		}
	}
	if by == nil {
		r.broken("rule 1", "%s was served with %d, tag %s and %d bytes that no cache made for it", a.id, status, tag, len(body))
		return
	}
	for _, p := range r.purges {
		if p.object != a.object && (p.object != "" || p.group != a.group) || !got.born.Before(p.issued) {
			continue
		}
		if told := a.l.toldOf(p.no); told > 0 && by.first > told+obey+slack {
			r.broken("rule 5", "%s (%s) was served a copy %v older than a purge that %s was told of %v before the send", a.id,
				a.object, p.issued.Sub(got.born), a.l.p.Name, by.first-told)
		}
	}
}

// strict checks an answer that a gateway lets pass now: no copy older than a purge that it was told of past the grace,
// whenever the send went out.
func (r *referee) strict(a *ask, got *copied) {
	for _, p := range r.purges {
		if p.object != a.object && (p.object != "" || p.group != a.group) || !got.born.Before(p.issued) {
			continue
		}
		if told := a.l.toldOf(p.no); told > 0 && r.d.w.Now() > told+obey+slack {
			r.broken("rule 5", "%s (%s): an answer %v older than a purge that %s was told of %v ago is let pass", a.id, a.object,
				p.issued.Sub(got.born), a.l.p.Name, r.d.w.Now()-told)
		}
	}
}

func (l *life) toldOf(no int) time.Duration {
	if no < len(l.told) {
		return l.told[no]
	}
	return 0
}

// sent is a send that a gateway has written whole.
func (r *referee) sent(k *cacheConn, q *do, first time.Duration) {
	d, l := r.d, k.l
	a := r.asks[q.id]
	if l == nil || l.over {
		return
	}
	if a == nil || a.l != l {
		r.broken("protocol", "%s sends %s, which no client asked of it", l.p.Name, q.id)
		return
	}
	if q.object != a.object || q.part != a.part || q.kind != kinds[a.kind].name || q.seen != "" && q.seen != a.tag ||
		q.bytes != a.bytes {
		r.broken("protocol", "%s sends %s with other fields than its client's: %s %s/%d", l.p.Name, q.id, q.kind, q.object, q.part)
		return
	}
	if a.over && !a.left && first > a.c.overAt {
		r.broken("rule 1", "%s sends %s to %s after its final answer", l.p.Name, q.id, k.c.id)
	}
	// A client that left while its lookup waited: aim for never, and past this the users count it.
	if a.left && a.leftAt > 0 && !a.c.split && first > a.leftAt+goneFor {
		r.broken("gone client", "%s sends %s to %s %v after its client left", l.p.Name, q.id, k.c.id, first-a.leftAt)
	}
	for _, s := range a.sends {
		if s.out {
			r.broken("rule 2", "%s has %s out at %s and sends it to %s", l.p.Name, q.id, s.k.c.id, k.c.id)
			return
		}
	}
	if len(a.sends) >= tries {
		r.broken("protocol", "%s sends %s more than %d times", l.p.Name, q.id, tries)
	}
	for _, x := range [][2]string{{"sends to", k.c.id}, {"names as source", q.from}} {
		what, id := x[0], x[1]
		if no := r.drained[id]; no > 0 {
			if told := l.toldOf(no); told > 0 && first > told+leave+slack {
				r.broken("rule 3", "%s %s %s, told %v ago that it drains or is gone", l.p.Name, what, id, first-told)
				return
			}
		}
	}
	if m := d.Plan.Morning; m != nil && !m.Torn && (l.toldOf(1) == 0 || m.Behind && l.toldOf(2) == 0) && (l.g.barred[k.c.id] || l.g.barred[q.from]) {
		r.broken("rule 3", "%s sends to %s (source %q), of which its list on disk knows that it drains", l.p.Name, k.c.id, q.from)
		return
	}
	if d.Plan.routed() {
		r.routed(a, k.c.id)
	}
	if q.from != "" {
		from := d.byID[q.from]
		if from == nil && d.Plan.Morning == nil || from != nil && from.flavor == "edge" {
			r.broken("protocol", "%s names %q as a source", l.p.Name, q.from)
			return
		}
	}
	s := &send{a: a, k: k, first: first, out: true, waits: true}
	a.sends = append(a.sends, s)
	k.out = append(k.out, s)
	d.w.Note(simenv.StepSent, q.id, "", int64(len(a.sends)))
	if d.look.sent != nil {
		d.look.sent(d, k, q)
	}
}

func (r *referee) endSend(s *send) {
	s.out = false
	r.heard(s)
}

// heard is the end of a send as its gateway has it.
func (r *referee) heard(s *send) {
	if s.waits {
		s.waits = false
		s.a.lastOut = r.d.w.Now()
	}
}

// undone is a send that its gateway gives up.
func (r *referee) undone(k *cacheConn, id string) {
	k.out = slices.DeleteFunc(k.out, func(s *send) bool {
		if s.a.id == id {
			r.endSend(s)
		}
		return s.a.id == id
	})
}

// sendOver is a send whose end the cache is writing now; the gateway has it once so many bytes have arrived.
func (r *referee) sendOver(q *do, end int) {
	k := q.k
	k.out = slices.DeleteFunc(k.out, func(s *send) bool {
		if s.a.id != q.id {
			return false
		}
		s.out = false
		k.due = append(k.due, due{end, s})
		return true
	})
}

// connOver is the end of a connection, at either side: all that is open on it is given up.
func (r *referee) connOver(k *cacheConn) {
	for _, s := range k.out {
		r.endSend(s)
	}
	for _, x := range k.due {
		r.heard(x.s)
	}
	k.out, k.due = nil, nil
}

// answered is a good answer that a cache makes for a send.
func (r *referee) answered(q *do, got *copied, same bool) {
	for _, s := range q.k.out {
		if s.a.id == q.id {
			kept := *got
			s.answers = append(s.answers, &kept)
			s.sameTold = s.sameTold || same
		}
	}
}

// effect is a lookup that has run at the origin.
func (r *referee) effect(q *do, times int) {
	if kinds[q.kind_].effect != "idempotent" && times > 1 {
		r.broken("rule 2", "the effect of %s (%s, %s) has run %d times", q.object, q.kind, q.id, times)
	}
}

// killed is the end of a life without a word.
func (r *referee) killed(l *life) {
	for _, id := range sorted(r.asks) {
		if a := r.asks[id]; a.l == l && !a.over {
			r.close(a, "gateway gone")
		}
	}
}

// ended is the end of a life by itself.
func (r *referee) ended(l *life, err error) {
	l.over, l.ended = true, r.d.w.Now()
	if err != nil || l.term == 0 {
		r.broken("crash", "%s ended by itself: %v", l.p.Name, err)
		return
	}
	r.d.after(0, func() {
		if n, timers, fds := l.p.Held(); n > 0 || timers > 0 || fds > 0 {
			r.broken("leak", "%s has ended and left %d goroutines (%s), %d timers, %d descriptors", l.p.Name, n, l.p.Names(),
				timers, fds)
		}
	})
	for _, id := range sorted(r.asks) {
		a := r.asks[id]
		if a.l != l || a.over {
			continue
		}
		if a.taken > 0 && a.taken < l.term+700*time.Millisecond && a.c.e.Taken() && !a.c.split {
			r.broken("rule 1", "%s ended and left %s, taken %v after SIGTERM, without an answer", l.p.Name, a.id, a.taken-l.term)
		}
		r.close(a, "gateway gone")
	}
}

// quiet checks what must hold whenever all wait.
func (r *referee) quiet() {
	r.quiets++
	d := r.d
	for _, g := range d.gateways {
		l := g.its
		if l == nil || l.over || l.its == nil {
			continue
		}
		if r.quiets%4 == 0 {
			load := l.its.Load()
			handed, streams := 0, 0
			if l.door != nil {
				handed, streams = l.door.AttemptsOut(), l.door.open()
			}
			if load.OpenAttempts != load.ConnAttempts+load.QueuedAttempts+handed {
				r.broken("in flight", "%s: the module counts %d sends, its connections %d, %d wait to be written, %d are at callers", l.p.Name,
					load.OpenAttempts, load.ConnAttempts, load.QueuedAttempts, handed)
			}
			if room := int(g.memory * 8); load.Lookups > 4*room || load.ClientConns > g.fds/2+1 {
				r.broken("bounds", "%s holds %d lookups (room %d), %d clients of %d descriptors", l.p.Name, load.Lookups, room,
					load.ClientConns, g.fds)
			}
			out := 0
			for k := range l.conns { // a sum: the order does not matter
				out += len(k.out)
			}
			if out > load.ConnAttempts {
				r.broken("in flight", "%s: %d sends are out on its wires, it counts %d", l.p.Name, out, load.ConnAttempts)
			}
			// The listener, the bulletin and what is being accepted or closed are all that may be beside them.
			if _, _, fds := l.p.Held(); fds > load.ClientConns+load.CacheConns+streams+3+min(1, streams) && l.term == 0 {
				r.broken("leak", "%s holds %d descriptors for %d clients and %d connections to caches", l.p.Name, fds, load.ClientConns,
					load.CacheConns)
			}
		}
	}
	if r.quiets%256 == 0 {
		r.hearing()
	}
}

// hearing lets what was published long ago count as told to those that could hear it.
func (r *referee) hearing() {
	d, now := r.d, r.d.w.Now()
	for _, g := range d.gateways {
		l := g.its
		if l == nil || l.over {
			continue
		}
		b := d.bulletins[g.bulletin]
		if b.down || b.mute || b.lag > 0 || d.split("gateways", "bulletin") || g.host.Mute {
			l.sick = now
		}
		for no := range d.events {
			e := d.events[no]
			if l.toldOf(e.No) == 0 && now-e.at > toldBy && now-max(l.began, l.sick) > hearing {
				l.hears(e.No, now)
			}
		}
	}
}

// final checks what must hold at the day's end.
func (r *referee) final() {
	for _, g := range r.d.gateways {
		if g.its != nil && !g.its.over {
			r.broken("stop", "%s has not ended", g.its.p.Name)
		}
	}
	open := 0
	for _, a := range r.asks {
		if !a.over && a.taken > 0 {
			open++
		}
	}
	if open > 0 && len(r.list) == 0 {
		r.broken("rule 1", "%d lookups were never answered", open)
	}
}
