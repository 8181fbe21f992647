package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Traffic is of one gateway, mean over gateways, each second.
type Traffic struct {
	PacketsPerSecond float64 `json:"packets_s"`
	BytesPerSecond   float64 `json:"bytes_s"`
	StreamsPerSecond float64 `json:"streams_s"`
	Seconds          float64 `json:"seconds"`
}

type trafficSample struct {
	at      time.Duration
	step    int // -1: ready, len(steps): the end
	byStart map[string]traffic
}

type traffic struct{ packets, bytes, streams uint64 }

// sampleTraffic reads the counts of all running gateways.
func (r *Rig) sampleTraffic(step int) {
	m := trafficSample{at: r.now(), step: step, byStart: map[string]traffic{}}
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	var wait sync.WaitGroup
	var mu sync.Mutex
	for _, p := range r.processes {
		if !p.isRunning() {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			rep, err := p.report(ctx)
			if err != nil {
				return
			}
			p.mu.Lock()
			key := fmt.Sprintf("%s/%d", p.name, p.starts)
			p.mu.Unlock()
			mu.Lock()
			m.byStart[key] = traffic{rep.PacketsOut, rep.BytesOut + rep.StreamBytes/2, rep.Streams}
			mu.Unlock()
		}()
	}
	wait.Wait()
	r.mu.Lock()
	r.trafficSamples = append(r.trafficSamples, m)
	r.mu.Unlock()
}

func trafficBetween(a, b trafficSample) (t Traffic) {
	t.Seconds = (b.at - a.at).Seconds()
	n := 0.0
	for key, late := range b.byStart {
		early, ok := a.byStart[key]
		if !ok || t.Seconds <= 0 {
			continue // it was started meanwhile
		}
		n++
		t.PacketsPerSecond += float64(late.packets-early.packets) / t.Seconds
		t.BytesPerSecond += float64(late.bytes-early.bytes) / t.Seconds
		t.StreamsPerSecond += float64(late.streams-early.streams) / t.Seconds
	}
	if n > 0 {
		t.PacketsPerSecond, t.BytesPerSecond, t.StreamsPerSecond = t.PacketsPerSecond/n, t.BytesPerSecond/n, t.StreamsPerSecond/n
	}
	return t
}
