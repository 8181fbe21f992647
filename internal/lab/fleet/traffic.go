package fleet

import (
	"context"
	"sync"
	"time"
)

const trafficTimeout = 2 * time.Second // for all gateways to answer

// Traffic is what one gateway sends a second, the mean over gateways that ran all the time.
type Traffic struct {
	PacketsPerSecond float64 `json:"packets_s"`
	BytesPerSecond   float64 `json:"bytes_s"`
	StreamsPerSecond float64 `json:"streams_s"`
	Seconds          float64 `json:"seconds"` // that the figures are of
}

// trafficSample are the counts of all running gateways at a time. A run takes one when it is ready, one before each step and one at
// the end.
type trafficSample struct {
	at     time.Duration
	counts map[processStart]trafficCounts
}

// processStart names one process of a gateway; start counts from 1.
type processStart struct {
	gateway string
	start   int
}

// trafficCounts are what a process sent since it started.
type trafficCounts struct{ packets, bytes, streams uint64 }

// sampleTraffic reads the counts of all running gateways. A gateway that does not answer is left out.
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
				bytes:   report.BytesOut + report.StreamBytes/2, // StreamBytes are of both directions
				streams: report.Streams,
			}
		})
	}
	wait.Wait()
	r.mu.Lock()
	r.trafficSamples = append(r.trafficSamples, sample)
	r.mu.Unlock()
}

// trafficBetween is the traffic of the processes that are in both samples.
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
