package fleet

import (
	"context"
	"sync"
	"time"
)

const trafficTimeout = 2 * time.Second // for the reports of all gateways

// Traffic is the mean traffic that a gateway sends per second, over the gateways that ran during the whole span.
type Traffic struct {
	PacketsPerSecond float64 `json:"packets_s"`
	BytesPerSecond   float64 `json:"bytes_s"`
	StreamsPerSecond float64 `json:"streams_s"`
	Seconds          float64 `json:"seconds"` // length of the span
}

// trafficSample holds the counts of all running gateways at a time. A run takes a sample when the fleet is ready, one
// before each step and one at the end.
type trafficSample struct {
	at     time.Duration
	counts map[processStart]trafficCounts
}

// processStart identifies one process of a gateway. The start counts from 1.
type processStart struct {
	gateway string
	start   int
}

// trafficCounts holds what a process has sent since it started.
type trafficCounts struct{ packets, bytes, streams uint64 }

// sampleTraffic records the counts of all running gateways. It leaves out gateways that do not answer.
func (r *Rig) sampleTraffic() {
	sample := trafficSample{at: r.elapsed(), counts: map[processStart]trafficCounts{}}
	ctx, cancel := context.WithTimeout(context.Background(), trafficTimeout)
	defer cancel()
	var wait sync.WaitGroup
	var mu sync.Mutex
	for _, p := range r.processes {
		if !p.isRunning() {
			continue
		}
		wait.Go(func() {
			report, err := p.report(ctx)
			if err != nil {
				return
			}
			key := processStart{p.name, p.startCount()}
			mu.Lock()
			defer mu.Unlock()
			sample.counts[key] = trafficCounts{
				packets: report.PacketsOut,
				bytes:   report.BytesOut + report.StreamBytes/2, // StreamBytes counts both directions
				streams: report.Streams,
			}
		})
	}
	wait.Wait()
	r.mu.Lock()
	r.trafficSamples = append(r.trafficSamples, sample)
	r.mu.Unlock()
}

// trafficBetween returns the mean traffic of the processes that are in both samples.
func trafficBetween(first, last trafficSample) (traffic Traffic) {
	traffic.Seconds = (last.at - first.at).Seconds()
	processes := 0.0
	for key, after := range last.counts {
		before, ok := first.counts[key]
		if !ok || traffic.Seconds <= 0 {
			continue
		}
		processes++
		traffic.PacketsPerSecond += float64(after.packets-before.packets) / traffic.Seconds
		traffic.BytesPerSecond += float64(after.bytes-before.bytes) / traffic.Seconds
		traffic.StreamsPerSecond += float64(after.streams-before.streams) / traffic.Seconds
	}
	if processes > 0 {
		traffic.PacketsPerSecond /= processes
		traffic.BytesPerSecond /= processes
		traffic.StreamsPerSecond /= processes
	}
	return traffic
}
