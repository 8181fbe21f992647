// Package simadapter connects routers to the simulator of the bench. It reads the simulator's events line by line,
// passes each event to the router of its gateway, and writes the actions of the router. It makes no routing decisions.
//
// The package serves one simulator from one goroutine and owns the simulated gateways until the input ends. It limits
// neither the length of a line nor the number of gateways. Only protocol.go contains the names of the protocol.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"foldslip/internal/policy"
)

// ioBufferSize is the size of the input buffer and of the output buffer, in bytes.
const ioBufferSize = 1 << 20

// Errors for input that ends too early.
var (
	ErrLineTruncated  = errors.New("the line is cut short, expected a line end")
	ErrBatchTruncated = errors.New("input ends within a batch, expected " + messageBatchEnd)
)

// server answers the batches of one simulator.
type server struct {
	in       *bufio.Reader
	out      *bufio.Writer
	line     int                 // number of the last line that was read
	now      policy.Micros       // time of the current batch
	gateways map[string]*gateway // by name
}

// Serve answers batches until the input ends. An error about the input
// names the line, the message and the field that could not be parsed.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{
		in:       bufio.NewReaderSize(in, ioBufferSize),
		out:      bufio.NewWriterSize(out, ioBufferSize),
		gateways: map[string]*gateway{},
	}
	for {
		if err := s.serveBatch(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("line %d: %w", s.line, err)
		}
		s.out.WriteString(messageBatchDone + "\n")
		if err := s.out.Flush(); err != nil {
			return err
		}
	}
}

// readLine reads a line without its line end. It returns io.EOF only if the input ends before the line begins.
func (s *server) readLine() (string, error) {
	text, err := s.in.ReadString('\n')
	if err == io.EOF && text == "" {
		return "", io.EOF
	}
	s.line++
	if err == io.EOF {
		return "", ErrLineTruncated
	}
	return strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r"), err
}

// readBatchLine reads a line within a batch, where the end of the input is an error.
func (s *server) readBatchLine() (string, error) {
	text, err := s.readLine()
	if err == io.EOF {
		return "", ErrBatchTruncated
	}
	return text, err
}

// serveBatch reads a batch and handles its events. It returns io.EOF at the end of the input.
func (s *server) serveBatch() error {
	text, err := s.readLine()
	if err != nil {
		return err
	}
	f := splitLine(text)
	if f.message != messageBatchStart {
		return &UnexpectedMessageError{Message: f.message, Expected: messageBatchStart}
	}
	s.now = readBatchStart(f)
	if err := f.finish(); err != nil {
		return err
	}
	for {
		text, err := s.readBatchLine()
		if err != nil {
			return err
		}
		if text == messageBatchEnd {
			return nil
		}
		if err := s.handleEvent(splitLine(text)); err != nil {
			return err
		}
	}
}

// handleEvent passes one event to its gateway.
func (s *server) handleEvent(f *fields) error {
	name := f.text("gateway")
	switch f.message {
	case messageStart:
		return s.startGateway(name, f)
	case messageStop:
		delete(s.gateways, name)
		return f.finish()
	}
	g := s.gateways[name]
	if g == nil {
		f.rejectGateway(name)
	}
	if f.err != nil {
		return f.err
	}
	switch f.message {
	case messageEndpoints:
		return s.updateEndpoints(g, f)
	case messageLookup:
		return g.startLookup(s.now, f)
	case messageAttemptEnded:
		return g.endAttempt(s.now, f)
	case messageClientGone:
		return g.clientGone(s.now, f)
	case messagePurge:
		return g.applyPurge(s.now, f)
	case messageTimer:
		return g.fireTimer(s.now, f)
	case messageProbeEnded:
		skipProbe(f)
		return f.finish()
	case messageGossip, messageStreamStarted:
		return nil
	}
	return &UnexpectedMessageError{Message: f.message, Expected: "an event"}
}

// updateEndpoints reads the rows of an endpoint update and passes the update to the router.
func (s *server) updateEndpoints(g *gateway, f *fields) error {
	kind, rows := readEndpointsHeader(f)
	if err := f.finish(); err != nil {
		return err
	}
	var endpoints []policy.Endpoint
	for range rows {
		text, err := s.readBatchLine()
		if err != nil {
			return err
		}
		f := splitLine(text)
		if f.message != messageEndpoint {
			return &UnexpectedMessageError{Message: f.message, Expected: messageEndpoint}
		}
		name, endpoint := readEndpoint(f)
		if err := f.finish(); err != nil {
			return err
		}
		endpoint.Cache = g.cacheNamed(name)
		endpoints = append(endpoints, endpoint)
	}
	g.run(func() { g.router.UpdateEndpoints(s.now, kind, endpoints) })
	return nil
}

// startGateway starts a gateway. The new gateway replaces an earlier one with the same name.
func (s *server) startGateway(name string, f *fields) error {
	seed, text := readStart(f)
	if f.err != nil {
		return f.err
	}
	g, err := newGateway(name, text, s.out)
	if err != nil {
		return f.settingsError(err)
	}
	s.gateways[name] = g
	g.run(func() { g.router = policy.NewRouter(s.now, seed, g.settings, g) })
	return nil
}
