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
	name    string
	kinds   int // object kinds in its charter
	router  *policy.Router
	caches  map[string]*policy.Cache
	lookups map[string]*pending
	out     *bufio.Writer
}

// pending is a lookup and how many of its sends still owe an ending.
type pending struct {
	lk  *policy.Lookup
	out int
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
		if err := s.batch(); err != nil {
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

// next reads a line; the end of input within a batch is a fault of the batch.
func (s *server) next() (string, error) {
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

func (s *server) within() (string, error) {
	text, err := s.next()
	if err == io.EOF {
		return "", errors.New("input ends within a batch, expected FLUSH")
	}
	return text, err
}

func (s *server) batch() error {
	text, err := s.next()
	if err != nil {
		return err
	}
	f := split(text)
	if f.word != "MARK" {
		return fmt.Errorf("message %q, expected MARK", f.word)
	}
	s.now = f.micros("clock")
	if err := f.done(); err != nil {
		return err
	}
	for {
		text, err := s.within()
		if err != nil {
			return err
		}
		if text == "FLUSH" {
			return nil
		}
		if err := s.event(split(text)); err != nil {
			return err
		}
	}
}

// event decodes one event and hands it to its router.
func (s *server) event(f *fields) error {
	name := f.text("gateway")
	switch f.word {
	case "UP":
		return s.up(name, f)
	case "STOP":
		delete(s.gateways, name)
		return f.done()
	}
	g := s.gateways[name]
	if g == nil && f.err == nil {
		f.err = fmt.Errorf("%s: gateway %q has not been started", f.word, name)
	}
	if f.err != nil {
		return f.err
	}
	call, err := s.decode(g, f)
	if err != nil || call == nil {
		return err
	}
	g.guard(call)
	return nil
}

// decode reads an event's fields and returns the call that they make.
func (s *server) decode(g *gateway, f *fields) (func(), error) {
	now := s.now
	switch f.word {
	case "VIEW":
		f.int("generation")
		kind, rows := f.listKind("kind"), f.int("rows_in")
		if err := f.done(); err != nil {
			return nil, err
		}
		list, err := s.rows(g, rows)
		return func() { g.router.Listed(now, kind, list) }, err
	case "ASK":
		id, write := f.text("job"), f.bool("mutates")
		group, deadline := f.int("set_no"), f.micros("deadline")
		kind := f.int("profile")
		repeat := f.bool("repeat")
		object, kb := f.optional("resource"), f.float("kb")
		f.int("tenant")
		part := f.int("piece")
		if f.err == nil && kind >= g.kinds {
			f.err = fmt.Errorf("ASK: profile %d, expected a place in classes", kind)
		}
		if f.err == nil && g.lookups[id] != nil {
			f.err = fmt.Errorf("ASK: job %q is known already, expected a new one", id)
		}
		return func() {
			p := &pending{}
			g.lookups[id] = p
			p.lk = g.router.Arrive(now, id, kind, object, part, group, kb, deadline, write, repeat)
			g.drop(id, p)
		}, f.done()
	case "RESULT":
		id := f.text("job")
		how, remark := f.ending("result"), f.remark("remark")
		took, n := f.micros("took"), f.int("n")
		waited, closed := f.micros("source_wait"), f.bool("terminal")
		f.text("cache")
		f.floats("usage")
		p := g.lookups[id]
		if p == nil {
			return nil, f.done()
		}
		return func() {
			p.out--
			g.router.Ended(now, p.lk, n, how, remark, took, waited, closed)
			g.drop(id, p)
		}, f.done()
	case "ABANDONED":
		id := f.text("job")
		p := g.lookups[id]
		if p == nil {
			return nil, f.done()
		}
		return func() {
			g.router.Departed(now, p.lk)
			g.drop(id, p)
		}, f.done()
	case "SUPERSEDED":
		object, group, age := f.optional("resource"), f.int("group"), f.micros("age")
		return func() { g.router.Purged(now, object, group, age) }, f.done()
	case "CHECK_RESULT":
		f.micros("took")
		f.text("cache")
		f.ending("result")
		f.floats("usage")
		return nil, f.done() // the module sends no probes
	case "ELAPSED":
		token := f.micros("mark")
		return func() { g.router.Woken(now, token) }, f.done()
	case "MAIL", "UNDER_WAY":
		return nil, nil // routers tell each other nothing, and no deployment streams
	}
	return nil, fmt.Errorf("message %q, expected an event", f.word)
}

// rows reads the entries of a list.
func (s *server) rows(g *gateway, n int) ([]policy.Row, error) {
	var list []policy.Row
	for range n {
		text, err := s.within()
		if err != nil {
			return nil, err
		}
		f := split(text)
		if f.word != "CACHE" {
			return nil, fmt.Errorf("message %q, expected CACHE", f.word)
		}
		name := f.text("cache")
		row := policy.Row{Zone: f.int("dc"), Kind: f.int("sku"), Cell: f.int("cluster"), State: f.state("state"),
			Weight: f.float("power_hint"), Started: f.micros("came_up")}
		if err := f.done(); err != nil {
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

func (s *server) up(name string, f *fields) error {
	seed, info := f.seed("entropy"), f.rest("boot_info")
	if f.err != nil {
		return f.err
	}
	terms, err := settings.Read([]byte(info))
	if err != nil {
		return fmt.Errorf("UP: boot_info: %w", err)
	}
	g := &gateway{name: name, kinds: len(terms.Kinds), out: s.out,
		caches: map[string]*policy.Cache{}, lookups: map[string]*pending{}}
	s.gateways[name] = g
	g.guard(func() { g.router = policy.Start(s.now, seed, terms.Router, g) })
	return nil
}

// guard turns a panic of the module into the gateway's INTERNAL_ERROR.
func (g *gateway) guard(call func()) {
	defer func() {
		if p := recover(); p != nil {
			g.say("INTERNAL_ERROR", oneLine(fmt.Sprint(p)))
		}
	}()
	call()
}

// drop forgets a lookup that is over and owes no more endings.
func (g *gateway) drop(id string, p *pending) {
	if p.lk.Over() && p.out <= 0 {
		delete(g.lookups, id)
	}
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
