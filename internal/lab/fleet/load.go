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

const (
	slotsPerSecond   = 10 // resolution of lookupLoad.satisfiedBySlot
	maxOpenLookups   = 256
	lookupTimeout    = 6 * time.Second // slightly longer than the longest deadline of a lookup
	dialTimeout      = time.Second
	maxLatencyMicros = 60_000_000
	defaultObjects   = 200
)

// lookupLoad sends lookups at a steady rate to the running gateways in turn. Each lookup has its
// own connection, and at most maxOpenLookups are in flight. Latency counts from when the rate
// limiter releases a lookup and includes the time to connect. A lookup does not wait for earlier
// ones, so slow responses do not hide the latency of later lookups (coordinated omission).
type lookupLoad struct {
	rig       *Rig
	cancel    context.CancelFunc
	wait      sync.WaitGroup
	startedAt time.Time
	through   map[string]bool // gateways that receive lookups; empty: all
	objects   int64           // number of different objects

	mu              sync.Mutex // guards the fields below
	counts          LoadReport
	satisfiedBySlot []int                   // satisfied lookups by the slot in which they were due
	latencies       *hdrhistogram.Histogram // of satisfied lookups, in microseconds
}

// LoadReport counts the lookups of a run by their results and gives the latencies of the satisfied ones.
type LoadReport struct {
	Sent        int64 `json:"asked"`
	Satisfied   int64 `json:"satisfied"`
	Rejected    int64 `json:"nacked"`  // answered with status 503 or 429
	Failed      int64 `json:"failed"`  // answered with any other status than 200
	Interrupted int64 `json:"broken"`  // no complete answer; the gateway was killed, paused or stopped meanwhile
	Lost        int64 `json:"lost"`    // no complete answer from a gateway that ran all the time; must be 0
	Skipped     int64 `json:"skipped"` // not sent, because too many lookups were in flight or no gateway ran
	P50         int64 `json:"p50_us"`
	P99         int64 `json:"p99_us"`
	Max         int64 `json:"max_us"`
}

// startLoad starts sending lookups in the background. The caller must call stop.
func startLoad(load Load, r *Rig) *lookupLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &lookupLoad{
		rig:       r,
		cancel:    cancel,
		startedAt: time.Now(),
		through:   nameSet(load.Through),
		objects:   max(1, load.Objects),
		latencies: hdrhistogram.New(1, maxLatencyMicros, 2),
	}
	if load.Objects == 0 {
		l.objects = defaultObjects
	}
	l.wait.Go(func() { l.run(ctx, load.PerSecond) })
	return l
}

// run sends lookups until ctx is cancelled.
func (l *lookupLoad) run(ctx context.Context, perSecond float64) {
	limiter := rate.NewLimiter(rate.Limit(perSecond), 1)
	open := make(chan struct{}, maxOpenLookups)
	for number := 0; limiter.Wait(ctx) == nil; number++ {
		serving := l.serving()
		if len(serving) == 0 {
			l.countSkipped()
			continue
		}
		p := serving[number%len(serving)]
		select {
		case open <- struct{}{}:
		default:
			l.countSkipped()
			continue
		}
		l.wait.Go(func() {
			defer func() { <-open }()
			l.sendLookup(p, number)
		})
	}
}

// serving returns the gateways that receive lookups at present.
func (l *lookupLoad) serving() (processes []*process) {
	for _, p := range l.rig.processes {
		if p.isServing() && (len(l.through) == 0 || l.through[p.name]) {
			processes = append(processes, p)
		}
	}
	return processes
}

func (l *lookupLoad) countSkipped() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Skipped++
}

// sendLookup sends one lookup, waits for its result and counts it.
func (l *lookupLoad) sendLookup(p *process, number int) {
	start := p.startCount()
	due := time.Now()
	status, err := doLookup(p.clients, number, int64(number)%l.objects)
	p.mu.Lock()
	ranThroughout := p.starts == start && p.running
	p.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Sent++
	switch {
	case err != nil && ranThroughout:
		l.counts.Lost++
	case err != nil:
		l.counts.Interrupted++
	case status == http.StatusOK:
		l.countSatisfied(due)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		l.counts.Rejected++
	default:
		l.counts.Failed++
	}
}

// countSatisfied counts a satisfied lookup and its latency. The caller holds mu.
func (l *lookupLoad) countSatisfied(due time.Time) {
	l.counts.Satisfied++
	slot := int(due.Sub(l.startedAt) * slotsPerSecond / time.Second)
	if missing := slot + 1 - len(l.satisfiedBySlot); missing > 0 {
		l.satisfiedBySlot = append(l.satisfiedBySlot, make([]int, missing)...)
	}
	l.satisfiedBySlot[slot]++
	l.latencies.RecordValue(min(time.Since(due).Microseconds(), maxLatencyMicros))
}

// doLookup sends a lookup on a new connection, reads the whole response and returns its status.
func doLookup(address string, number int, object int64) (status int, err error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(lookupTimeout))
	fmt.Fprintf(conn, "GET /call/segment/%016x/part-0 HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\nX-Allow-Ms: 4000\r\nX-Ram-Kb: 1\r\nConnection: close\r\n\r\n",
		object, number+1)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// stop ends the load and waits for the lookups in flight.
func (l *lookupLoad) stop() {
	l.cancel()
	l.wait.Wait()
}

func (l *lookupLoad) report() *LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.counts
	report.P50 = l.latencies.ValueAtQuantile(50)
	report.P99 = l.latencies.ValueAtQuantile(99)
	report.Max = l.latencies.Max()
	return &report
}
