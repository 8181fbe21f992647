package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"foldslip/internal/admin"
	"foldslip/internal/fleet/broadcast/driver"
)

const (
	broadcastWithin = 4500 * time.Millisecond // from when the bulletin told it
	rewatchWithin   = 12 * time.Second        // a gateway may have its watch back so late after its way to the bulletin was mended: stall and a wait
	pollInterval    = 500 * time.Millisecond
	maxPurges       = 3000 // purges of a scenario
)

// broadcastRun tells purges and asks gateways what they heeded.
type broadcastRun struct {
	rig    *Rig
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu         sync.Mutex
	purges     []publishedPurge
	applied    map[string]*appliedPurges
	topologies []topology
}

type publishedPurge struct {
	object string
	at     time.Duration
}

// appliedPurges are what one process of a gateway heeded, by object, and when for the first time in any process of it.
type appliedPurges struct {
	start          int
	lastNumber     uint64
	current        map[string]bool
	firstAt        map[string]time.Duration
	bytesPerSecond float64
	reported       bool
}

func startBroadcastRun(r *Rig) *broadcastRun {
	ctx, cancel := context.WithCancel(context.Background())
	s := &broadcastRun{rig: r, cancel: cancel, applied: map[string]*appliedPurges{}, topologies: []topology{r.topology(0)}}
	for _, p := range r.processes {
		s.applied[p.name] = &appliedPurges{current: map[string]bool{}, firstAt: map[string]time.Duration{}}
	}
	s.wait.Go(func() { s.publish(ctx, r.now()) })
	s.wait.Go(func() {
		every := time.NewTicker(pollInterval)
		defer every.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-every.C:
				s.poll(ctx)
			}
		}
	})
	return s
}

// publish has the bulletin tell purges, each of an object of its own, in its time however late the one before was.
func (s *broadcastRun) publish(ctx context.Context, ready time.Duration) {
	p := s.rig.scenario.Purges
	begin := ready + time.Duration(p.FromMS)*time.Millisecond
	for i := range int(p.PerSecond * float64(p.ForMS) / 1000) {
		due := begin + time.Duration(float64(i)/p.PerSecond*float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(due - s.rig.now()):
		}
		object := fmt.Sprintf("%016x", 0x100000+i)
		s.mu.Lock()
		s.purges = append(s.purges, publishedPurge{object, s.rig.now()})
		s.mu.Unlock()
		s.rig.discovery.Announce(fmt.Sprintf(`{"recall":{"item":"%s","issued":%d}}`, object, time.Now().UnixMilli()))
	}
}

// poll asks all running gateways once for what they heeded since the last time.
func (s *broadcastRun) poll(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	var wait sync.WaitGroup
	for _, p := range s.rig.processes {
		if !p.isRunning() {
			continue
		}
		wait.Go(func() { s.pollGateway(ctx, p) })
	}
	wait.Wait()
}

func (s *broadcastRun) pollGateway(ctx context.Context, p *process) {
	starts := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.starts
	}
	start := starts()
	s.mu.Lock()
	h := s.applied[p.name]
	if h.start != start {
		h.start, h.lastNumber, h.current = start, 0, map[string]bool{}
	}
	h.reported = false
	after := h.lastNumber
	s.mu.Unlock()
	r, err := fetchBroadcastReport(ctx, p, after)
	at := s.rig.now()
	if err != nil || starts() != start {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h.lastNumber, h.reported = r.Applied, true
	h.bytesPerSecond = float64(r.Node.BytesIn+r.Node.BytesOut) / max(1, float64(r.UptimeMS)/1000)
	for _, one := range r.Latest {
		when := at - time.Duration(r.UptimeMS-one.AtUptimeMS)*time.Millisecond // no earlier than it was: the answer took its time
		h.current[one.Object] = true
		if was, ok := h.firstAt[one.Object]; !ok || when < was {
			h.firstAt[one.Object] = when
		}
	}
}

func fetchBroadcastReport(ctx context.Context, p *process, after uint64) (*driver.Report, error) {
	a, err := admin.Send(ctx, p.socket(), admin.Request{Command: "broadcast", Version: after})
	if err != nil {
		return nil, err
	}
	if a.Broadcast == nil {
		return nil, errors.New(a.Error)
	}
	return a.Broadcast, nil
}

func (s *broadcastRun) stop() {
	s.cancel()
	s.wait.Wait()
	s.poll(context.Background())
}
