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
	MaxMessageBytes   = 64 << 10
	metadataNamespace = "foldslip" // of dynamic metadata
)

// Service is the service.
type Service struct {
	extprocv3.UnimplementedExternalProcessorServer
	*extproc.Server
}

// Process is one stream of a caller.
func (s *Service) Process(stream extprocv3.ExternalProcessor_ProcessServer) error {
	err := s.Serve(transport{stream}, callerName(stream.Context()))
	switch err {
	case nil:
		return nil
	case extproc.ErrTooManyStreams:
		return status.Error(codes.ResourceExhausted, err.Error())
	case extproc.EndedOutOfOrder:
		return status.Error(codes.FailedPrecondition, err.Error())
	case extproc.EndedOverLimit:
		return status.Error(codes.ResourceExhausted, err.Error())
	case extproc.EndedSilent:
		return status.Error(codes.DeadlineExceeded, err.Error())
	case extproc.EndedClosing:
		return status.Error(codes.Unavailable, err.Error())
	}
	if errors.Is(err, extproc.ErrMessageTooLarge) {
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	return err
}

// callerName names who calls: by its certificate where it has shown one, else by its address without the port. All behind one
// Unix socket are one caller.
func callerName(ctx context.Context) string {
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

// transport is a stream of gRPC as package door has it.
type transport struct {
	extprocv3.ExternalProcessor_ProcessServer
}

func (w transport) Receive() (extproc.Message, error) {
	m, err := w.ExternalProcessor_ProcessServer.Recv()
	if status.Code(err) == codes.ResourceExhausted { // the library's word for a message past MostMessage
		return extproc.Message{}, fmt.Errorf("%w: %w", extproc.ErrMessageTooLarge, err)
	}
	if err != nil {
		return extproc.Message{}, err
	}
	return parseMessage(m), nil
}

func (w transport) Send(r extproc.Reply) error {
	return w.ExternalProcessor_ProcessServer.Send(encodeReply(r))
}

// parseMessage reads a message; one without a phase that is known has phase 0, and none comes after it.
func parseMessage(m *extprocv3.ProcessingRequest) extproc.Message {
	out := extproc.Message{Size: proto.Size(m), ObserveOnly: m.ObservabilityMode}
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
	out.Get = headerReader(m, h)
	out.Method, _ = out.Get(":method")
	out.Path, _ = out.Get(":path")
	return out
}

// headerReader reads headers, attributes and dynamic metadata by the table's names.
func headerReader(m *extprocv3.ProcessingRequest, h *extprocv3.HttpHeaders) route.Attributes {
	return func(name string) (v string, n int) {
		if at, ok := strings.CutPrefix(name, "attr:"); ok {
			for _, s := range m.GetAttributes() { // by the extension's name, of which the protocol has one
				if f := s.GetFields()[at]; f != nil {
					if n++; n == 1 {
						v = scalarText(f)
					}
				}
			}
			return v, n
		}
		if at, ok := strings.CutPrefix(name, "meta:"); ok {
			in, key, _ := strings.Cut(at, "/")
			if f := m.GetMetadataContext().GetFilterMetadata()[in].GetFields()[key]; f != nil {
				return scalarText(f), 1
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

// scalarText is a value as one word; a list or an object is none.
func scalarText(v *structpb.Value) string {
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
var processingMode = &filterv3.ProcessingMode{RequestHeaderMode: filterv3.ProcessingMode_SEND, ResponseHeaderMode: filterv3.ProcessingMode_SEND,
	RequestTrailerMode: filterv3.ProcessingMode_SKIP, ResponseTrailerMode: filterv3.ProcessingMode_SKIP}

// encodeReply writes a reply in the form of the phase that it answers.
func encodeReply(r extproc.Reply) *extprocv3.ProcessingResponse {
	out := &extprocv3.ProcessingResponse{}
	switch {
	case r.Status != 0:
		set := &extprocv3.HeaderMutation{}
		for _, f := range r.Headers {
			set.SetHeaders = append(set.SetHeaders, headerOption(f))
		}
		if r.RetryAfter > 0 {
			set.SetHeaders = append(set.SetHeaders, headerOption(extproc.Header{Name: "x-wait-ms",
				Value: strconv.FormatInt((r.RetryAfter + time.Millisecond - 1).Milliseconds(), 10)}))
		}
		out.Response = &extprocv3.ProcessingResponse_ImmediateResponse{ImmediateResponse: &extprocv3.ImmediateResponse{
			Status: &typev3.HttpStatus{Code: typev3.StatusCode(r.Status)}, Headers: set, Body: []byte(r.Text + "\n"),
			Details: strings.ReplaceAll(r.Text, " ", "_")}}
	case r.Phase == extproc.RequestHeaders:
		set := &extprocv3.HeaderMutation{}
		meta := make(map[string]*structpb.Value, len(r.Decision))
		for _, f := range r.Decision {
			if f.Value == "" {
				set.RemoveHeaders = append(set.RemoveHeaders, f.Name)
				continue
			}
			set.SetHeaders = append(set.SetHeaders, headerOption(f))
			meta[f.Name[len(extproc.Prefix):]] = structpb.NewStringValue(f.Value)
		}
		out.Response = &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{
			Response: &extprocv3.CommonResponse{HeaderMutation: set, ClearRouteCache: true}}}
		out.DynamicMetadata = &structpb.Struct{Fields: map[string]*structpb.Value{metadataNamespace: structpb.NewStructValue(&structpb.Struct{Fields: meta})}}
		out.ModeOverride = processingMode
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

func headerOption(f extproc.Header) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: f.Name, RawValue: []byte(f.Value)},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD}
}
