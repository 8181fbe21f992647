package scenario

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"foldslip/internal/lab/simenv"
)

type event struct {
	No     int     `json:"no"`
	Roster *roster `json:"roster,omitempty"`
	Recall *recall `json:"recall,omitempty"`
	at     time.Duration
}

type roster struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type recall struct {
	Item   string `json:"item,omitempty"`
	Lot    *int   `json:"lot,omitempty"`
	Issued int64  `json:"issued"`
}

// publish adds an event; both bulletins tell it.
func (d *Day) publish(e event) {
	e.No, e.at = len(d.events)+1, d.w.Now()
	d.events = append(d.events, e)
	d.w.Note(simenv.StepPublish, "", "", int64(e.No))
	for _, b := range d.bulletins {
		b.stir()
	}
}

// bulletin tells gateways of numbered events.
type bulletin struct {
	d     *Day
	no    int
	host  *simenv.Host
	lag   time.Duration
	mute  bool // stays open and says nothing
	down  bool
	twice bool
	skip  bool // leaves the next event out, once a connection
	conns []*bulletinConn
}

func newBulletin(d *Day, no int) *bulletin {
	b := &bulletin{d: d, no: no, host: d.w.Host(fmt.Sprintf("10.7.0.%d", no+1), "bulletin")}
	b.serve()
	b.beat()
	return b
}

func (b *bulletin) addr() string { return b.host.IP + ":8500" }

func (b *bulletin) serve() {
	b.down = false
	b.host.Serve("8500", func(e *simenv.End) simenv.Handler {
		c := &bulletinConn{b: b, e: e, after: -1}
		for _, g := range b.d.gateways {
			if g.host == e.Peer {
				c.l = g.its
			}
		}
		e.Arrived = c.arrived
		b.conns = append(b.conns, c)
		return c
	})
}

// fall takes the bulletin away for a time: connections break, new ones are refused.
func (b *bulletin) fall(span time.Duration) {
	b.down = true
	b.host.Unserve("8500")
	for _, c := range append([]*bulletinConn(nil), b.conns...) {
		c.e.Reset()
		c.Closed(true)
	}
	b.d.after(span, b.serve)
}

func (b *bulletin) beat() {
	for _, c := range b.conns {
		if c.next > 0 && !b.mute {
			c.say(strconv.Itoa(c.next-1) + "\n")
		}
	}
	b.d.after(time.Second, b.beat)
}

// stir tells what has not been told.
func (b *bulletin) stir() {
	if b == nil {
		return
	}
	tell := func() {
		for _, c := range append([]*bulletinConn(nil), b.conns...) {
			c.more()
		}
	}
	if b.lag > 0 {
		b.d.after(b.lag, tell)
	} else {
		tell()
	}
}

// bulletinConn is a gateway's connection to a bulletin.
type bulletinConn struct {
	b       *bulletin
	e       *simenv.End
	l       *life
	in      []byte
	after   int // -1 until it is said
	next    int // event
	sent    int // bytes
	got     int // bytes that reached the gateway
	marks   []mark
	skipped bool
}

type mark struct{ end, no int }

func (c *bulletinConn) Opened()             { c.after = -1 }
func (c *bulletinConn) Written(int, []byte) {}

func (c *bulletinConn) Closed(bool) {
	b := c.b
	for i, o := range b.conns {
		if o == c {
			b.conns = append(b.conns[:i:i], b.conns[i+1:]...)
			break
		}
	}
	c.e.Close()
}

func (c *bulletinConn) Data(data []byte) {
	c.in = append(c.in, data...)
	line, _, whole := bytes.Cut(c.in, []byte("\n"))
	if !whole || c.next > 0 {
		return
	}
	n, err := strconv.Atoi(string(bytes.TrimPrefix(line, []byte("after "))))
	if err != nil || n < 0 || n > len(c.b.d.events) {
		c.b.d.ref.broken("protocol", "bulletin was asked with %q", line)
		c.e.Reset()
		return
	}
	c.after, c.next = n, n+1
	c.more()
}

func (c *bulletinConn) say(text string) {
	c.sent += len(text)
	c.e.Send([]byte(text))
}

func (c *bulletinConn) more() {
	b := c.b
	for c.next > 0 && !b.mute && c.next <= len(b.d.events) {
		e := b.d.events[c.next-1]
		if b.lag > 0 && b.d.w.Now() < e.at+b.lag {
			b.d.after(e.at+b.lag-b.d.w.Now(), c.more)
			return
		}
		if b.skip && !c.skipped && c.next < len(b.d.events) {
			c.skipped = true
			c.next++
			continue
		}
		text := string(must(e)) + "\n"
		c.say(text)
		c.marks = append(c.marks, mark{c.sent, c.next})
		if b.twice {
			c.say(text)
		}
		c.next++
	}
}

// half breaks the connection in the middle of an event.
func (c *bulletinConn) half() {
	text := must(event{No: c.next, Recall: &recall{Item: "s1", Issued: c.b.d.w.Unix().UnixMilli()}})
	c.say(string(text[:1+c.b.d.chance(len(text)-1)]))
	c.e.Close()
}

// arrived notes which events have reached the gateway whole.
func (c *bulletinConn) arrived(data []byte) {
	c.got += len(data)
	for len(c.marks) > 0 && c.marks[0].end <= c.got {
		if c.l != nil {
			c.l.hears(c.marks[0].no, c.b.d.w.Now())
		}
		c.marks = c.marks[1:]
	}
}

// hears notes that an event counts as told from then on.
func (l *life) hears(no int, at time.Duration) {
	for len(l.told) <= no {
		l.told = append(l.told, 0)
	}
	if l.told[no] == 0 {
		l.told[no] = max(1, at)
	}
}
