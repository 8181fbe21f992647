package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/memory"
	"foldslip/internal/policy"
	"foldslip/internal/settings"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/warmstart"
)

const (
	mostEvent     = 1 << 20
	dueEvery      = time.Second             // a line of the bulletin
	silentAfter   = 2500 * time.Millisecond // without one it is asked anew, or sooner:
	silentLeast   = dueEvery + 250*time.Millisecond
	silentMost    = 5 * time.Second        // doubled up to it while sessions end without a line
	askWithin     = 500 * time.Millisecond // the time to ask anew, in which what was missed comes
	dialBulletin  = 500 * time.Millisecond
	retryBulletin = 50 * time.Millisecond // doubled up to retryMost
	retryMost     = 800 * time.Millisecond
)

// Bulletin follows the numbered events: lists of caches and purges.
type Bulletin struct {
	Last   int64 // number of the last event held
	Terms  *settings.Settings
	Router *dispatch.Dispatcher
	Caches *memory.Registry
	Purges *memory.Log
	// Members, if there are any, are told all that counts beside the router.
	Members *warmstart.Reconciler
	// Heard, if set, is told of each event before the router is; it must not wait.
	Heard func(c endpoints.Update)
	// Event, if set, is told the number of each event and its purges once they count; it must not wait.
	Event func(no int64, purges []dispatch.Purge)
	// Listed, if set, is called once a whole list has been told.
	Listed func()
	// Spread, if set, draws a pause by chance up to the one given.
	Spread func(time.Duration) time.Duration
	g      env.Ground
	failed int64 // number of the event that could not be used when it came last
	mu     sync.Mutex
	addr   string
	quiet  int       // sessions in a row that fell silent without a line
	its    *env.Life // of the session under way
	moved  bool      // it is to be asked at once
	turn   env.Bell  // rung when moved is set, and at the end
}

// NewBulletin makes the follower of the bulletin at an address.
func NewBulletin(g env.Ground, addr string, terms *settings.Settings, router *dispatch.Dispatcher, caches *memory.Registry,
	purges *memory.Log) *Bulletin {
	return &Bulletin{g: g, addr: addr, Terms: terms, Router: router, Caches: caches, Purges: purges, turn: g.Bell()}
}

// Move follows the bulletin at a new address from now on, after the last event held. At the old address it asks
// anew: what was told meanwhile comes at once.
func (b *Bulletin) Move(addr string) {
	b.mu.Lock()
	its := b.its
	b.addr, b.moved = addr, true
	b.mu.Unlock()
	b.turn.Ring()
	if its != nil {
		its.End()
	}
}

// next is the address to ask now, with the life of a session there, which Move ends.
func (b *Bulletin) next(life *env.Life) (string, *env.Life) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.moved, b.its = false, env.NewLife(life) // this session is at the new address
	return b.addr, b.its
}

// pause waits before the bulletin is asked again; true if it has moved meanwhile.
func (b *Bulletin) pause(life *env.Life, span time.Duration) bool {
	for till := b.g.Now().Add(span); !life.Over(); {
		b.mu.Lock()
		moved := b.moved
		b.mu.Unlock()
		if moved || !b.turn.Wait(max(0, till.Sub(b.g.Now()))) {
			return moved
		}
	}
	return false
}

// errAnew tells that the bulletin counts from the start again.
var errAnew = errors.New("the bulletin's numbers began anew")

// errGap tells that events are missing; a new connection brings them.
var errGap = errors.New("events are missing")

type event struct {
	No     *int64 `json:"no"`
	Roster *struct {
		Revision int64 `json:"revision"`
		Complete bool  `json:"complete"`
		Members  []struct {
			ID       string  `json:"id"`
			HostPort string  `json:"host_port"`
			Locality string  `json:"locality"`
			Flavor   string  `json:"flavor"`
			Cell     int     `json:"cell"`
			Phase    string  `json:"phase"`
			Size     float64 `json:"size"`
			UpSince  float64 `json:"up_since_ms"`
		} `json:"members"`
	} `json:"roster"`
	Recall *struct {
		Item   string  `json:"item"`
		Lot    *int    `json:"lot"`
		Issued float64 `json:"issued"`
	} `json:"recall"`
}

// Known takes the events of the start.
func (b *Bulletin) Known(text json.RawMessage) error {
	var known struct {
		No    int64             `json:"no"`
		Items []json.RawMessage `json:"items"`
	}
	if err := json.Unmarshal(text, &known); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	for _, item := range known.Items {
		if err := b.take(item, true); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	b.Last = known.No
	return nil
}

// take takes one line: an event, or only the last number. Nothing of a line that cannot be used is kept.
func (b *Bulletin) take(line []byte, known bool) error {
	if n, err := strconv.ParseInt(string(line), 10, 64); err == nil {
		if n > b.Last {
			return fmt.Errorf("%w: %d told, %d held", errGap, n, b.Last)
		}
		if b.Members.ObserveEventNumber(n, b.Last) {
			was := b.Last
			b.Last = 0
			return fmt.Errorf("%w: %d told, %d held", errAnew, n, was)
		}
		return nil
	}
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		return err
	}
	if e.No == nil {
		return errors.New("an event without a number")
	}
	if e.Roster == nil && e.Recall == nil {
		if *e.No > b.Last && !known {
			return fmt.Errorf("%w: %d told, %d held", errGap, *e.No, b.Last)
		}
		return nil
	}
	switch {
	case known:
	case *e.No <= b.Last:
		return nil // held already
	case *e.No != b.Last+1:
		return fmt.Errorf("%w: %d follows %d", errGap, *e.No, b.Last)
	}
	rows, gone, err := b.rows(&e)
	if err != nil {
		return err
	}
	var purges []dispatch.Purge
	if r := e.Recall; r != nil {
		if (r.Item == "") == (r.Lot == nil) || !(r.Issued > 0 && r.Issued < 1e14) {
			return errors.New("a recall that names not one thing and its time")
		}
		p := dispatch.Purge{Object: r.Item, IssuedAt: time.UnixMicro(int64(r.Issued * 1000))}
		if r.Lot != nil {
			p.Group = *r.Lot
		}
		b.Purges.Record(p.Object, p.Group, p.IssuedAt)
		purges = append(purges, p)
	}
	whole := e.Roster != nil && e.Roster.Complete
	if b.Heard != nil {
		b.Heard(b.change(&e))
	}
	if e.Roster != nil {
		ids := make([]string, len(rows))
		for i, m := range e.Roster.Members {
			ids[i] = m.ID
		}
		b.Members.KeepDraining(*e.No, whole, ids, rows)
	}
	b.Router.Tick(rows, whole, purges)
	if e.Roster != nil && e.Roster.Complete {
		named := map[string]bool{}
		for _, m := range e.Roster.Members {
			named[m.ID] = true
		}
		b.Caches.Retain(named)
	}
	for _, id := range gone {
		b.Caches.Remove(id)
	}
	b.Last = *e.No
	if b.Event != nil {
		b.Event(b.Last, purges)
	}
	if b.Members != nil {
		b.Members.Apply(b.change(&e))
	}
	if whole && b.Listed != nil && !known {
		b.Listed()
		b.Listed = nil
	}
	return nil
}

// change is an event as the list keeps it.
func (b *Bulletin) change(e *event) endpoints.Update {
	c := endpoints.Update{LastEvent: b.Last, DiscoveryAddr: b.at()}
	if r := e.Recall; r != nil {
		p := endpoints.Purge{Object: r.Item, IssuedAt: int64(r.Issued), ReceivedAt: b.g.Now().UnixMilli()}
		if r.Lot != nil {
			p.Group = *r.Lot
		}
		c.Purges = append(c.Purges, p)
	}
	if e.Roster == nil {
		return c
	}
	c.Complete = e.Roster.Complete
	for _, m := range e.Roster.Members {
		phase := map[string]endpoints.Phase{"draining": endpoints.Draining, "removed": endpoints.Removed}[m.Phase]
		c.Endpoints = append(c.Endpoints, endpoints.Endpoint{ID: m.ID, Addr: m.HostPort, Zone: m.Locality, MachineType: m.Flavor, Cell: m.Cell, Size: m.Size,
			StartedAt: int64(m.UpSince), Phase: phase})
	}
	return c
}

func (b *Bulletin) at() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addr
}

// rows reads a roster; all of it must be usable before any of it counts.
func (b *Bulletin) rows(e *event) (rows []policy.Endpoint, gone []string, err error) {
	if e.Roster == nil {
		return nil, nil, nil
	}
	for _, m := range e.Roster.Members {
		row := policy.Endpoint{Cell: m.Cell, Weight: m.Size, StartedAt: policy.Micros(m.UpSince * 1000),
			Zone: slices.Index(b.Terms.Zones, m.Locality), Kind: slices.Index(b.Terms.MachineTypes, m.Flavor)}
		switch m.Phase {
		case "up":
			row.State = policy.Ready
		case "draining":
			row.State = policy.Draining
		case "removed":
			row.State = policy.Gone
			gone = append(gone, m.ID)
		default:
			return nil, nil, fmt.Errorf("member %q: phase %q is unknown", m.ID, m.Phase)
		}
		if !isWord(m.ID) {
			return nil, nil, fmt.Errorf("member %q: the id cannot be used", m.ID)
		}
		if row.State != policy.Gone {
			if _, err := netip.ParseAddrPort(m.HostPort); err != nil || row.Zone < 0 || row.Kind < 0 {
				return nil, nil, fmt.Errorf("member %q: address, locality or flavor is unknown", m.ID)
			}
		}
		rows = append(rows, row)
	}
	for i, m := range e.Roster.Members {
		rows[i].Cache = b.Caches.Register(m.ID, m.HostPort).Policy
	}
	return rows, gone, nil
}

// Follow keeps a connection to the bulletin until life ends.
func (b *Bulletin) Follow(life *env.Life) error {
	defer life.OnEnd(b.turn.Ring)()
	for pause := retryBulletin; ; {
		began, last := b.g.Now(), b.Last
		addr, its := b.next(life)
		reason := b.session(its, addr)
		if its.Over() && !life.Over() {
			reason = "moved"
		}
		its.End()
		age := b.g.Now().Sub(began)
		b.g.Log().Info("bulletin_closed", "addr", addr, "reason", reason, "last", b.Last, "age_ms", age.Milliseconds())
		if b.Last > last || age > silentAfter {
			pause = retryBulletin
		}
		span := pause
		if b.Spread != nil {
			span = b.Spread(pause)
		}
		moved := b.pause(life, span)
		if life.Over() {
			return nil
		}
		if pause = min(2*pause, retryMost); moved {
			pause = retryBulletin
		}
	}
}

// silent is how long a session may bring no whole line. An event counts as told while the watch is dead, and the time to heed it runs:
// where it is short the silence is noticed so soon that asking anew still fits into it, as far as lines that come every second allow
// that. Sessions that brought no line at all wait longer each time, so that a bulletin that is late is not asked without end.
func (b *Bulletin) silent() time.Duration {
	if b.Caches.Len() == 0 {
		// Guards a start without a list against a discovery that is late with its first byte: nothing can drain yet, and a session ended
		// at silentAfter begins the same wait anew (2.5 s, 2.5 s, then 5 s).
		return silentMost
	}
	heed := time.Duration(b.Terms.DrainGrace) * time.Microsecond
	first := min(silentAfter, max(silentLeast, heed-askWithin))
	for range min(max(0, b.quiet-1), 8) {
		first = min(2*first, silentMost)
	}
	return first
}

// session is one connection, from after the last event held up to its end.
func (b *Bulletin) session(life *env.Life, addr string) (reason string) {
	conn, err := b.g.Dial(life, addr, dialBulletin)
	if err != nil {
		return "no_connection"
	}
	defer conn.Close()
	defer life.OnEnd(func() { conn.Close() })()
	silent := b.silent()
	conn.SetDeadline(b.g.Now().Add(silent))
	if _, err := fmt.Fprintf(conn, "after %d\n", b.Last); err != nil {
		return "write_failed"
	}
	var buf memory.Buffer
	for {
		for {
			line, _, whole := bytes.Cut(buf.Bytes(), []byte("\n"))
			if !whole {
				break
			}
			if err := b.take(bytes.TrimSpace(line), false); err != nil {
				b.g.Log().Warn("bulletin_fault", "text", err.Error(), "last", b.Last)
				if errors.Is(err, errGap) {
					return "gap"
				}
				if errors.Is(err, errAnew) {
					return "anew"
				}
				if b.failed != b.Last+1 {
					b.failed = b.Last + 1
					return "bad_line"
				}
				b.Last++ // it came twice and cannot be used: the events after it count more than it
			}
			buf.Discard(len(line) + 1)
			if b.quiet > 0 {
				b.quiet = 0
				silent = b.silent()
			}
			conn.SetReadDeadline(b.g.Now().Add(silent))
		}
		if err := buf.Fill(conn, mostEvent); err != nil {
			switch {
			case life.Over():
				return "stopping"
			case errors.Is(err, memory.ErrTooLong):
				return "bad_line"
			}
			var late net.Error
			if errors.As(err, &late) && late.Timeout() {
				b.quiet++
				return "silent"
			}
			return "closed_by_bulletin"
		}
	}
}
