package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"foldslip/internal/admin"
	"foldslip/internal/config"
	"foldslip/internal/fleet/broadcast/driver"
)

const (
	pollInterval    = 500 * time.Millisecond // between two polls of the gateways
	pollTimeout     = 4 * time.Second        // of one poll of all gateways
	firstPurgeIndex = 0x100000               // keeps purged objects apart from the objects of lookups
)

// broadcastRun announces purges through discovery at a steady
// rate and polls the gateways for the purges that they applied.
type broadcastRun struct {
	rig    *Rig
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	purges     []publishedPurge
	applied    map[string]*appliedPurges // by gateway name
	topologies []topology                // the first from the start, then one for each step
}

// publishedPurge is a purge that discovery announced.
type publishedPurge struct {
	object string
	at     time.Duration // since the start of the run
}

// appliedPurges holds the purges that a gateway reported as applied.
type appliedPurges struct {
	start          int                      // start count of the process that the next three fields describe
	lastNumber     uint64                   // number of the last purge that the process applied
	current        map[string]bool          // objects of the purges that the process applied
	bytesPerSecond float64                  // mean traffic in and out since the start of the process
	reported       bool                     // whether the gateway answered the last poll
	firstAt        map[string]time.Duration // by object: when any process of the gateway first applied the purge
}

// startBroadcastRun starts the announcements and the polling in the background. The caller must call stop.
func startBroadcastRun(r *Rig) *broadcastRun {
	ctx, cancel := context.WithCancel(context.Background())
	b := &broadcastRun{rig: r, cancel: cancel, applied: map[string]*appliedPurges{}, topologies: []topology{r.topology(0)}}
	for _, p := range r.processes {
		b.applied[p.name] = &appliedPurges{current: map[string]bool{}, firstAt: map[string]time.Duration{}}
	}
	b.wait.Go(func() { b.publish(ctx, r.elapsed()) })
	b.wait.Go(func() { b.pollUntil(ctx) })
	return b
}

// publish announces the purges of the scenario, each for a distinct object. The times are fixed in advance, so that a
// late announcement does not delay the next ones.
func (b *broadcastRun) publish(ctx context.Context, ready time.Duration) {
	load := b.rig.scenario.Purges
	begin := ready + config.Milliseconds(load.FromMS)
	for i := range int(load.PerSecond * float64(load.ForMS) / 1000) {
		due := begin + time.Duration(float64(i)/load.PerSecond*float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(due - b.rig.elapsed()):
		}
		object := fmt.Sprintf("%016x", firstPurgeIndex+i)
		b.mu.Lock()
		b.purges = append(b.purges, publishedPurge{object, b.rig.elapsed()})
		b.mu.Unlock()
		b.rig.announcePurge(object)
	}
}

// pollUntil polls the gateways until ctx is cancelled.
func (b *broadcastRun) pollUntil(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.poll(ctx)
		}
	}
}

// poll requests from all running gateways concurrently the purges that they applied since the last poll.
func (b *broadcastRun) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, p := range b.rig.processes {
		if !p.isRunning() {
			continue
		}
		wait.Go(func() { b.pollGateway(ctx, p) })
	}
	wait.Wait()
}

func (b *broadcastRun) pollGateway(ctx context.Context, p *process) {
	start := p.startCount()
	b.mu.Lock()
	applied := b.applied[p.name]
	if applied.start != start {
		applied.start = start
		applied.lastNumber = 0
		applied.current = map[string]bool{}
	}
	applied.reported = false
	after := applied.lastNumber
	b.mu.Unlock()
	report, err := fetchBroadcastReport(ctx, p, after)
	at := b.rig.elapsed()
	if err != nil || p.startCount() != start {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	applied.add(report, at)
}

// add merges a report that arrived at the given time after the start of the run. The resulting times of purges are
// never too early, because the report took time to arrive.
func (a *appliedPurges) add(report *driver.Report, at time.Duration) {
	a.lastNumber = report.Applied
	a.reported = true
	a.bytesPerSecond = float64(report.Node.BytesIn+report.Node.BytesOut) / max(1, float64(report.UptimeMS)/1000)
	for _, purge := range report.Latest {
		appliedAt := at - config.Milliseconds(report.UptimeMS-purge.AtUptimeMS)
		a.current[purge.Object] = true
		first, known := a.firstAt[purge.Object]
		if !known || appliedAt < first {
			a.firstAt[purge.Object] = appliedAt
		}
	}
}

// fetchBroadcastReport requests a gateway's broadcast report,
// with the applied purges whose numbers are higher than after.
func fetchBroadcastReport(ctx context.Context, p *process, after uint64) (*driver.Report, error) {
	response, err := admin.Send(ctx, p.socket(), admin.Request{Command: "broadcast", Version: after})
	if err != nil {
		return nil, err
	}
	if response.Broadcast == nil {
		return nil, &AdminError{Text: response.Error}
	}
	return response.Broadcast, nil
}

// stop ends the announcements and the polling, then polls once more.
func (b *broadcastRun) stop() {
	b.cancel()
	b.wait.Wait()
	b.poll(context.Background())
}
