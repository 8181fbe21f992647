// Package simadapter puts routers on the simulator's wire: it decodes events, turns ids into pointers, calls the
// router of the gateway concerned and encodes what it decides. It decides nothing itself.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"foldslip/internal/policy"
	"foldslip/internal/settings"
)

// gateway is one router and the ids that its door knows. Gateways share nothing.
type gateway struct {
	name      string
	kindCount int // object kinds in its charter
	router    *policy.Router
	caches    map[string]*policy.Cache
	lookups   map[string]*openLookup
	out       *bufio.Writer
}

// openLookup is a lookup and how many of its sends still owe an ending.
type openLookup struct {
	lookup       *policy.Lookup
	openAttempts int
}

type server struct {
	in       *bufio.Reader
	out      *bufio.Writer
	line     int
	now      policy.Micros
	gateways map[string]*gateway
}

// Serve answers batches until the input ends; an error names the line and field that could not be read.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<20),
		gateways: map[string]*gateway{}}
	for {
		if err := s.serveBatch(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("line %d: %w", s.line, err)
		}
		s.out.WriteString("YIELD\n")
		if err := s.out.Flush(); err != nil {
			return err
		}
	}
}

// readLine reads a line; the end of input within a batch is a fault of the batch.
func (s *server) readLine() (string, error) {
	text, err := s.in.ReadString('\n')
	if err == io.EOF && text == "" {
		return "", io.EOF
	}
	s.line++
	if err == io.EOF {
		return "", errors.New("the line is cut short, expected a line end")
	}
	return strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r"), err
}

func (s *server) readBatchLine() (string, error) {
	text, err := s.readLine()
	if err == io.EOF {
		return "", errors.New("input ends within a batch, expected FLUSH")
	}
	return text, err
}

func (s *server) serveBatch() error {
	text, err := s.readLine()
	if err != nil {
		return err
	}
	f := splitLine(text)
	if f.message != "MARK" {
		return fmt.Errorf("message %q, expected MARK", f.message)
	}
	s.now = f.micros("clock")
	if err := f.finish(); err != nil {
		return err
	}
	for {
		text, err := s.readBatchLine()
		if err != nil {
			return err
		}
		if text == "FLUSH" {
			return nil
		}
		if err := s.handleEvent(splitLine(text)); err != nil {
			return err
		}
	}
}

// handleEvent decodes one event and hands it to its router.
func (s *server) handleEvent(f *fields) error {
	name := f.text("gateway")
	switch f.message {
	case "UP":
		return s.startGateway(name, f)
	case "STOP":
		delete(s.gateways, name)
		return f.finish()
	}
	g := s.gateways[name]
	if g == nil && f.err == nil {
		f.err = fmt.Errorf("%s: gateway %q has not been started", f.message, name)
	}
	if f.err != nil {
		return f.err
	}
	call, err := s.decodeEvent(g, f)
	if err != nil || call == nil {
		return err
	}
	g.recoverFault(call)
	return nil
}

// decodeEvent reads an event's fields and returns the call that they make.
func (s *server) decodeEvent(g *gateway, f *fields) (func(), error) {
	now := s.now
	switch f.message {
	case "VIEW":
		f.int("generation")
		kind, rows := f.updateKind("kind"), f.int("rows_in")
		if err := f.finish(); err != nil {
			return nil, err
		}
		list, err := s.readEndpoints(g, rows)
		return func() { g.router.UpdateEndpoints(now, kind, list) }, err
	case "ASK":
		id, write := f.text("job"), f.bool("mutates")
		group, deadline := f.int("set_no"), f.micros("deadline")
		kind := f.int("profile")
		repeat := f.bool("repeat")
		object, kb := f.optional("resource"), f.float("kb")
		f.int("tenant")
		part := f.int("piece")
		if f.err == nil && kind >= g.kindCount {
			f.err = fmt.Errorf("ASK: profile %d, expected a place in classes", kind)
		}
		if f.err == nil && g.lookups[id] != nil {
			f.err = fmt.Errorf("ASK: job %q is known already, expected a new one", id)
		}
		return func() {
			p := &openLookup{}
			g.lookups[id] = p
			p.lookup = g.router.StartLookup(now, id, kind, object, part, group, kb, deadline, write, repeat)
			g.forget(id, p)
		}, f.finish()
	case "RESULT":
		id := f.text("job")
		how, remark := f.outcome("result"), f.detail("remark")
		took, n := f.micros("took"), f.int("n")
		waited, closed := f.micros("source_wait"), f.bool("terminal")
		f.text("cache")
		f.floats("usage")
		p := g.lookups[id]
		if p == nil {
			return nil, f.finish()
		}
		return func() {
			p.openAttempts--
			g.router.AttemptEnded(now, p.lookup, n, how, remark, took, waited, closed)
			g.forget(id, p)
		}, f.finish()
	case "ABANDONED":
		id := f.text("job")
		p := g.lookups[id]
		if p == nil {
			return nil, f.finish()
		}
		return func() {
			g.router.ClientGone(now, p.lookup)
			g.forget(id, p)
		}, f.finish()
	case "SUPERSEDED":
		object, group, age := f.optional("resource"), f.int("group"), f.micros("age")
		return func() { g.router.ApplyPurge(now, object, group, age) }, f.finish()
	case "CHECK_RESULT":
		f.micros("took")
		f.text("cache")
		f.outcome("result")
		f.floats("usage")
		return nil, f.finish() // the module sends no probes
	case "ELAPSED":
		token := f.micros("mark")
		return func() { g.router.TimerFired(now, token) }, f.finish()
	case "MAIL", "UNDER_WAY":
		return nil, nil // routers tell each other nothing, and no deployment streams
	}
	return nil, fmt.Errorf("message %q, expected an event", f.message)
}

// readEndpoints reads the entries of a list.
func (s *server) readEndpoints(g *gateway, n int) ([]policy.Endpoint, error) {
	var list []policy.Endpoint
	for range n {
		text, err := s.readBatchLine()
		if err != nil {
			return nil, err
		}
		f := splitLine(text)
		if f.message != "CACHE" {
			return nil, fmt.Errorf("message %q, expected CACHE", f.message)
		}
		name := f.text("cache")
		row := policy.Endpoint{Zone: f.int("dc"), Kind: f.int("sku"), Cell: f.int("cluster"), State: f.state("state"),
			Weight: f.float("power_hint"), StartedAt: f.micros("came_up")}
		if err := f.finish(); err != nil {
			return nil, err
		}
		if g.caches[name] == nil {
			g.caches[name] = policy.NewCache(name)
		}
		row.Cache = g.caches[name]
		list = append(list, row)
	}
	return list, nil
}

func (s *server) startGateway(name string, f *fields) error {
	seed, info := f.seed("entropy"), f.rest("boot_info")
	if f.err != nil {
		return f.err
	}
	terms, err := settings.Parse([]byte(info))
	if err != nil {
		return fmt.Errorf("UP: boot_info: %w", err)
	}
	g := &gateway{name: name, kindCount: len(terms.Kinds), out: s.out,
		caches: map[string]*policy.Cache{}, lookups: map[string]*openLookup{}}
	s.gateways[name] = g
	g.recoverFault(func() { g.router = policy.NewRouter(s.now, seed, terms.Router, g) })
	return nil
}

// recoverFault turns a panic of the module into the gateway's INTERNAL_ERROR.
func (g *gateway) recoverFault(call func()) {
	defer func() {
		if p := recover(); p != nil {
			g.writeAction("INTERNAL_ERROR", oneLine(fmt.Sprint(p)))
		}
	}()
	call()
}

// forget forgets a lookup that is over and owes no more endings.
func (g *gateway) forget(id string, p *openLookup) {
	if p.lookup.Ended() && p.openAttempts <= 0 {
		delete(g.lookups, id)
	}
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
