// Package extproc is the door for other proxies: the external-processing service of Envoy (envoy.service.ext_proc.v3), which a
// proxy calls for each request. It turns messages into calls of the desk (package retry) and of the facade, and what these
// say into answers; it decides nothing. The contract for callers stands in docs/external-processor.md.
//
// A stream has two goroutines while it lives, one that receives and one that answers; a lookup has one, for the router's
// steps. All end with their stream or lookup. Bounds: streams by the listener's settings, lookups by retry.Terms and the
// gateway's room, messages by MostMessage.
package extproc

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/structpb"

	"foldslip/charter"
	"foldslip/clock"
	"foldslip/facade"
	"foldslip/logic"
	"foldslip/memory"
	"foldslip/retry"
	"foldslip/route"
)

const (
	// MostMessage is how many bytes one message of a caller may have.
	MostMessage = 64 << 10
	prefix      = "x-foldslip-" // of headers that are this program's to set
	space       = "foldslip"    // of dynamic metadata
)

// Server is the service. It lives as long as the gateway.
type Server struct {
	extprocv3.UnimplementedExternalProcessorServer
	g      clock.Ground
	terms  *charter.Terms
	router *facade.Facade
	caches *memory.Caches
	room   *memory.Room
	mu     sync.Mutex // of the desk; held over one call of the facade only, Take, which waits for nothing
	table  *route.Table
	desk   *retry.Desk
	picks  sync.WaitGroup
}

// New makes the service behind a table.
func New(g clock.Ground, terms *charter.Terms, router *facade.Facade, caches *memory.Caches, room *memory.Room, table *route.Table,
	desk retry.Terms) *Server {
	return &Server{g: g, terms: terms, router: router, caches: caches, room: room, table: table, desk: retry.New(desk)}
}

// Swap puts another table in place for the lookups to come.
func (s *Server) Swap(table *route.Table) {
	s.mu.Lock()
	s.table = table
	s.mu.Unlock()
}

// Open is how many lookups are open, and Odd what callers did against the contract so far.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.desk.Open()
}

// Odd counts what callers did against the contract.
func (s *Server) Odd() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	odd := map[string]int{}
	for k, n := range s.desk.Odd {
		odd[k] = n
	}
	return odd
}

// Run brings the desk its time until life ends, and then waits for the lookups that are open.
func (s *Server) Run(life *clock.Life) error {
	end := s.g.Bell()
	defer life.OnEnd(end.Ring)()
	for wait := time.Duration(0); !end.Wait(wait); {
		s.mu.Lock()
		now := s.g.Now()
		do, next := s.desk.Tick(now)
		s.mu.Unlock()
		s.apply(do)
		wait = min(50*time.Millisecond, max(time.Millisecond, next.Sub(now)))
	}
	s.picks.Wait()
	return nil
}

// apply carries out what the desk wants, without its lock.
func (s *Server) apply(do retry.Do) {
	for _, t := range do.Tell {
		s.router.Report(t.Of.Lk, t.N, t.How, t.Remark, t.Waited)
	}
	for _, lk := range do.Leave {
		s.router.Leave(lk.Lk)
	}
	for _, say := range do.Say {
		say.To.Said.(chan retry.Say) <- say // has room for all that one stream is told before it answers
	}
}

// Process is one stream of a caller: a request of its client, whose phases come in their order.
func (s *Server) Process(stream extprocv3.ExternalProcessor_ProcessServer) error {
	ctx := stream.Context()
	caller := "unknown"
	if p, ok := peer.FromContext(ctx); ok {
		caller, _, _ = strings.Cut(p.Addr.String(), ":")
	}
	on := &retry.Stream{Caller: caller, Said: make(chan retry.Say, 8)}
	said := on.Said.(chan retry.Say)
	came, failed := make(chan *extprocv3.ProcessingRequest), make(chan error, 1)
	go func() {
		for {
			m, err := stream.Recv()
			if err != nil {
				failed <- err
				return
			}
			select {
			case came <- m:
			case <-ctx.Done():
				return
			}
		}
	}()
	defer func() {
		s.mu.Lock()
		do := s.desk.End(s.g.Now(), on)
		s.mu.Unlock()
		s.apply(do)
	}()
	var early *retry.Say // an end that came while the caller was at its send
	for {
		select {
		case err := <-failed:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		case say := <-said:
			early = &say
		case m := <-came:
			answer, wait := s.phase(on, m, early)
			if wait {
				select {
				case say := <-said:
					answer = s.answer(m, say)
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			if answer == nil {
				return status.Error(codes.FailedPrecondition, "a phase out of order: one request's headers, then its response's")
			}
			if err := stream.Send(answer); err != nil {
				return err
			}
		}
	}
}

// phase takes a message: its answer, or that one is to be waited for. No answer and no wait is a phase out of order.
func (s *Server) phase(on *retry.Stream, m *extprocv3.ProcessingRequest, early *retry.Say) (*extprocv3.ProcessingResponse, bool) {
	switch r := m.Request.(type) {
	case *extprocv3.ProcessingRequest_RequestHeaders:
		return s.ask(on, r.RequestHeaders)
	case *extprocv3.ProcessingRequest_ResponseHeaders:
		if early != nil {
			return s.answer(m, *early), false
		}
		how, remark, waited := ending(headersOf(r.ResponseHeaders))
		s.mu.Lock()
		do := s.desk.Report(s.g.Now(), on, how, remark, waited)
		s.mu.Unlock()
		s.apply(do)
		return nil, true
	case *extprocv3.ProcessingRequest_RequestBody:
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{RequestBody: &extprocv3.BodyResponse{}}}, false
	case *extprocv3.ProcessingRequest_ResponseBody:
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseBody{ResponseBody: &extprocv3.BodyResponse{}}}, false
	case *extprocv3.ProcessingRequest_RequestTrailers:
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestTrailers{RequestTrailers: &extprocv3.TrailersResponse{}}}, false
	case *extprocv3.ProcessingRequest_ResponseTrailers:
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseTrailers{ResponseTrailers: &extprocv3.TrailersResponse{}}}, false
	}
	return nil, false
}

// ask takes the headers of a request.
func (s *Server) ask(on *retry.Stream, h *extprocv3.HttpHeaders) (*extprocv3.ProcessingResponse, bool) {
	came := s.g.Now()
	get := headersOf(h)
	method, _ := get(":method")
	path, _ := get(":path")
	s.mu.Lock()
	table := s.table
	s.mu.Unlock()
	a, err := table.Lookup(method, path, get)
	var fault *route.Fault
	if errors.As(err, &fault) {
		return immediate(fault.Status, fault.Text, nil), false
	}
	if most := time.Duration(s.terms.Router.Kinds[a.Kind].GiveUp) * time.Microsecond; a.Allow < 0 || a.Allow > most {
		a.Allow = most
	}
	if a.Allow <= 0 {
		return immediate(503, "no time left", nil), false
	}
	until := came.Add(a.Allow)
	if !s.room.Enter() {
		return immediate(503, "too many lookups", nil), false
	}
	s.mu.Lock()
	lk, do := s.desk.Ask(came, on, a.ID, until)
	if lk != nil {
		lk.Lk = s.router.Take(a.ID, a.Kind, a.Object, a.Part, a.Group, a.KB, until)
		if lk.Lk == nil {
			s.desk.Refused(lk)
		}
	}
	s.mu.Unlock()
	switch {
	case lk == nil:
		s.room.Leave()
		s.apply(do)
	case lk.Lk == nil:
		s.room.Leave()
		return immediate(409, "this lookup is open already", nil), false
	default:
		s.picks.Go(func() { s.pick(lk) })
	}
	return nil, true
}

// pick brings a lookup's steps to the desk, up to its end.
func (s *Server) pick(lk *retry.Lookup) {
	defer s.room.Leave()
	for {
		step := s.router.Pick(lk.Lk)
		s.mu.Lock()
		do := s.desk.Step(s.g.Now(), lk, step)
		s.mu.Unlock()
		s.apply(do)
		if step.What != facade.Send && step.What != facade.Cancel {
			return
		}
	}
}

// answer puts what is said into the form of the phase that waits for it.
func (s *Server) answer(m *extprocv3.ProcessingRequest, say retry.Say) *extprocv3.ProcessingResponse {
	switch say.What {
	case retry.Go:
		return s.decision(say.Send)
	case retry.Accepted:
		return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{ResponseHeaders: &extprocv3.HeadersResponse{}}}
	case retry.Again:
		return immediate(503, "ask again", map[string]string{prefix + "again": "1"})
	case retry.Nack:
		more := map[string]string{}
		if say.Wait > 0 {
			more["x-wait-ms"] = strconv.FormatInt((say.Wait + time.Millisecond - 1).Milliseconds(), 10)
		}
		return immediate(503, "nacked", more)
	case retry.Fail:
		return immediate(502, "failed", nil)
	case retry.Twice:
		return immediate(409, "this lookup is open already", nil)
	case retry.Known:
		return immediate(409, "this lookup has been answered", nil)
	case retry.Full:
		return immediate(503, "too many lookups", nil)
	}
	return nil
}

// decision tells the caller what to send where.
func (s *Server) decision(step facade.Step) *extprocv3.ProcessingResponse {
	addr := ""
	if c := s.caches.Find(step.To.Name); c != nil {
		addr = c.Addr
	}
	fields := map[string]string{"cache": step.To.Name, "addr": addr, "send": strconv.Itoa(step.N), "rank": strconv.Itoa(step.Rank),
		"wait-ms": strconv.FormatInt(max(1, step.Patience/1000), 10)}
	if step.Source != step.To {
		fields["source"] = step.Source.Name
	}
	if step.Oldest > 0 {
		fields["oldest-ms"] = strconv.FormatInt(max(1, step.Oldest/1000), 10)
	}
	mode := ""
	for _, m := range []struct {
		bit  logic.How
		word string
	}{{logic.Join, "j"}, {logic.HeldOnly, "h"}, {logic.SourceSkip, "n"}, {logic.Renew, "r"}} {
		if step.How&m.bit != 0 {
			mode += "+" + m.word
		}
	}
	if mode != "" {
		fields["mode"] = mode[1:]
	}
	set := &extprocv3.HeaderMutation{}
	meta := map[string]*structpb.Value{}
	for _, name := range all { // in one order; what is not told is removed, so that no client sets it
		v, told := fields[name]
		if !told {
			set.RemoveHeaders = append(set.RemoveHeaders, prefix+name)
			continue
		}
		set.SetHeaders = append(set.SetHeaders, option(prefix+name, v))
		meta[name] = structpb.NewStringValue(v)
	}
	return &extprocv3.ProcessingResponse{
		Response: &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{
			Response: &extprocv3.CommonResponse{HeaderMutation: set, ClearRouteCache: true}}},
		DynamicMetadata: &structpb.Struct{Fields: map[string]*structpb.Value{space: structpb.NewStructValue(&structpb.Struct{Fields: meta})}},
	}
}

// all are the fields of a decision.
var all = []string{"cache", "addr", "send", "source", "rank", "oldest-ms", "mode", "wait-ms"}

func option(name, v string) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: name, RawValue: []byte(v)},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD}
}

func immediate(code int, text string, more map[string]string) *extprocv3.ProcessingResponse {
	set := &extprocv3.HeaderMutation{}
	for _, name := range []string{prefix + "again", "x-wait-ms"} {
		if v, ok := more[name]; ok {
			set.SetHeaders = append(set.SetHeaders, option(name, v))
		}
	}
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ImmediateResponse{
		ImmediateResponse: &extprocv3.ImmediateResponse{Status: &typev3.HttpStatus{Code: typev3.StatusCode(code)}, Headers: set,
			Body: []byte(text + "\n"), Details: strings.ReplaceAll(text, " ", "_")}}}
}

// headersOf reads headers by name, with how often each stands there.
func headersOf(h *extprocv3.HttpHeaders) func(name string) (string, int) {
	return func(name string) (v string, n int) {
		for _, one := range h.GetHeaders().GetHeaders() {
			if one.Key == name {
				if n++; n == 1 {
					if v = one.Value; len(one.RawValue) > 0 {
						v = string(one.RawValue)
					}
				}
			}
		}
		return v, n
	}
}

var words = map[string]logic.Ending{"hit": logic.Satisfied, "ok": logic.Satisfied, "none": logic.Missed, "shed": logic.TurnedAway,
	"fault": logic.Errored, "late": logic.NeverSent, "timeout": logic.TimedOut, "unconnected": logic.Unconnected, "reset": logic.Reset}

var notes = map[string]logic.Remark{"hit": logic.Hit, "filled": logic.Filled, "via_origin": logic.FilledFromOrigin, "joined": logic.Joined,
	"stale": logic.Aged, "src_refused": logic.SourceRefused, "src_broke": logic.SourceLost, "src_lacks": logic.SourceLacks,
	"no_slot": logic.NoFillPlace, "origin_failed": logic.OriginFailed}

// ending reads how a send ended: the cache's own word, else what the status says. A word that is not known may have run.
func ending(get func(string) (string, int)) (logic.Ending, logic.Remark, logic.Micros) {
	word, n := get(prefix + "end")
	code, _ := get(":status")
	how, known := words[word]
	switch {
	case n > 0 && !known:
		how = logic.Errored
	case n > 0:
	case code == "200" || code == "304":
		how = logic.Satisfied
	case code == "504":
		how = logic.TimedOut
	default:
		how = logic.Errored
	}
	note, _ := get(prefix + "note")
	waited, _ := get(prefix + "waited-ms")
	ms, err := strconv.ParseFloat(waited, 64)
	if err != nil || !(ms >= 0 && ms < 1e7) {
		ms = 0
	}
	return how, notes[note], logic.Micros(ms * 1000)
}
