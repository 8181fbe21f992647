// Package discovery follows the discovery watch: numbered events that bring changes of the endpoint list and purges, over one connection
// that is opened anew after a gap, a silence or a fault. It applies each event to the dispatcher, the registry of caches, the log of
// purges and the kept list, in that order. One goroutine (Watch.Run) owns the watch; SetAddr alone may be called beside it.
package discovery

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

	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/linebuffer"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/upstream"
	"foldslip/internal/warmstart"
)

const (
	maxEventBytes         = 1 << 20
	lineInterval          = time.Second             // a line of the bulletin
	defaultSilenceTimeout = 2500 * time.Millisecond // without one it is asked anew, or sooner:
	minSilenceTimeout     = lineInterval + 250*time.Millisecond
	maxSilenceTimeout     = 5 * time.Second        // doubled up to it while sessions end without a line
	resyncTime            = 500 * time.Millisecond // the time to ask anew, in which what was missed comes
	dialTimeout           = 500 * time.Millisecond
	minRetryDelay         = 50 * time.Millisecond // doubled up to retryMost
	maxRetryDelay         = 800 * time.Millisecond
)

// Watch follows the numbered events: lists of caches and purges.
type Watch struct {
	LastEvent  int64 // number of the last event held
	Settings   *settings.Settings
	Dispatcher *dispatch.Dispatcher
	Registry   *cacheregistry.Registry
	Purges     *purgelog.Log
	// Members, if there are any, are told all that counts beside the router.
	Reconciler *warmstart.Reconciler
	// Heard, if set, is told of each event before the router is; it must not wait.
	OnUpdate func(c endpoints.Update)
	// Event, if set, is told the number of each event and its purges once they count; it must not wait.
	OnEvent func(no int64, purges []dispatch.Purge)
	// Listed, if set, is called once a whole list has been told.
	OnFirstList func()
	// Spread, if set, draws a pause by chance up to the one given.
	Jitter         func(time.Duration) time.Duration
	env            env.Environment
	rejectedEvent  int64 // number of the event that could not be used when it came last
	mu             sync.Mutex
	addr           string
	silentSessions int           // sessions in a row that fell silent without a line
	session        *env.Lifetime // of the session under way
	moved          bool          // it is to be asked at once
	wakeup         env.Notifier  // rung when moved is set, and at the end
}

// NewWatch makes the follower of the bulletin at an address.
func NewWatch(g env.Environment, addr string, terms *settings.Settings, router *dispatch.Dispatcher, caches *cacheregistry.Registry,
	purges *purgelog.Log) *Watch {
	return &Watch{env: g, addr: addr, Settings: terms, Dispatcher: router, Registry: caches, Purges: purges, wakeup: g.NewNotifier()}
}

// SetAddr follows the bulletin at a new address from now on, after the last event held. At the old address it asks
// anew: what was told meanwhile comes at once.
func (b *Watch) SetAddr(addr string) {
	b.mu.Lock()
	its := b.session
	b.addr, b.moved = addr, true
	b.mu.Unlock()
	b.wakeup.Notify()
	if its != nil {
		its.End()
	}
}

// beginSession is the address to ask now, with the life of a session there, which Move ends.
func (b *Watch) beginSession(life *env.Lifetime) (string, *env.Lifetime) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.moved, b.session = false, env.NewLifetime(life) // this session is at the new address
	return b.addr, b.session
}

// waitRetry waits before the bulletin is asked again; true if it has moved meanwhile.
func (b *Watch) waitRetry(life *env.Lifetime, span time.Duration) bool {
	for till := b.env.Now().Add(span); !life.Ended(); {
		b.mu.Lock()
		moved := b.moved
		b.mu.Unlock()
		if moved || !b.wakeup.Wait(max(0, till.Sub(b.env.Now()))) {
			return moved
		}
	}
	return false
}

// errAnew tells that the bulletin counts from the start again.
var errRenumbered = errors.New("the bulletin's numbers began anew")

// errGap tells that events are missing; a new connection brings them.
var errGap = errors.New("events are missing")

type event struct {
	Number    *int64 `json:"no"`
	Endpoints *struct {
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
	Purge *struct {
		Item   string  `json:"item"`
		Lot    *int    `json:"lot"`
		Issued float64 `json:"issued"`
	} `json:"recall"`
}

// LoadKnown takes the events of the start.
func (b *Watch) LoadKnown(text json.RawMessage) error {
	var known struct {
		No    int64             `json:"no"`
		Items []json.RawMessage `json:"items"`
	}
	if err := json.Unmarshal(text, &known); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	for _, item := range known.Items {
		if err := b.handleLine(item, true); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	b.LastEvent = known.No
	return nil
}

// handleLine takes one line: an event, or only the last number. Nothing of a line that cannot be used is kept.
func (b *Watch) handleLine(line []byte, known bool) error {
	if n, err := strconv.ParseInt(string(line), 10, 64); err == nil {
		if n > b.LastEvent {
			return fmt.Errorf("%w: %d told, %d held", errGap, n, b.LastEvent)
		}
		if b.Reconciler.ObserveEventNumber(n, b.LastEvent) {
			was := b.LastEvent
			b.LastEvent = 0
			return fmt.Errorf("%w: %d told, %d held", errRenumbered, n, was)
		}
		return nil
	}
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		return err
	}
	if e.Number == nil {
		return errors.New("an event without a number")
	}
	if e.Endpoints == nil && e.Purge == nil {
		if *e.Number > b.LastEvent && !known {
			return fmt.Errorf("%w: %d told, %d held", errGap, *e.Number, b.LastEvent)
		}
		return nil
	}
	switch {
	case known:
	case *e.Number <= b.LastEvent:
		return nil // held already
	case *e.Number != b.LastEvent+1:
		return fmt.Errorf("%w: %d follows %d", errGap, *e.Number, b.LastEvent)
	}
	rows, gone, err := b.parseEndpoints(&e)
	if err != nil {
		return err
	}
	var purges []dispatch.Purge
	if r := e.Purge; r != nil {
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
	whole := e.Endpoints != nil && e.Endpoints.Complete
	if b.OnUpdate != nil {
		b.OnUpdate(b.endpointUpdate(&e))
	}
	if e.Endpoints != nil {
		ids := make([]string, len(rows))
		for i, m := range e.Endpoints.Members {
			ids[i] = m.ID
		}
		b.Reconciler.KeepDraining(*e.Number, whole, ids, rows)
	}
	b.Dispatcher.Tick(rows, whole, purges)
	if e.Endpoints != nil && e.Endpoints.Complete {
		named := map[string]bool{}
		for _, m := range e.Endpoints.Members {
			named[m.ID] = true
		}
		b.Registry.Retain(named)
	}
	for _, id := range gone {
		b.Registry.Remove(id)
	}
	b.LastEvent = *e.Number
	if b.OnEvent != nil {
		b.OnEvent(b.LastEvent, purges)
	}
	if b.Reconciler != nil {
		b.Reconciler.Apply(b.endpointUpdate(&e))
	}
	if whole && b.OnFirstList != nil && !known {
		b.OnFirstList()
		b.OnFirstList = nil
	}
	return nil
}

// endpointUpdate is an event as the list keeps it.
func (b *Watch) endpointUpdate(e *event) endpoints.Update {
	c := endpoints.Update{LastEvent: b.LastEvent, DiscoveryAddr: b.currentAddr()}
	if r := e.Purge; r != nil {
		p := endpoints.Purge{Object: r.Item, IssuedAt: int64(r.Issued), ReceivedAt: b.env.Now().UnixMilli()}
		if r.Lot != nil {
			p.Group = *r.Lot
		}
		c.Purges = append(c.Purges, p)
	}
	if e.Endpoints == nil {
		return c
	}
	c.Complete = e.Endpoints.Complete
	for _, m := range e.Endpoints.Members {
		phase := map[string]endpoints.Phase{"draining": endpoints.Draining, "removed": endpoints.Removed}[m.Phase]
		c.Endpoints = append(c.Endpoints, endpoints.Endpoint{ID: m.ID, Addr: m.HostPort, Zone: m.Locality, MachineType: m.Flavor, Cell: m.Cell, Size: m.Size,
			StartedAt: int64(m.UpSince), Phase: phase})
	}
	return c
}

func (b *Watch) currentAddr() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addr
}

// parseEndpoints reads a roster; all of it must be usable before any of it counts.
func (b *Watch) parseEndpoints(e *event) (rows []policy.Endpoint, gone []string, err error) {
	if e.Endpoints == nil {
		return nil, nil, nil
	}
	for _, m := range e.Endpoints.Members {
		row := policy.Endpoint{Cell: m.Cell, Weight: m.Size, StartedAt: policy.Micros(m.UpSince * 1000),
			Zone: slices.Index(b.Settings.Zones, m.Locality), Kind: slices.Index(b.Settings.MachineTypes, m.Flavor)}
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
		if !upstream.IsName(m.ID) {
			return nil, nil, fmt.Errorf("member %q: the id cannot be used", m.ID)
		}
		if row.State != policy.Gone {
			if _, err := netip.ParseAddrPort(m.HostPort); err != nil || row.Zone < 0 || row.Kind < 0 {
				return nil, nil, fmt.Errorf("member %q: address, locality or flavor is unknown", m.ID)
			}
		}
		rows = append(rows, row)
	}
	for i, m := range e.Endpoints.Members {
		rows[i].Cache = b.Registry.Register(m.ID, m.HostPort).Policy
	}
	return rows, gone, nil
}

// Run keeps a connection to the bulletin until life ends.
func (b *Watch) Run(life *env.Lifetime) error {
	defer life.OnEnd(b.wakeup.Notify)()
	for pause := minRetryDelay; ; {
		began, last := b.env.Now(), b.LastEvent
		addr, its := b.beginSession(life)
		reason := b.runSession(its, addr)
		if its.Ended() && !life.Ended() {
			reason = "moved"
		}
		its.End()
		age := b.env.Now().Sub(began)
		b.env.Log().Info("bulletin_closed", "addr", addr, "reason", reason, "last", b.LastEvent, "age_ms", age.Milliseconds())
		if b.LastEvent > last || age > defaultSilenceTimeout {
			pause = minRetryDelay
		}
		span := pause
		if b.Jitter != nil {
			span = b.Jitter(pause)
		}
		moved := b.waitRetry(life, span)
		if life.Ended() {
			return nil
		}
		if pause = min(2*pause, maxRetryDelay); moved {
			pause = minRetryDelay
		}
	}
}

// silenceTimeout is how long a session may bring no whole line. An event counts as told while the watch is dead, and the time to heed it runs:
// where it is short the silence is noticed so soon that asking anew still fits into it, as far as lines that come every second allow
// that. Sessions that brought no line at all wait longer each time, so that a bulletin that is late is not asked without end.
func (b *Watch) silenceTimeout() time.Duration {
	if b.Registry.Len() == 0 {
		// Guards a start without a list against a discovery that is late with its first byte: nothing can drain yet, and a session ended
		// at silentAfter begins the same wait anew (2.5 s, 2.5 s, then 5 s).
		return maxSilenceTimeout
	}
	heed := time.Duration(b.Settings.DrainGrace) * time.Microsecond
	first := min(defaultSilenceTimeout, max(minSilenceTimeout, heed-resyncTime))
	for range min(max(0, b.silentSessions-1), 8) {
		first = min(2*first, maxSilenceTimeout)
	}
	return first
}

// runSession is one connection, from after the last event held up to its end.
func (b *Watch) runSession(life *env.Lifetime, addr string) (reason string) {
	conn, err := b.env.Dial(life, addr, dialTimeout)
	if err != nil {
		return "no_connection"
	}
	defer conn.Close()
	defer life.OnEnd(func() { conn.Close() })()
	silent := b.silenceTimeout()
	conn.SetDeadline(b.env.Now().Add(silent))
	if _, err := fmt.Fprintf(conn, "after %d\n", b.LastEvent); err != nil {
		return "write_failed"
	}
	var buf linebuffer.Buffer
	for {
		for {
			line, _, whole := bytes.Cut(buf.Bytes(), []byte("\n"))
			if !whole {
				break
			}
			if err := b.handleLine(bytes.TrimSpace(line), false); err != nil {
				b.env.Log().Warn("bulletin_fault", "text", err.Error(), "last", b.LastEvent)
				if errors.Is(err, errGap) {
					return "gap"
				}
				if errors.Is(err, errRenumbered) {
					return "anew"
				}
				if b.rejectedEvent != b.LastEvent+1 {
					b.rejectedEvent = b.LastEvent + 1
					return "bad_line"
				}
				b.LastEvent++ // it came twice and cannot be used: the events after it count more than it
			}
			buf.Discard(len(line) + 1)
			if b.silentSessions > 0 {
				b.silentSessions = 0
				silent = b.silenceTimeout()
			}
			conn.SetReadDeadline(b.env.Now().Add(silent))
		}
		if err := buf.Fill(conn, maxEventBytes); err != nil {
			switch {
			case life.Ended():
				return "stopping"
			case errors.Is(err, linebuffer.ErrTooLong):
				return "bad_line"
			}
			var late net.Error
			if errors.As(err, &late) && late.Timeout() {
				b.silentSessions++
				return "silent"
			}
			return "closed_by_bulletin"
		}
	}
}
