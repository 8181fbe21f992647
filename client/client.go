// Package client is a client of a gateway's external processor, for programs that carry out the attempts of their
// lookups themselves:
//
//	gateway := client.New(conn)
//	result, err := gateway.Lookup(ctx, client.Request{Path: "/call/segment/7f3a/part-3", Header: header}, attempt)
//
// Lookup follows the contract of docs/external-processor.md. It opens one stream per attempt, carries out each attempt
// once and reports its outcome. As long as the gateway requests another attempt, it opens a new stream with the same
// lookup id. A Client keeps no state between lookups and is safe for concurrent use.
package client

import (
	"context"
	"errors"
	"fmt"
	"io"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
)

// maxAttempts bounds the attempts of a lookup, in case a gateway never ends it. The limit of a gateway is far lower.
const maxAttempts = 64

// Client sends lookups to one gateway.
type Client struct {
	processor extprocv3.ExternalProcessorClient
}

// New returns a client that uses conn. The caller closes conn.
func New(conn grpc.ClientConnInterface) *Client {
	return &Client{processor: extprocv3.NewExternalProcessorClient(conn)}
}

// AttemptFunc carries out one attempt and returns its outcome. It must send the request at most once and must return
// when ctx ends.
type AttemptFunc func(ctx context.Context, decision Decision) AttemptOutcome

// Lookup requests the decisions for one lookup, carries them out with attempt, and returns the lookup's result.
//
// A rejected or failed lookup is a Result, not an error. An error means that the connection failed, or that the gateway
// violated the contract (*ProtocolError). After an error, Result.Attempts lists the attempts that were made and may
// have had an effect.
func (c *Client) Lookup(ctx context.Context, request Request, attempt AttemptFunc) (Result, error) {
	var result Result
	for len(result.Attempts) < maxAttempts {
		again, err := c.runStream(ctx, request, attempt, &result)
		if err != nil || !again {
			return result, err
		}
	}
	return result, &ProtocolError{Detail: fmt.Sprintf("no result after %d attempts of one lookup", maxAttempts)}
}

// runStream opens a stream, sends the request, carries out at most one attempt and reports its outcome. It returns true
// if the gateway requests another stream.
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
		return result.readImmediate(immediate), nil
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
		return result.readImmediate(immediate), nil
	}
	if response.GetResponseHeaders() == nil {
		return false, &ProtocolError{Detail: fmt.Sprintf("the answer to a report is %T, expected response headers or an immediate response",
			response.Response)}
	}
	stream.CloseSend()
	result.setSatisfied(outcome)
	return false, nil
}

// exchange sends a message and returns the next one received. If the gateway has ended the stream, Send returns io.EOF;
// that error is ignored because Recv then returns the reason.
func exchange(stream extprocv3.ExternalProcessor_ProcessClient, message *extprocv3.ProcessingRequest) (*extprocv3.ProcessingResponse, error) {
	if err := stream.Send(message); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return stream.Recv()
}

// runAttempt carries out an attempt with the timeout of its decision.
func runAttempt(ctx context.Context, attempt AttemptFunc, decision Decision) AttemptOutcome {
	ctx, cancel := context.WithTimeout(ctx, decision.Timeout)
	defer cancel()
	return attempt(ctx, decision)
}
