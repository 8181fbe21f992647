package extprocgrpc

import (
	"context"
	"sync"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	observingConns   = 4
	observingStreams = 250 // on each connection, up to the default limit of a caller's streams
	floodDuration    = 3 * time.Second
	// segmentObjective is the latency objective of the object kind segment in the tests' settings.
	segmentObjective = 400 * time.Millisecond
)

// Decisions beside a caller that sends messages for observation only, without a pause on many streams: each is made
// within the latency objective of its lookup. Guards against streams that handle such messages for as long as there
// are some and never let those of lookups run.
func TestDecisionsBesideObservedMessages(t *testing.T) {
	p := startProcess(t, kindPlain, 1)
	ctx, stop := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	for range observingConns {
		conn, err := grpc.NewClient(p.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		for range observingStreams {
			streams.Go(func() { sendObserved(ctx, extprocv3.NewExternalProcessorClient(conn)) })
		}
	}
	latencies := p.loadPaced(floodDuration)
	stop()
	streams.Wait()
	t.Logf("p50 %d us, p99 %d us, longest %d us", latencies.ValueAtQuantile(50), latencies.ValueAtQuantile(99), latencies.Max())
	if longest := time.Duration(latencies.Max()) * time.Microsecond; longest > segmentObjective {
		t.Errorf("a decision took %v, expected at most %v", longest, segmentObjective)
	}
}

// sendObserved sends messages for observation only on one stream until the context ends.
func sendObserved(ctx context.Context, client extprocv3.ExternalProcessorClient) {
	stream, err := client.Process(ctx)
	if err != nil {
		return
	}
	message := requestHeaders(":method", "GET", ":path", "/call/segment/o/part-0", "x-job-id", "1")
	message.ObservabilityMode = true
	for stream.Send(message) == nil {
	}
}
