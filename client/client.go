// Package client is the client of a gateway's external processor, for programs that carry out the attempts of their lookups themselves:
//
//	gateway := client.New(conn)
//	result, err := gateway.Lookup(ctx, client.Request{Path: "/call/segment/7f3a/part-3", Header: header}, attempt)
//
// Lookup keeps the contract of docs/external-processor.md: one stream an attempt, each attempt carried out once and reported, and a
// new stream with the same lookup id for as long as the gateway asks for one. Nothing is retained between lookups; a Client may be
// used by many goroutines.
package client

import (
	"context"
	"errors"
	"fmt"
	"io"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
)

// maxAttempts ends a lookup at a gateway that never ends it. A gateway's own limit is far lower.
const maxAttempts = 64

// Client sends lookups to one gateway.
type Client struct {
	processor extprocv3.ExternalProcessorClient
}

// New returns a client over a connection, which the caller closes.
func New(conn grpc.ClientConnInterface) *Client {
	return &Client{processor: extprocv3.NewExternalProcessorClient(conn)}
}

// AttemptFunc carries out one attempt and returns its outcome. It must not send the request twice, and must return when ctx ends.
type AttemptFunc func(ctx context.Context, decision Decision) AttemptOutcome

// Lookup requests decisions for one lookup, carries them out with attempt, and returns the lookup's result.
//
// An error is one of the connection or of the gateway (ProtocolError), never a result: Result.Attempts then lists the attempts that
// were made and may have had effects.
func (c *Client) Lookup(ctx context.Context, request Request, attempt AttemptFunc) (Result, error) {
	var result Result
	for len(result.Attempts) < maxAttempts {
		again, err := c.runStream(ctx, request, attempt, &result)
		if err != nil || !again {
			return result, err
		}
	}
	return result, &ProtocolError{Detail: fmt.Sprintf("more than %d attempts of one lookup", maxAttempts)}
}

// runStream runs one stream: a request, at most one attempt, and its report. It reports whether the gateway wants another stream.
func (c *Client) runStream(ctx context.Context, request Request, attempt AttemptFunc, result *Result) (again bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.processor.Process(ctx)
	if err != nil {
		return false, err
	}
	response, err := exchange(stream, &extprocv3.ProcessingRequest{
		Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: requestHeaders(request)},
	})
	if err != nil {
		return false, err
	}
	if immediate := response.GetImmediateResponse(); immediate != nil {
		return result.readEnd(immediate), nil
	}
	decision, err := parseDecision(response)
	if err != nil {
		return false, err
	}
	result.Attempts = append(result.Attempts, decision)
	outcome := runAttempt(ctx, attempt, decision)
	response, err = exchange(stream, &extprocv3.ProcessingRequest{
		Request: &extprocv3.ProcessingRequest_ResponseHeaders{ResponseHeaders: reportHeaders(outcome)},
	})
	if err != nil {
		return false, err
	}
	if immediate := response.GetImmediateResponse(); immediate != nil {
		return result.readEnd(immediate), nil
	}
	if response.GetResponseHeaders() == nil {
		return false, &ProtocolError{Detail: fmt.Sprintf("a report is answered with %T", response.Response)}
	}
	stream.CloseSend()
	result.setSatisfied(outcome)
	return false, nil
}

// exchange sends a message and returns the next one received. A stream that the gateway has ended accepts no message; Recv then
// returns the reason, so io.EOF from Send is passed over.
func exchange(stream extprocv3.ExternalProcessor_ProcessClient, message *extprocv3.ProcessingRequest) (*extprocv3.ProcessingResponse, error) {
	if err := stream.Send(message); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return stream.Recv()
}

// runAttempt carries out an attempt within its timeout.
func runAttempt(ctx context.Context, attempt AttemptFunc, decision Decision) AttemptOutcome {
	ctx, cancel := context.WithTimeout(ctx, decision.Timeout)
	defer cancel()
	return attempt(ctx, decision)
}
