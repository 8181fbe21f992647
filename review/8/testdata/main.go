// Command case8 shows whether a gateway hears of a drain from a bulletin that is slow.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	toldAfter = 7 * time.Second                     // what the bulletin has to tell counts as told by then
	grace     = 2*time.Second + 50*time.Millisecond // of the settings, and the 50 ms of the protocol page
	slowBy    = 5500 * time.Millisecond             // what the bulletin writes arrives so much later
	slowFor   = 25 * time.Second                    // how long the bulletin is slow
)

// slowProxy passes connections on to the bulletin. While it is slow, what the bulletin writes arrives late.
type slowProxy struct {
	addr string
	mu   sync.Mutex
	by   time.Duration
}

func (p *slowProxy) set(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.by = by
}

func (p *slowProxy) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.by
}

func newSlowProxy(target string) *slowProxy {
	ln := listen()
	p := &slowProxy{addr: ln.Addr().String()}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.pass(conn, target)
		}
	}()
	return p
}

func (p *slowProxy) pass(conn net.Conn, target string) {
	defer conn.Close()
	to, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer to.Close()
	go func() {
		io.Copy(to, conn)
		to.Close()
	}()
	type piece struct {
		bytes []byte
		due   time.Time
	}
	pieces := make(chan piece, 1000)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 4096)
			n, err := to.Read(buffer)
			if err != nil {
				return
			}
			pieces <- piece{buffer[:n], time.Now().Add(p.delay())}
		}
	}()
	for next := range pieces {
		time.Sleep(time.Until(next.due))
		if _, err := conn.Write(next.bytes); err != nil {
			return
		}
	}
}

func main() {
	root, folder := os.Args[1], os.Args[2]
	record := openRecord(filepath.Join(folder, "record.txt"))
	dir, err := os.MkdirTemp("", "case8-")
	if err != nil {
		os.Exit(cantRun)
	}
	p := newPlatform(root, dir, record)
	hasTrouble := os.Getenv("TROUBLE") != "0"

	var mu sync.Mutex
	var toldAt time.Time // when the bulletin told that c1 drains; zero: not yet
	late := 0
	handle := func(r *cacheRequest) {
		mu.Lock()
		after := time.Duration(-1)
		if !toldAt.IsZero() {
			after = r.at.Sub(toldAt)
		}
		note := ""
		if r.server.id == "c1" && after > toldAfter+grace {
			late++
			note = fmt.Sprintf(" LATE: %.3f s after the bulletin told that c1 drains", after.Seconds())
		}
		mu.Unlock()
		record.log("%s: do %s k=%s%s", r.server.id, r.id, r.fields["k"], note)
		r.hit(time.Now().Add(-time.Minute), "hit", "object "+r.fields["k"])
	}
	c1, c2 := newCacheServer("c1", handle), newCacheServer("c2", handle)
	parent, origin := newCacheServer("p1", handle), newCacheServer("o1", handle)
	row := func(c *cacheServer, flavor, phase string) member {
		return member{ID: c.id, HostPort: c.addr, Locality: "kuzey", Flavor: flavor, Phase: phase, Size: 1}
	}
	news := newBulletin(record)
	news.restart(roster(true, row(c1, "edge", "up"), row(c2, "edge", "up"), row(parent, "parent", "up"), row(origin, "origin", "up")))
	proxy := newSlowProxy(news.addr)
	addr := freeAddr()
	p.start("n1", addr, "", gatewayConfig("n1", addr, proxy.addr, 1, []map[string]any{video(), photo()}, news.events))

	stop := make(chan struct{})
	var clients sync.WaitGroup
	counts := map[int]int{}
	clients.Add(1)
	go func() {
		defer clients.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				r := request{id: newID(), kind: "urun-gorsel", object: fmt.Sprintf("object%02d", n%40), allow: 2500 * time.Millisecond, group: n % 40, kb: 40}
				a, err := ask(addr, r)
				mu.Lock()
				counts[a.status]++
				mu.Unlock()
				record.log("client: %s k=%s: %d %v", r.id, r.object, a.status, err)
			}()
		}
	}()

	time.Sleep(3 * time.Second)
	if hasTrouble {
		record.say("the bulletin becomes slow, by %v", slowBy)
		proxy.set(slowBy)
	}
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	toldAt = time.Now()
	mu.Unlock()
	record.say("the bulletin tells that c1 drains")
	news.tell(roster(false, row(c1, "edge", "draining")))
	time.Sleep(slowFor)
	proxy.set(0)
	close(stop)
	clients.Wait()
	p.end()
	record.say("answers by status: %v", counts)
	if late > 0 {
		record.say("BROKEN: %d lookups were sent to c1 later than 9 s after the bulletin told that it drains", late)
		os.Exit(broken)
	}
	record.say("held: no lookup was sent to c1 later than 9 s after the bulletin told that it drains")
}
