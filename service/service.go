// Package service starts the gateway and stops it.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"foldslip/charter"
	"foldslip/facade"
	"foldslip/memory"
	"foldslip/wire"
)

const (
	// At a planned restart connections keep coming for 0.4 s, requests on open ones for a further 0.2 s.
	acceptOn   = 650 * time.Millisecond
	stopBefore = 300 * time.Millisecond // before the kill, which comes after the longest deadline and 0.7 s
	leastKill  = 3 * time.Second
	purgeSlack = 5 * time.Second

	mostLookups = 640 // open at once, and fewer on little memory:
	lookupsAMB  = 8   // each takes some 20 KB with its connection, stacks and send, the answer's bytes not counted
	bodiesPart  = 0.4 // of the memory limit, for the answers' bytes
	memoryPart  = 0.7 // of the limit, for the runtime's own
	mostClients = 4096
	clientsPart = 2 // the front takes one over this of the descriptors; clients hold up to a third
)

// start is what the gateway is told.
type start struct {
	Name, Listen, Seed string
	Limits             struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	Bulletin string
	Known    json.RawMessage
	Settings json.RawMessage
}

func readStart(path, name, listen string) (*start, *charter.Terms, uint64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, 0, err
	}
	var s start
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	if name != "" {
		s.Name = name
	}
	if listen != "" {
		s.Listen = listen
	}
	if s.Listen == "" || s.Bulletin == "" || len(s.Known) == 0 {
		return nil, nil, 0, fmt.Errorf("%s: listen, bulletin or known is missing", path)
	}
	seed, err := strconv.ParseUint(s.Seed, 16, 64)
	if err != nil {
		return nil, nil, 0, fmt.Errorf("%s: seed is not hex digits", path)
	}
	terms, err := charter.Read(s.Settings)
	if err != nil {
		return nil, nil, 0, fmt.Errorf("%s: settings: %w", path, err)
	}
	return &s, terms, seed, nil
}

// readAll reads what the gateway is told, as its variables say.
func readAll() (*start, *charter.Terms, uint64, error) {
	return readStart(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_NAME"), os.Getenv("ROUTER_LISTEN"))
}

// Run runs a gateway until it is told to stop; every lookup taken by then is answered.
func Run(ctx context.Context) error {
	hup := make(chan os.Signal, 1) // one that waits stands for all since
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	s, terms, seed, err := readAll()
	if err != nil {
		return err
	}
	if s.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(s.Limits.Cores+0.5)))
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.Limits.MemoryMB * memoryPart * (1 << 20)))
	}
	term, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	life, end := context.WithCancel(ctx)
	defer end()

	caches := &memory.Caches{}
	purges := &memory.Purges{Keep: time.Duration(terms.Router.PurgeDone)*time.Microsecond + purgeSlack}
	router := facade.Start(seed, terms.Router)
	bulletin := wire.NewBulletin(s.Bulletin, terms, router, caches, purges)
	if err := bulletin.Known(s.Known); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	sockets := uint64(max(s.Limits.Sockets, 0))
	var own syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own) == nil && (sockets == 0 || own.Cur < sockets) {
		sockets = own.Cur // fewer than told: clients must not take what the caches need
	}
	most := int(min(max(1, sockets/clientsPart), mostClients))
	lookups, bytes := mostLookups, int64(mostLookups*wire.MostObject)
	if s.Limits.MemoryMB > 0 {
		lookups = min(lookups, max(1, int(s.Limits.MemoryMB*lookupsAMB)))
		bytes = int64(s.Limits.MemoryMB * bodiesPart * (1 << 20))
	}
	links := wire.NewLinks(life, terms, router, caches, purges)
	front := wire.NewFront(terms, router, links, memory.NewRoom(lookups, bytes), most)
	log.Printf("event=started name=%s listen=%s bulletin=%s last=%d", s.Name, s.Listen, s.Bulletin, bulletin.Last)

	group, life := errgroup.WithContext(life)
	group.Go(func() error { return bulletin.Follow(life) })
	group.Go(func() error { return tick(life, router) })
	group.Go(func() error { return reread(life, hup, s, bulletin) })
	group.Go(func() error { return front.Accept(life, listener) })
	front.Ready()
	group.Go(func() error {
		defer end()
		select {
		case <-term.Done():
		case <-life.Done():
			return errors.New("a part of the gateway ended")
		}
		return drain(terms, router, front, listener)
	})
	err = group.Wait()
	links.Wait()
	log.Printf("event=stopped name=%s open=%d", s.Name, router.Open())
	return err
}

// reread reads the configuration anew at each SIGHUP. The bulletin moves at once and nothing else is touched; what
// is told of the rest counts from the next start. A file that cannot be used leaves all as it is.
func reread(ctx context.Context, hup <-chan os.Signal, was *start, bulletin *wire.Bulletin) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
		}
		now, _, _, err := readAll()
		if err != nil {
			log.Printf("event=reread_failed text=%q", err)
			continue
		}
		rest := now.Limits != was.Limits || now.Listen != was.Listen || !bytes.Equal(now.Settings, was.Settings)
		log.Printf("event=reread bulletin=%s restart_wanted=%v", now.Bulletin, rest)
		bulletin.Move(now.Bulletin)
	}
}

// drain stops the gateway as the platform stops it.
func drain(terms *charter.Terms, router *facade.Facade, front *wire.Front, listener net.Listener) error {
	kill := leastKill
	for _, k := range terms.Router.Kinds {
		kill = max(kill, time.Duration(k.GiveUp)*time.Microsecond)
	}
	cut := time.After(kill + 700*time.Millisecond - stopBefore)
	log.Printf("event=stopping")
	front.Unready()
	time.Sleep(acceptOn)
	listener.Close()
	front.Drain()
	done := make(chan struct{})
	go func() {
		front.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-cut:
		router.Stop()
		select {
		case <-done:
		case <-time.After(stopBefore / 2):
			front.Cut()
			<-done
		}
	}
	return nil
}

// tick brings the router its timers.
func tick(ctx context.Context, router *facade.Facade) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		t.Reset(max(router.Tick(nil, false, nil), time.Millisecond))
	}
}
