// Command testdata is the test of case 2: caches reset connections under requests, and a proxy asks again in time.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"foldslip/review/testdata/proxy"
	"foldslip/review/testdata/stand"
)

const (
	length     = 30 * time.Second
	perSecond  = 40
	window     = time.Second // for which the caches drop repeats of a lookup that has run
	slack      = 50 * time.Millisecond
	resets     = 0.2 // of the first attempts
	comesAgain = 200 * time.Millisecond
	allow      = 2500 * time.Millisecond
)

func main() { stand.Case(run) }

// group is what the caches remember together of deduplicated lookups.
type group struct {
	mu      sync.Mutex
	random  *rand.Rand
	trouble bool
	record  *stand.Record
	firstAt map[string]time.Time // when an attempt that may have run first reached a cache
	ranAt   map[string]time.Time // when the lookup last had an effect
	effects map[string]int
	late    map[string]time.Duration // latest attempt past the window, counted from the first one
}

func (g *group) answer(c *stand.Cache, do *stand.Do, born time.Time) stand.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	firstAt, isRepeat := g.firstAt[do.ID]
	if !isRepeat {
		g.firstAt[do.ID] = now
	} else if age := now.Sub(firstAt); age > window+slack {
		g.late[do.ID] = age
	}
	if ranAt, ok := g.ranAt[do.ID]; ok && now.Sub(ranAt) <= window {
		g.record.Line("lookup %s at %s: a repeat, dropped; %d ms after the first attempt", do.ID, c.ID, now.Sub(firstAt).Milliseconds())
	} else {
		g.ranAt[do.ID] = now
		g.effects[do.ID]++
		g.record.Line("lookup %s at %s: runs, effect %d; %d ms after the first attempt", do.ID, c.ID, g.effects[do.ID],
			now.Sub(g.firstAt[do.ID]).Milliseconds())
	}
	if !isRepeat && g.random.Float64() < resets && g.trouble {
		after := 500 + g.random.IntN(500)
		return stand.Answer{After: time.Duration(after) * time.Millisecond, Reset: true}
	}
	a := stand.Hit(do, "v1", born, 2000, "filled")
	a.After = 60 * time.Millisecond
	return a
}

func run(root string, trouble bool, record *stand.Record) (int, error) {
	site := stand.Katalog()
	site.Kinds[0].Effect = "deduplicated" // video-parca; the panel brink gives classes other effects and shorter windows
	site.Kinds[0].Window = window
	begin := time.Now()
	caches := &group{random: rand.New(rand.NewPCG(1, 2)), trouble: trouble, record: record, firstAt: map[string]time.Time{},
		ranAt: map[string]time.Time{}, effects: map[string]int{}, late: map[string]time.Duration{}}
	w, err := stand.Open(root, site, 4, 1, func(c *stand.Cache, do *stand.Do) stand.Answer { return caches.answer(c, do, begin) })
	if err != nil {
		return 0, err
	}
	defer w.Close()
	g := w.Gateways[0]
	addr, err := proxy.Configure(w, g)
	if err != nil {
		return 0, err
	}
	if err := w.Start(); err != nil {
		return 0, err
	}
	p, err := proxy.New(addr, record)
	if err != nil {
		return 0, err
	}
	defer p.Close()
	p.ComesAgainAfter = comesAgain

	var mu sync.Mutex
	asked, satisfied, again := 0, 0, 0
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for n := 0; time.Since(begin) < length; n++ {
		<-tick.C
		asked++
		r := &stand.Request{ID: stand.NewID(), Kind: "video-parca", Object: fmt.Sprintf("%016x", n%60), Part: 1, Group: 3, Allow: allow, KB: 200}
		wg.Add(1)
		go func() {
			defer wg.Done()
			result, err := p.Ask(r)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				record.Line("lookup %s: %v", r.ID, err)
				return
			}
			record.Line("lookup %s: final answer %s, %d, after %d attempts", r.ID, result.Kind, result.Status, len(result.Attempts))
			if result.Status == 200 {
				satisfied++
			}
			if len(result.Attempts) > 1 {
				again++
			}
		}()
	}
	wg.Wait()
	if g.HasEnded() {
		return 0, fmt.Errorf("the gateway ended: %s", w.Log(g))
	}
	caches.mu.Lock()
	defer caches.mu.Unlock()
	twice := 0
	for id, age := range caches.late {
		record.Say("deduplicated lookup %s: sent again %d ms after the attempt that may have run, window %d ms; effects: %d", id, age.Milliseconds(),
			window.Milliseconds(), caches.effects[id])
		if caches.effects[id] > 1 {
			twice++
		}
	}
	record.Say("%d lookups, %d satisfied, %d with further attempts; %d sent again past the window, %d of them had their effect twice", asked, satisfied,
		again, len(caches.late), twice)
	switch {
	case satisfied < asked/2:
		return 0, fmt.Errorf("too little was satisfied")
	case len(caches.late) > 0:
		return stand.Broken, nil
	}
	return stand.Held, nil
}
