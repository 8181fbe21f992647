// Package extprocgrpc is the door for other proxies on gRPC: the external-processing service of Envoy
// (envoy.service.ext_proc.v3), which a proxy calls for each request. It turns the protocol's messages into those of package door
// and the replies back; it decides nothing. The contract for callers stands in docs/external-processor.md.
//
// A stream of gRPC is one of package door. Messages are bounded by MostMessage, streams by the listener's settings.
package extprocgrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	"foldslip/internal/extproc"
	"foldslip/internal/route"
)

const (
	// MostMessage is how many bytes one message of a caller may have.
	MostMessage = 64 << 10
	space       = "foldslip" // of dynamic metadata
)

// Server is the service.
type Server struct {
	extprocv3.UnimplementedExternalProcessorServer
	*extproc.Door
}

// Process is one stream of a caller.
func (s *Server) Process(stream extprocv3.ExternalProcessor_ProcessServer) error {
	err := s.Serve(wire{stream}, callerOf(stream.Context()))
	switch err {
	case nil:
		return nil
	case extproc.ErrFull:
		return status.Error(codes.ResourceExhausted, err.Error())
	case extproc.Disorder:
		return status.Error(codes.FailedPrecondition, err.Error())
	case extproc.TooMuch:
		return status.Error(codes.ResourceExhausted, err.Error())
	case extproc.Silence:
		return status.Error(codes.DeadlineExceeded, err.Error())
	case extproc.Closing:
		return status.Error(codes.Unavailable, err.Error())
	}
	if errors.Is(err, extproc.ErrTooLarge) {
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	return err
}

// callerOf names who calls: by its certificate where it has shown one, else by its address without the port. All behind one
// Unix socket are one caller.
func callerOf(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return "unknown"
	}
	if t, ok := p.AuthInfo.(credentials.TLSInfo); ok && len(t.State.VerifiedChains) > 0 {
		cert := t.State.VerifiedChains[0][0]
		if len(cert.URIs) > 0 {
			return cert.URIs[0].String()
		}
		return "cert:" + cert.Subject.CommonName
	}
	if p.Addr.Network() == "unix" {
		return "unix"
	}
	host, _, err := net.SplitHostPort(p.Addr.String())
	if err != nil {
		return p.Addr.String()
	}
	return host
}

// wire is a stream of gRPC as package door has it.
type wire struct {
	extprocv3.ExternalProcessor_ProcessServer
}

func (w wire) Recv() (extproc.Message, error) {
	m, err := w.ExternalProcessor_ProcessServer.Recv()
	if status.Code(err) == codes.ResourceExhausted { // the library's word for a message past MostMessage
		return extproc.Message{}, fmt.Errorf("%w: %w", extproc.ErrTooLarge, err)
	}
	if err != nil {
		return extproc.Message{}, err
	}
	return message(m), nil
}

func (w wire) Send(r extproc.Reply) error { return w.ExternalProcessor_ProcessServer.Send(response(r)) }

// message reads a message; one without a phase that is known has phase 0, and none comes after it.
func message(m *extprocv3.ProcessingRequest) extproc.Message {
	out := extproc.Message{Size: proto.Size(m), Watch: m.ObservabilityMode}
	var h *extprocv3.HttpHeaders
	switch r := m.Request.(type) {
	case *extprocv3.ProcessingRequest_RequestHeaders:
		out.Phase, h = extproc.RequestHeaders, r.RequestHeaders
	case *extprocv3.ProcessingRequest_RequestBody:
		out.Phase = extproc.RequestBody
	case *extprocv3.ProcessingRequest_RequestTrailers:
		out.Phase = extproc.RequestTrailers
	case *extprocv3.ProcessingRequest_ResponseHeaders:
		out.Phase, h = extproc.ResponseHeaders, r.ResponseHeaders
	case *extprocv3.ProcessingRequest_ResponseBody:
		out.Phase = extproc.ResponseBody
	case *extprocv3.ProcessingRequest_ResponseTrailers:
		out.Phase = extproc.ResponseTrailers
	}
	out.Get = reader(m, h)
	out.Method, _ = out.Get(":method")
	out.Path, _ = out.Get(":path")
	return out
}

// reader reads headers, attributes and dynamic metadata by the table's names.
func reader(m *extprocv3.ProcessingRequest, h *extprocv3.HttpHeaders) route.Get {
	return func(name string) (v string, n int) {
		if at, ok := strings.CutPrefix(name, "attr:"); ok {
			for _, s := range m.GetAttributes() { // by the extension's name, of which the protocol has one
				if f := s.GetFields()[at]; f != nil {
					if n++; n == 1 {
						v = plain(f)
					}
				}
			}
			return v, n
		}
		if at, ok := strings.CutPrefix(name, "meta:"); ok {
			in, key, _ := strings.Cut(at, "/")
			if f := m.GetMetadataContext().GetFilterMetadata()[in].GetFields()[key]; f != nil {
				return plain(f), 1
			}
			return "", 0
		}
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

// plain is a value as one word; a list or an object is none.
func plain(v *structpb.Value) string {
	switch k := v.Kind.(type) {
	case *structpb.Value_StringValue:
		return k.StringValue
	case *structpb.Value_NumberValue:
		return strconv.FormatFloat(k.NumberValue, 'f', -1, 64)
	case *structpb.Value_BoolValue:
		return strconv.FormatBool(k.BoolValue)
	}
	return ""
}

// mode asks the caller for what the contract needs and no more: the headers of the response, no bodies, no trailers.
var mode = &filterv3.ProcessingMode{RequestHeaderMode: filterv3.ProcessingMode_SEND, ResponseHeaderMode: filterv3.ProcessingMode_SEND,
	RequestTrailerMode: filterv3.ProcessingMode_SKIP, ResponseTrailerMode: filterv3.ProcessingMode_SKIP}

// response writes a reply in the form of the phase that it answers.
func response(r extproc.Reply) *extprocv3.ProcessingResponse {
	out := &extprocv3.ProcessingResponse{}
	switch {
	case r.Status != 0:
		set := &extprocv3.HeaderMutation{}
		for _, f := range r.Fields {
			set.SetHeaders = append(set.SetHeaders, option(f))
		}
		if r.Wait > 0 {
			set.SetHeaders = append(set.SetHeaders, option(extproc.Field{Name: "x-wait-ms",
				Value: strconv.FormatInt((r.Wait + time.Millisecond - 1).Milliseconds(), 10)}))
		}
		out.Response = &extprocv3.ProcessingResponse_ImmediateResponse{ImmediateResponse: &extprocv3.ImmediateResponse{
			Status: &typev3.HttpStatus{Code: typev3.StatusCode(r.Status)}, Headers: set, Body: []byte(r.Text + "\n"),
			Details: strings.ReplaceAll(r.Text, " ", "_")}}
	case r.Phase == extproc.RequestHeaders:
		set := &extprocv3.HeaderMutation{}
		meta := make(map[string]*structpb.Value, len(r.Send))
		for _, f := range r.Send {
			if f.Value == "" {
				set.RemoveHeaders = append(set.RemoveHeaders, f.Name)
				continue
			}
			set.SetHeaders = append(set.SetHeaders, option(f))
			meta[f.Name[len(extproc.Prefix):]] = structpb.NewStringValue(f.Value)
		}
		out.Response = &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{
			Response: &extprocv3.CommonResponse{HeaderMutation: set, ClearRouteCache: true}}}
		out.DynamicMetadata = &structpb.Struct{Fields: map[string]*structpb.Value{space: structpb.NewStructValue(&structpb.Struct{Fields: meta})}}
		out.ModeOverride = mode
	case r.Phase == extproc.RequestBody:
		out.Response = &extprocv3.ProcessingResponse_RequestBody{RequestBody: &extprocv3.BodyResponse{}}
	case r.Phase == extproc.RequestTrailers:
		out.Response = &extprocv3.ProcessingResponse_RequestTrailers{RequestTrailers: &extprocv3.TrailersResponse{}}
	case r.Phase == extproc.ResponseHeaders:
		out.Response = &extprocv3.ProcessingResponse_ResponseHeaders{ResponseHeaders: &extprocv3.HeadersResponse{}}
	case r.Phase == extproc.ResponseBody:
		out.Response = &extprocv3.ProcessingResponse_ResponseBody{ResponseBody: &extprocv3.BodyResponse{}}
	case r.Phase == extproc.ResponseTrailers:
		out.Response = &extprocv3.ProcessingResponse_ResponseTrailers{ResponseTrailers: &extprocv3.TrailersResponse{}}
	}
	return out
}

func option(f extproc.Field) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: f.Name, RawValue: []byte(f.Value)},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD}
}
