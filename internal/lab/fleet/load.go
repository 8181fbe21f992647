package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"
)

// lookupLoad is lookups at a steady rate, to running gateways in turn, each on a connection of its own; at most mostAsked are out. Time
// counts from when a lookup was due, not from when it could be sent (coordinated omission).
type lookupLoad struct {
	cancel    context.CancelFunc
	wait      sync.WaitGroup
	mu        sync.Mutex
	counts    LoadReport
	admitted  []int // satisfied lookups by when they were asked for, in parts of a second
	startedAt time.Time
	latencies *hdrhistogram.Histogram // microseconds
}

// LoadReport is what became of lookups.
type LoadReport struct {
	Sent        int64 `json:"asked"`
	Satisfied   int64 `json:"satisfied"`
	Rejected    int64 `json:"nacked"`
	Failed      int64 `json:"failed"`  // told so
	Interrupted int64 `json:"broken"`  // no answer, and its gateway was killed, paused or stopped meanwhile
	Lost        int64 `json:"lost"`    // no answer of a gateway that ran all the time: rule 1
	Skipped     int64 `json:"skipped"` // not asked: too many were out, or nobody ran
	P50         int64 `json:"p50_us"`
	P99         int64 `json:"p99_us"`
	Max         int64 `json:"max_us"`
}

const (
	slotsPerSecond = 10 // of a second
	maxOpenLookups = 256
	lookupTimeout  = 6 * time.Second // the longest latency budget and a little
)

func startLoad(l Load, r *Rig) (*lookupLoad, error) {
	through := map[string]bool{}
	for _, name := range l.Through {
		through[name] = true
	}
	ctx, cancel := context.WithCancel(context.Background())
	out := &lookupLoad{cancel: cancel, startedAt: time.Now(), latencies: hdrhistogram.New(1, 60_000_000, 2)}
	objects := max(1, l.Objects)
	if l.Objects == 0 {
		objects = 200
	}
	turns := rate.NewLimiter(rate.Limit(l.PerSecond), 1)
	places := make(chan struct{}, maxOpenLookups)
	out.wait.Add(1)
	go func() {
		defer out.wait.Done()
		for n := 0; turns.Wait(ctx) == nil; n++ {
			var running []*process
			for _, p := range r.processes {
				if p.isServing() && (len(through) == 0 || through[p.name]) {
					running = append(running, p)
				}
			}
			if len(running) == 0 {
				out.count(func(c *LoadReport) { c.Skipped++ })
				continue
			}
			p := running[n%len(running)]
			select {
			case places <- struct{}{}:
			default:
				out.count(func(c *LoadReport) { c.Skipped++ })
				continue
			}
			out.wait.Add(1)
			go func() {
				defer out.wait.Done()
				defer func() { <-places }()
				out.sendLookup(p, n, int64(n)%objects)
			}()
		}
	}()
	return out, nil
}

func (l *lookupLoad) count(f func(*LoadReport)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.counts)
}

func (l *lookupLoad) sendLookup(p *process, n int, object int64) {
	p.mu.Lock()
	starts := p.starts
	p.mu.Unlock()
	due := time.Now()
	status, err := doLookup(p.clients, n, object)
	p.mu.Lock()
	same := p.starts == starts && p.unpaused
	p.mu.Unlock()
	l.count(func(c *LoadReport) {
		c.Sent++
		switch {
		case err != nil && same:
			c.Lost++
		case err != nil:
			c.Interrupted++
		case status == http.StatusOK:
			c.Satisfied++
			for at := int(due.Sub(l.startedAt) * slotsPerSecond / time.Second); at >= len(l.admitted); {
				l.admitted = append(l.admitted, make([]int, at-len(l.admitted)+1)...)
			}
			l.admitted[int(due.Sub(l.startedAt)*slotsPerSecond/time.Second)]++
			l.latencies.RecordValue(min(time.Since(due).Microseconds(), 60_000_000))
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			c.Rejected++
		default:
			c.Failed++
		}
	})
}

func doLookup(addr string, n int, object int64) (status int, err error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(lookupTimeout))
	fmt.Fprintf(conn, "GET /call/segment/%016x/part-0 HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\nX-Allow-Ms: 4000\r\nX-Ram-Kb: 1\r\nConnection: close\r\n\r\n",
		object, n+1)
	got, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer got.Body.Close()
	_, err = io.Copy(io.Discard, got.Body)
	return got.StatusCode, err
}

func (l *lookupLoad) stop() {
	l.cancel()
	l.wait.Wait()
}

func (l *lookupLoad) report() *LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.P50, c.P99, c.Max = l.latencies.ValueAtQuantile(50), l.latencies.ValueAtQuantile(99), l.latencies.Max()
	return &c
}
