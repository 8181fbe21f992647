package clients

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	streamsEach      = 8
	messageBytes     = 64_000 // near the largest message that the processor takes
	shortFields      = 6_000  // fields of a message of some 60 KB
	processorMethod  = "/envoy.service.ext_proc.v3.ExternalProcessor/Process"
	floodConnections = 4
)

// sendHalfMessages writes HTTP/2 frames itself, since a gRPC client always sends whole messages.
func (s *stage) sendHalfMessages() {
	s.report.Clients = manyClients
	var group sync.WaitGroup
	for range manyClients {
		group.Go(func() {
			conn, err := dialFrom(s.ctx, playAddr, s.gateway.processorAddr)
			if err != nil {
				return
			}
			defer conn.Close()
			go io.Copy(io.Discard, conn)
			io.WriteString(conn, http2.ClientPreface)
			framer := http2.NewFramer(conn, nil)
			framer.WriteSettings()
			for n := range uint32(streamsEach) {
				if s.openHalfMessage(framer, 2*n+1) != nil {
					return
				}
				s.count(1)
			}
			s.hold()
		})
	}
	group.Wait()
}

// openHalfMessage opens a stream and sends an eighth of a message on it, so that a connection's window suffices for all.
func (s *stage) openHalfMessage(framer *http2.Framer, streamID uint32) error {
	var head bytes.Buffer
	encoder := hpack.NewEncoder(&head)
	for _, field := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", processorMethod}, {":authority", "x"},
		{"content-type", "application/grpc"}, {"te", "trailers"}} {
		encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
	}
	if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: streamID, BlockFragment: head.Bytes(), EndHeaders: true}); err != nil {
		return err
	}
	data := binary.BigEndian.AppendUint32([]byte{0}, messageBytes) // gRPC's prefix: not compressed, and the length
	return framer.WriteData(streamID, false, append(data, make([]byte, messageBytes/streamsEach-len(data))...))
}

// callers connects a number of callers and runs act for each in a goroutine of its own.
func (s *stage) callers(count int, act func(n int, processor extprocv3.ExternalProcessorClient)) {
	s.report.Clients = count
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			conn, err := grpc.NewClient("passthrough:///"+s.gateway.processorAddr, grpc.WithTransportCredentials(insecure.NewCredentials()),
				grpc.WithContextDialer(func(ctx context.Context, to string) (net.Conn, error) { return dialFrom(ctx, playAddr, to) }))
			if err != nil {
				return
			}
			defer conn.Close()
			act(n, extprocv3.NewExternalProcessorClient(conn))
		})
	}
	group.Wait()
}

// lookupMessage returns the message that requests a lookup.
func lookupMessage(id, kind, object string) *extprocv3.ProcessingRequest {
	headers := &corev3.HeaderMap{}
	for _, field := range [][2]string{{":method", "GET"}, {":path", "/call/" + kind + "/" + object + "/part-0"}, {"x-job-id", id}, {"x-group", "1"},
		{"x-ram-kb", "40"}, {"x-allow-ms", "2000"}} {
		headers.Headers = append(headers.Headers, &corev3.HeaderValue{Key: field[0], RawValue: []byte(field[1])})
	}
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: &extprocv3.HttpHeaders{Headers: headers}}}
}

func (s *stage) sendShortFields() {
	headers := &corev3.HeaderMap{}
	for n := range shortFields {
		headers.Headers = append(headers.Headers, &corev3.HeaderValue{Key: fmt.Sprintf("%x", n), RawValue: []byte("b")})
	}
	message := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: &extprocv3.HttpHeaders{Headers: headers}}}
	s.callers(manyClients, func(_ int, processor extprocv3.ExternalProcessorClient) {
		for s.ctx.Err() == nil {
			stream, err := processor.Process(s.ctx)
			if err != nil || stream.Send(message) != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			s.count(1)
			stream.Recv()
			stream.CloseSend()
		}
	})
}

func (s *stage) floodStreams() {
	var number atomic.Int64
	s.callers(floodConnections, func(_ int, processor extprocv3.ExternalProcessorClient) {
		var group sync.WaitGroup
		for range 16 {
			group.Go(func() {
				for s.ctx.Err() == nil {
					ctx, cancel := context.WithCancel(s.ctx)
					if stream, err := processor.Process(ctx); err == nil {
						n := number.Add(1)
						stream.Send(lookupMessage(s.id(n), "segment", fmt.Sprint("new", n)))
						s.count(1)
					}
					cancel()
				}
			})
		}
		group.Wait()
	})
}

func (s *stage) floodUnsoundStreams() {
	message := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{ResponseHeaders: &extprocv3.HttpHeaders{}}}
	s.callers(floodConnections, func(_ int, processor extprocv3.ExternalProcessorClient) {
		for s.ctx.Err() == nil {
			stream, err := processor.Process(s.ctx)
			if err != nil {
				continue
			}
			for stream.Send(message) == nil {
				s.count(1)
			}
		}
	})
}

// leaveStreamsAndRepeat counts lookups for which two attempts were decided.
func (s *stage) leaveStreamsAndRepeat() {
	s.callers(1, func(_ int, processor extprocv3.ExternalProcessorClient) {
		for n := int64(1); s.ctx.Err() == nil; n++ {
			first := s.decides(processor, n, 100*time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			if s.decides(processor, n, 0) && first {
				s.report.Duplicates++
			}
		}
	})
}

// decides requests a lookup with side effects and reports whether an attempt was decided. It ends the stream after some time.
func (s *stage) decides(processor extprocv3.ExternalProcessorClient, n int64, after time.Duration) bool {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stream, err := processor.Process(ctx)
	if err != nil {
		return false
	}
	s.count(1)
	stream.Send(lookupMessage(s.id(n), "order", fmt.Sprint("order", n)))
	response, err := stream.Recv()
	time.Sleep(after)
	return err == nil && response.GetRequestHeaders() != nil
}
