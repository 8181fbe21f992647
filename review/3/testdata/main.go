// Command testdata is the test of case 3: the gateway is restarted as planned while a proxy's lookups are on their way.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"foldslip/review/testdata/proxy"
	"foldslip/review/testdata/stand"
)

const (
	restarts    = 5
	served      = 3 * time.Second        // before each restart
	goesOn      = 550 * time.Millisecond // requests after SIGTERM; the page says up to 0.6 s
	killAfter   = 3700 * time.Millisecond
	perSecond   = 60
	turnedAway  = 0.25                   // of the first attempts
	againWithin = 300 * time.Millisecond // within which a proxy has to ask again
	allow       = 2 * time.Second
)

func main() { stand.Case(run) }

func run(root string, trouble bool, record *stand.Record) (int, error) {
	begin := time.Now()
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	seen := map[string]bool{}
	w, err := stand.Open(root, stand.Katalog(), 4, 1, func(c *stand.Cache, do *stand.Do) stand.Answer {
		mu.Lock()
		defer mu.Unlock()
		isFirst := !seen[do.ID]
		seen[do.ID] = true
		if isFirst && random.Float64() < turnedAway { // the parent has no room for the fill
			waited := 100 + random.IntN(200)
			return stand.Answer{After: time.Duration(waited) * time.Millisecond, Word: "SHED", Fields: fmt.Sprintf("note=src_refused,waited=%d", waited)}
		}
		a := stand.Hit(do, "v1", begin, 2000, "filled")
		a.After = 60 * time.Millisecond
		return a
	})
	if err != nil {
		return 0, err
	}
	defer w.Close()
	g := w.Gateways[0]
	addr, err := proxy.Configure(w, g)
	if err != nil {
		return 0, err
	}
	accepted, lost := 0, 0
	for n := range restarts {
		if err := w.Start(); err != nil {
			return 0, err
		}
		a, l, err := serve(w, g, addr, n, trouble, record)
		if err != nil {
			return 0, err
		}
		accepted += a
		lost += l
	}
	record.Say("%d restarts, %d lookups accepted, %d of them without a final answer", restarts, accepted, lost)
	switch {
	case accepted < restarts*perSecond:
		return 0, fmt.Errorf("too little was accepted")
	case lost > 0:
		return stand.Broken, nil
	}
	return stand.Held, nil
}

// serve sends requests, tells the gateway to end if there is trouble, and returns how many lookups the gateway accepted
// and how many of these got no final answer.
func serve(w *stand.World, g *stand.Gateway, addr string, round int, trouble bool, record *stand.Record) (accepted, lost int, err error) {
	p, err := proxy.New(addr, record)
	if err != nil {
		return 0, 0, err
	}
	defer p.Close()
	begin := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var toldAt time.Time
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for n := 0; time.Since(begin) < served+goesOn; n++ {
		<-tick.C
		if trouble && toldAt.IsZero() && time.Since(begin) >= served {
			toldAt = time.Now()
			record.Line("round %d: SIGTERM", round)
			g.Signal(syscall.SIGTERM)
		}
		r := &stand.Request{ID: stand.NewID(), Kind: "video-parca", Object: fmt.Sprintf("%016x", n%60), Part: 1, Group: 3, Allow: allow, KB: 1500}
		wg.Add(1)
		go func() {
			defer wg.Done()
			isAccepted, isAnswered := ask(p, r, record)
			mu.Lock()
			defer mu.Unlock()
			if isAccepted {
				accepted++
				if !isAnswered {
					lost++
				}
			}
		}()
	}
	wg.Wait()
	switch {
	case !trouble && g.HasEnded():
		return 0, 0, fmt.Errorf("the gateway ended: %s", w.Log(g))
	case !trouble:
		g.Signal(syscall.SIGKILL) // all is answered
		g.Wait(time.Second)
	case !g.Wait(max(0, killAfter-time.Since(toldAt))):
		record.Line("round %d: SIGKILL", round)
		g.Signal(syscall.SIGKILL)
		g.Wait(time.Second)
	}
	return accepted, lost, nil
}

// ask asks for one lookup as the contract says. Where the processor cannot be reached for a further attempt, it goes on
// trying for as long as the processor waits. A lookup is accepted once its first decision has come.
func ask(p *proxy.Proxy, r *stand.Request, record *stand.Record) (isAccepted, isAnswered bool) {
	at := time.Now()
	for firstFailure := (time.Time{}); ; time.Sleep(20 * time.Millisecond) {
		result, err := p.Ask(r)
		isAccepted = isAccepted || len(result.Attempts) > 0
		if err == nil {
			record.Line("lookup %s: final answer %s, %d %s", r.ID, result.Kind, result.Status, result.Text)
			return isAccepted, true
		}
		if firstFailure.IsZero() {
			firstFailure = time.Now()
			record.Line("lookup %s: asked %d ms ago, %d attempts made, told to ask again, and not answered: %v", r.ID,
				time.Since(at).Milliseconds(), len(result.Attempts), err)
		}
		if !isAccepted || time.Since(firstFailure) > againWithin {
			record.Line("lookup %s: no final answer", r.ID)
			return isAccepted, false
		}
	}
}
