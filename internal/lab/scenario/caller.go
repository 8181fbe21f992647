package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"foldslip/internal/lab/simenv"
)

// proxy is a stand-in caller beside a gateway: it asks the gateway's door for each lookup, makes the send it is told, and
// reports how it ended. Written from the door's contract (docs/external-processor.md). Its faults are what the days draw.
type proxy struct {
	d       *Day
	g       *gatewayActor
	host    *simenv.Host
	streams map[*errand]bool
	age     int // it has been restarted so often
	// one in so many, 0 none:
	leaves, mute, twice, lies, late, odd, slow, deaf int
	asks                                             uint64
}

// errand is one lookup at a proxy.
type errand struct {
	p       *proxy
	age     int
	a       *ask
	e       *simenv.End
	out     []byte // written by the gateway and not a whole message
	in      []byte
	ends    []int // bytes to be arrived at the gateway, for each message
	phases  []int
	sent    int
	arrived int
	owed    time.Duration // since when a reply is owed; -1: none
	decided time.Duration // when the decision that goes ahead was written
	finals  int
	over    bool
	copy_   bool // asked a second time by a caller that should not
	k       *cacheConn
	s       *send
	q       *do
	same    bool
	lied    bool // its caller did what the contract does not allow: no answer is owed by it
	slow    bool // it was asked again long after it was told to
}

func newProxy(d *Day, g *gatewayActor, no int) *proxy {
	return &proxy{d: d, g: g, host: d.w.Host(fmt.Sprintf("10.0.%d.%d", 100+no, g.no+1), "gateways"), streams: map[*errand]bool{}}
}

func (p *proxy) one(in int) bool { return in > 0 && p.d.chance(in) == 0 }

// ask brings a lookup of a client to the gateway's door.
func (p *proxy) ask(a *ask) {
	if a.c == nil {
		a.c = &clientConn{f: p.d.front, g: p.g, l: a.l}
	}
	x := &errand{p: p, a: a, age: p.age, owed: -1}
	p.open(x)
	if p.one(p.twice) {
		p.d.after(time.Duration(p.d.chance(300))*time.Millisecond, func() { p.open(&errand{p: p, a: a, age: p.age, owed: -1, copy_: true}) })
	}
}

func (p *proxy) open(x *errand) {
	if x.age != p.age || x.a.l != p.g.its {
		x.fail("gateway gone")
		return
	}
	p.streams[x] = true
	x.e = p.host.Connect(p.g.ip+":"+doorPort, x)
	e := x.e
	p.d.after(2*time.Second, func() {
		if e == x.e && !e.Taken() && !x.over {
			x.fail("no connection")
		}
	})
}

func (x *errand) Opened() {
	if x.a.l != x.p.g.its || x.over {
		x.fail("gateway gone")
		return
	}
	x.a.c.e = x.e
	x.e.Arrived = x.reached
	d, a := x.p.d, x.a
	head := func(id string) string {
		text := fmt.Sprintf(":method: GET\n:path: /call/%s/%s/part-%d\nx-job-id: %s\nx-allow-ms: %g\nx-group: %d\nx-ram-kb: %g\n",
			kinds[a.kind].name, a.object, a.part, id, float64(max(0, a.allow-x.since())/time.Microsecond)/1000, a.group, kbOf(a.object, a.part))
		if a.tag != "" {
			text += "x-tag: \"" + a.tag + "\"\n"
		}
		return text
	}
	if x.p.one(x.p.odd) { // what no caller should
		x.p.asks++
		odd := []string{"P4\n:status: 200\n\n", "P2\n\n", "P77\n\n", "garbage\n\n", "P1\nx: " + strings.Repeat("y", 70000) + "\n\n"}
		x.lied = true
		x.e.Send([]byte(odd[d.chance(len(odd))]))
		if d.chance(2) == 0 {
			x.say(1, head(a.id))
			x.say(1, head(a.id))
		}
		d.after(time.Second, func() { x.fail("caller broke off") })
		return
	}
	x.e.Stalled = x.p.one(x.p.deaf)
	x.say(1, head(a.id))
	if x.p.one(x.p.leaves) {
		d.after(time.Duration(d.chance(600))*time.Millisecond, func() { x.fail("client left") })
	}
}

// since is how long the lookup has been at the gateway.
func (x *errand) since() time.Duration {
	if x.a.taken == 0 {
		return 0
	}
	return x.p.d.w.Now() - x.a.taken
}

// say sends a message.
func (x *errand) say(phase int, fields string) {
	text := fmt.Sprintf("P%d\n%s\n", phase, fields)
	x.sent += len(text)
	x.ends, x.phases = append(x.ends, x.sent), append(x.phases, phase)
	x.e.Send([]byte(text))
}

// reached is bytes at the gateway; a message that is whole there is owed a reply in time.
func (x *errand) reached(b []byte) {
	d, a := x.p.d, x.a
	x.arrived += len(b)
	for len(x.ends) > 0 && x.ends[0] <= x.arrived {
		phase := x.phases[0]
		x.ends, x.phases = x.ends[1:], x.phases[1:]
		if a.taken == 0 {
			a.taken = d.w.Now()
			d.w.Note(simenv.StepTaken, a.id, "", 0)
		}
		if phase == 4 && x.s != nil {
			d.ref.endSend(x.s)
			x.k.over(false)
		}
		x.owed = d.w.Now()
		since := x.owed
		d.after(max(0, a.taken+a.allow-d.w.Now())+slack+time.Millisecond, func() {
			if x.owed == since && !x.over && !a.l.over && !x.lied && !x.e.Stalled && x.e.Taken() &&
				!(a.l.term > 0 && since > a.l.term+700*time.Millisecond) {
				d.ref.broken("rule 1", "%s owes a caller the answer to %s (%s), phase %d, for %v of %v", a.l.p.Name, a.id, kinds[a.kind].name, phase,
					d.w.Now()-since, a.allow)
			}
		})
	}
}

// Written is what the gateway writes, on its wire: one reply to a message, and nothing after the final one.
func (x *errand) Written(n int, b []byte) {
	if n < 0 || x.over {
		return
	}
	d := x.p.d
	x.out = frames(append(x.out, b...), func(first string, fields map[string]string) {
		if x.lied {
			return
		}
		if strings.HasPrefix(first, "E") {
			return // the stream ends, and tells why
		}
		if x.owed < 0 || x.finals > 0 {
			d.ref.broken("rule 1", "%s tells %q on the stream of %s, which nothing is owed for", x.a.l.p.Name, first, x.a.id)
			return
		}
		x.owed = -1
		if first == "C1" {
			x.decided = d.w.Now()
			return
		}
		x.finals++
		if first == "C4" && x.s != nil && len(x.s.answers) > 0 {
			d.ref.strict(x.a, x.s.answers[len(x.s.answers)-1])
		}
		if strings.HasPrefix(first, "F") {
			wait, _ := strconv.Atoi(fields["x-wait-ms"])
			x.end(first[1:], fields["x-foldslip-again"] == "1", time.Duration(wait)*time.Millisecond)
		}
	})
}

// end checks a final answer as the gateway writes it.
func (x *errand) end(status string, again bool, wait time.Duration) {
	d, a := x.p.d, x.a
	if again || x.copy_ || x.slow || a.over {
		return
	}
	now := d.w.Now()
	code, _ := strconv.Atoi(status)
	k := kinds[a.kind]
	budget := min(k.aim+time.Duration(k.stretch*float64(workOf(a.object, a.part))), k.deadline)
	idle := now - max(a.lastOut, a.taken)
	out := false
	for _, s := range a.sends {
		out = out || s.waits
	}
	switch code {
	case 502, 503, 409:
		if !out && idle > 400*time.Millisecond && now-a.taken > budget+300*time.Millisecond && now-a.taken > a.allow/2 {
			d.ref.broken("held back", "%s was answered %d after %v of %v at the door, with nothing out for it for %v", a.id, code, now-a.taken,
				a.allow, idle)
		}
		if code == 503 && wait <= 0 && len(a.sends) > 0 {
			d.ref.broken("held back", "%s was nacked at the door without a time to come back", a.id)
		}
	default:
		d.ref.broken("rule 1", "%s was answered with status %d at the door", a.id, code)
	}
}

// Data is what reaches the proxy.
func (x *errand) Data(b []byte) {
	x.in = frames(append(x.in, b...), func(first string, fields map[string]string) {
		if x.over {
			return
		}
		switch {
		case first == "C1":
			x.told(fields)
		case first == "C4":
			x.accepted()
		case first[0] == 'F' && fields["x-foldslip-again"] == "1":
			x.again()
		case first[0] == 'F':
			status, _ := strconv.Atoi(first[1:])
			wait, _ := strconv.Atoi(fields["x-wait-ms"])
			x.a.left = x.a.left || status == 409 // it goes on, or has ended, on another stream of a caller that asks twice
			x.close(first[1:])
			if x.a.done != nil && !x.copy_ {
				x.a.done(status, time.Duration(wait)*time.Millisecond)
			}
		default:
			x.fail("stream ended")
		}
	})
}

// told is a decision: the send goes to its cache at once.
func (x *errand) told(f map[string]string) {
	d, a := x.p.d, x.a
	part := func(name string) int { n, _ := strconv.ParseFloat(f["x-foldslip-"+name], 64); return int(n) }
	ms, _ := strconv.ParseFloat(f["x-foldslip-wait-ms"], 64)
	wait := time.Duration(ms*1000) * time.Microsecond
	q := &do{id: a.id, kind: kinds[a.kind].name, kind_: a.kind, object: a.object, part: a.part, from: f["x-foldslip-source"],
		rank: part("rank"), oldest: time.Duration(part("oldest-ms")) * time.Millisecond, mode: f["x-foldslip-mode"],
		wait: wait, seen: a.tag, work: workOf(a.object, a.part)}
	c := d.byID[f["x-foldslip-cache"]]
	if c == nil || c.addr() != f["x-foldslip-addr"] {
		d.ref.broken("protocol", "%s names cache %q at %q", a.l.p.Name, f["x-foldslip-cache"], f["x-foldslip-addr"])
		return
	}
	x.k = &cacheConn{c: c, l: a.l, id: a.id, to: x.answered, lost: func() { x.report("reset", nil, nil) }, open: map[string]*do{a.id: q}}
	q.k, x.q = x.k, q
	began := len(a.sends)
	d.ref.sent(x.k, q, x.decided)
	if len(a.sends) == began {
		return // a rule is broken, or its gateway is gone
	}
	x.s = a.sends[began]
	lag := d.hop()
	if x.p.one(x.p.late) {
		lag = time.Duration(d.chance(1500)) * time.Millisecond
	}
	d.after(lag, func() {
		if x.s == nil || !x.s.out {
			return
		}
		switch {
		case !d.w.Cut("gateways", c.flavor+"s") && !c.host.Mute && !c.up:
			x.report("unconnected", nil, nil)
			return
		case d.w.Cut("gateways", c.flavor+"s") || c.host.Mute:
		default:
			c.conns = append(c.conns, x.k)
			c.bear(a.l, meanWork[a.kind])
			c.take(q)
		}
	})
	d.after(q.wait, func() {
		if x.q == q && x.s != nil && x.s.out {
			x.report("timeout", nil, nil)
		}
	})
}

// answered is what the cache says to the send.
func (x *errand) answered(q *do, text string) {
	if x.q != q || x.s == nil || !x.s.out {
		return
	}
	head, body, _ := strings.Cut(text, "\r\n")
	words := strings.Split(head, " ")
	fields := map[string]string{}
	for _, f := range strings.Split(words[2], ",") {
		k, v, _ := strings.Cut(f, "=")
		fields[k] = v
	}
	x.p.d.after(x.p.d.hop(), func() {
		if x.q == q && x.s != nil && x.s.out {
			word := map[string]string{"HIT": "hit", "VALID": "valid", "NONE": "none", "SHED": "shed", "FAULT": "fault"}[words[1]]
			x.same = word == "valid"
			_ = body
			x.report(word, fields, q)
		}
	})
}

// report tells the gateway how the send ended.
func (x *errand) report(word string, f map[string]string, _ *do) {
	p, d := x.p, x.p.d
	if x.q == nil || x.over {
		return
	}
	x.q.over = true
	x.s.out = false
	x.k.drop()
	if p.one(p.mute) {
		x.lied = true
		d.after(6*time.Second, func() { x.fail("caller says nothing") })
		return
	}
	if p.one(p.lies) && kinds[x.a.kind].effect == "idempotent" {
		x.lied = true
		word = []string{"hit", "fault", "reset", "shed", "nonsense", "late"}[d.chance(6)]
	}
	text := ":status: 200\nx-foldslip-end: " + word + "\n"
	for _, k := range [][2]string{{"note", "note"}, {"waited", "waited-ms"}, {"ver", "ver"}, {"born", "born"}} {
		if v := f[k[0]]; v != "" {
			text += "x-foldslip-" + k[1] + ": " + v + "\n"
		}
	}
	x.say(4, text)
}

// accepted passes the answer on.
func (x *errand) accepted() {
	a := x.a
	if x.s == nil || x.copy_ || x.lied {
		x.close("odd")
		return
	}
	if n := len(x.s.answers); n > 0 {
		got := x.s.answers[n-1]
		status, body := 200, got.body(a.object+"/"+strconv.Itoa(a.part))
		if x.same {
			status = 304
		}
		x.p.d.ref.satisfied(a, status, body, got.ver)
		if len(x.p.d.front.tags) < 4096 {
			x.p.d.front.tags[a.object+"/"+strconv.Itoa(a.part)] = got.ver
		}
		x.close(strconv.Itoa(status))
		return
	}
	x.p.d.ref.broken("rule 1", "%s accepts an answer to %s that no cache made", a.l.p.Name, a.id)
}

// again asks once more under the same id, on a stream of its own.
func (x *errand) again() {
	next := &errand{p: x.p, a: x.a, age: x.age, owed: -1, copy_: x.copy_}
	x.done()
	wait := time.Duration(x.p.d.chance(3)) * x.p.d.hop()
	if x.p.one(x.p.slow) {
		wait = time.Duration(x.p.d.chance(800)) * time.Millisecond
		next.slow = wait > 50*time.Millisecond
	}
	x.p.d.after(wait, func() { x.p.open(next) })
}

// done ends the stream at this side; what it had is over.
func (x *errand) done() {
	x.over = true
	delete(x.p.streams, x)
	if x.e != nil {
		x.e.Close()
	}
}

func (x *errand) close(why string) {
	x.done()
	if !x.copy_ {
		x.a.c.overAt = x.p.d.w.Now()
		x.p.d.ref.close(x.a, why)
	}
}

// fail breaks the stream off.
func (x *errand) fail(why string) {
	if x.over {
		return
	}
	x.over = true
	delete(x.p.streams, x)
	if x.e != nil {
		x.e.Reset()
	}
	if x.q != nil {
		x.q.over = true
	}
	if x.s != nil {
		x.p.d.ref.endSend(x.s)
		x.k.drop()
	}
	if !x.copy_ {
		x.a.left = true
		x.p.d.ref.close(x.a, why)
	}
}

func (x *errand) Closed(bool) {
	if !x.over {
		x.fail("stream ended")
	}
}

// restart is a caller that dies and comes back: its streams break off, and it knows nothing of them.
func (p *proxy) restart() {
	p.age++
	for _, x := range p.inOrder() {
		x.fail("caller gone")
	}
}

// inOrder are its streams, in an order that does not change from run to run.
func (p *proxy) inOrder() (all []*errand) {
	by := map[string]*errand{}
	for x := range p.streams {
		no := uint64(0)
		if x.e != nil {
			no = x.e.No
		}
		by[fmt.Sprintf("%s %d %t", x.a.id, no, x.copy_)] = x
	}
	for _, k := range sorted(by) {
		all = append(all, by[k])
	}
	return all
}

// hop is the time that a caller's send takes to its cache, and the answer back.
func (d *Day) hop() time.Duration {
	if d.w.Even {
		return 0
	}
	return 300 * time.Microsecond
}

// flood asks at the gateway's door as another caller does that knows no measure.
func (p *proxy) flood(asks int) {
	other := newProxy(p.d, p.g, 3)
	for i := range asks {
		p.d.after(time.Duration(i*4)*time.Millisecond, func() {
			l := p.g.its
			if l == nil || !l.ready || l.over {
				return
			}
			a := &ask{kind: 0, object: fmt.Sprintf("s%d", p.d.chance(60)), l: l, allow: kinds[0].deadline, id: fmt.Sprintf("%016x", p.d.w.Chance.Uint64())}
			a.group = groupOf(a.object)
			p.d.ref.ask(a)
			other.ask(a)
		})
	}
}
