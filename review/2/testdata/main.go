// Command testdata is the test of case 2: bad clients send hundreds of requests at once, and each again as soon as it is
// turned away. With the word flood it is the bad clients, as a process of their own.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"foldslip/review/testdata/stand"
)

const (
	usual    = 30 // usual clients, each with a connection of its own
	pause    = 150 * time.Millisecond
	length   = 30 * time.Second
	floodsAt = 5 * time.Second
	floodFor = 18 * time.Second

	bad       = 100 // bad clients, each with a connection of its own
	atOnce    = 300 // requests that a bad client has out
	badCores  = "GOMAXPROCS=2"
	slack     = 50 * time.Millisecond  // on every time limit
	lostAfter = 500 * time.Millisecond // past the lookup's time
	maxLag    = 200 * time.Millisecond // of this process, above which the run says nothing
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "flood" {
		flood(os.Args[2])
		return
	}
	stand.Case(run)
}

type result struct {
	took    time.Duration
	status  string
	isLost  bool
	inFlood bool
}

func run(root string, trouble bool, record *stand.Record) (int, error) {
	site := stand.Katalog()
	born := time.Now()
	w, err := stand.Open(root, site, 4, 1, func(c *stand.Cache, do *stand.Do) stand.Answer {
		a := stand.Hit(do, "v1", born, 2000, "hit")
		a.After = 40 * time.Millisecond
		return a
	})
	if err != nil {
		return 0, err
	}
	defer w.Close()
	if err := w.Start(); err != nil {
		return 0, err
	}
	g := w.Gateways[0]
	begin := time.Now()
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	for i := range usual {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * pause / usual)
			ask(g.Listen, &site, i, begin, func(r result) {
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			}, record)
		}()
	}
	lag := make(chan time.Duration, 1)
	go func() { lag <- watchLag(begin.Add(length)) }()
	if trouble {
		time.Sleep(time.Until(begin.Add(floodsAt)))
		cmd := exec.Command(os.Args[0], "flood", g.Listen)
		cmd.Env = append(os.Environ(), badCores)
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		record.Line("%d bad clients come", bad)
		out, err := cmd.CombinedOutput()
		if err != nil {
			return 0, fmt.Errorf("bad clients: %w", err)
		}
		record.Say("%s", strings.TrimSpace(string(out)))
	}
	wg.Wait()
	worstLag := <-lag
	if g.HasEnded() {
		return 0, fmt.Errorf("the gateway ended: %s", w.Log(g))
	}
	lost, lostInFlood, other := 0, 0, map[string]int{}
	var took []time.Duration
	for _, r := range results {
		took = append(took, r.took)
		other[r.status]++
		if r.isLost {
			lost++
			if r.inFlood {
				lostInFlood++
			}
		}
	}
	slices.Sort(took)
	record.Say("%d lookups of usual clients: %v; %d lost (%d of them amid the bad clients); median %d ms, longest %d ms; this process was late by %d ms at most",
		len(results), other, lost, lostInFlood, took[len(took)/2].Milliseconds(), took[len(took)-1].Milliseconds(), worstLag.Milliseconds())
	switch {
	case worstLag > maxLag:
		return 0, fmt.Errorf("the machine was too busy for the stand-ins")
	case other["200"] < len(results)/2:
		return 0, fmt.Errorf("too little was satisfied")
	case lost > 0:
		return stand.Broken, nil
	}
	return stand.Held, nil
}

// ask asks for lookups, one at a time, and reports each.
func ask(addr string, site *stand.Site, i int, begin time.Time, report func(result), record *stand.Record) {
	var conn *stand.Conn
	for n := 0; time.Since(begin) < length; n++ {
		if conn == nil {
			var err error
			if conn, err = stand.Dial(addr); err != nil {
				record.Line("client %d: cannot connect: %v", i, err)
				continue
			}
		}
		kind := site.Kinds[n%2]
		r := &stand.Request{ID: stand.NewID(), Kind: kind.Name, Object: fmt.Sprintf("%016x", (n*7+i)%60), Part: 1, Group: 3,
			Allow: kind.Deadline / 2, KB: 20}
		conn.Write(r.Text())
		at := time.Now()
		answer := conn.Read1(at, at.Add(r.Allow+lostAfter+slack))
		seen := result{took: answer.Took, status: fmt.Sprint(answer.Status), inFlood: at.Sub(begin) > floodsAt-time.Second}
		switch {
		case answer.Err == nil:
			record.Line("lookup %s: %v", r.ID, answer)
		case os.IsTimeout(answer.Err):
			seen.status, seen.isLost = "none", true
			record.Line("lookup %s: lost, it allowed %d ms and has no final answer after %d ms", r.ID, r.Allow.Milliseconds(), answer.Took.Milliseconds())
		default:
			seen.status = "closed" // not judged: it may have crossed the end of its connection
			record.Line("lookup %s: %v", r.ID, answer)
		}
		report(seen)
		if answer.Err != nil || answer.Close {
			conn.Close()
			conn = nil
		}
		time.Sleep(pause)
	}
}

// watchLag returns the longest time by which this process woke too late.
func watchLag(until time.Time) (worst time.Duration) {
	for time.Now().Before(until) {
		at := time.Now()
		time.Sleep(5 * time.Millisecond)
		worst = max(worst, time.Since(at)-5*time.Millisecond)
	}
	return worst
}

// flood is all bad clients.
func flood(addr string) {
	until := time.Now().Add(floodFor)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := 0
	for range bad {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n := badClient(addr, until)
			mu.Lock()
			defer mu.Unlock()
			answers += n
		}()
	}
	wg.Wait()
	fmt.Printf("%d bad clients got %d answers in %v\n", bad, answers, floodFor)
}

// badClient sends hundreds of requests of a class that does not exist at once, and each again as soon as it is turned
// away. It reads all answers and returns their number.
func badClient(addr string, until time.Time) (answers int) {
	one := "GET /call/nokind/x/part-1 HTTP/1.1\r\nHost: backend.local\r\nX-Job-Id: " + stand.NewID() + "\r\nX-Allow-Ms: 1500\r\n\r\n"
	text := []byte(strings.Repeat(one, atOnce))
	for time.Now().Before(until) {
		c, err := stand.Dial(addr)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.SetDeadline(until)
		turnedAway := make(chan int, atOnce)
		go func() {
			c.Write(text)
			for n := range turnedAway {
				for len(turnedAway) > 0 && n < atOnce {
					n += <-turnedAway
				}
				c.Write(text[:n*len(one)])
			}
		}()
		r := bufio.NewReaderSize(c, 64<<10)
		for err == nil && time.Now().Before(until) {
			var response *http.Response
			if response, err = http.ReadResponse(r, nil); err == nil {
				io.Copy(io.Discard, response.Body)
				answers++
				turnedAway <- 1
			}
		}
		close(turnedAway)
		c.Close()
	}
	return answers
}
