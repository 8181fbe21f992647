package extprocgrpc

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	"foldslip/internal/extproc"
	"foldslip/internal/route"
)

const (
	metadataNamespace = "foldslip" // of the dynamic metadata in replies
	headerRetryAfter  = "x-wait-ms"
	maxHeaderFields   = 256
	attributePrefix   = "attr:" // begins the table's name of an attribute
	metadataPrefix    = "meta:" // begins the table's name of a metadata value; namespace/key follows
)

// transport implements extproc.Transport on a gRPC stream.
type transport struct {
	extprocv3.ExternalProcessor_ProcessServer
}

// Receive waits for the next message.
func (t transport) Receive() (extproc.Message, error) {
	request, err := t.ExternalProcessor_ProcessServer.Recv()
	if status.Code(err) == codes.ResourceExhausted { // the code for a message larger than MaxMessageBytes
		return extproc.Message{}, fmt.Errorf("%w: %w", extproc.ErrMessageTooLarge, err)
	}
	if err != nil {
		return extproc.Message{}, err
	}
	if n := len(headersOf(request).GetHeaders().GetHeaders()); n > maxHeaderFields {
		return extproc.Message{}, fmt.Errorf("%w: %d header fields, at most %d are allowed", extproc.ErrMessageTooLarge, n, maxHeaderFields)
	}
	return parseMessage(request), nil
}

// Send sends a reply.
func (t transport) Send(reply extproc.Reply) error {
	return t.ExternalProcessor_ProcessServer.Send(encodeReply(reply))
}

// headersOf returns the headers of a message, or nil if it has none.
func headersOf(request *extprocv3.ProcessingRequest) *extprocv3.HttpHeaders {
	if headers := request.GetRequestHeaders(); headers != nil {
		return headers
	}
	return request.GetResponseHeaders()
}

// parseMessage converts a message of the protocol. The Phase of a message of unknown type is 0.
func parseMessage(request *extprocv3.ProcessingRequest) extproc.Message {
	message := extproc.Message{Size: proto.Size(request), ObserveOnly: request.ObservabilityMode}
	switch request.Request.(type) {
	case *extprocv3.ProcessingRequest_RequestHeaders:
		message.Phase = extproc.RequestHeaders
	case *extprocv3.ProcessingRequest_RequestBody:
		message.Phase = extproc.RequestBody
	case *extprocv3.ProcessingRequest_RequestTrailers:
		message.Phase = extproc.RequestTrailers
	case *extprocv3.ProcessingRequest_ResponseHeaders:
		message.Phase = extproc.ResponseHeaders
	case *extprocv3.ProcessingRequest_ResponseBody:
		message.Phase = extproc.ResponseBody
	case *extprocv3.ProcessingRequest_ResponseTrailers:
		message.Phase = extproc.ResponseTrailers
	}
	message.Get = attributeReader(request, headersOf(request))
	message.Method, _ = message.Get(":method")
	message.Path, _ = message.Get(":path")
	return message
}

// attributeReader returns a function that reads headers, attributes and metadata of a message by the table's names.
func attributeReader(request *extprocv3.ProcessingRequest, headers *extprocv3.HttpHeaders) route.Attributes {
	return func(name string) (value string, count int) {
		if attribute, ok := strings.CutPrefix(name, attributePrefix); ok {
			return readAttribute(request, attribute)
		}
		if path, ok := strings.CutPrefix(name, metadataPrefix); ok {
			return readMetadata(request, path)
		}
		return readHeader(headers, name)
	}
}

// readAttribute reads an attribute and counts how often it occurs. Attributes
// are grouped by the name of an extension; the protocol has one extension.
func readAttribute(request *extprocv3.ProcessingRequest, name string) (value string, count int) {
	for _, extension := range request.GetAttributes() {
		if field := extension.GetFields()[name]; field != nil {
			count++
			if count == 1 {
				value = scalarText(field)
			}
		}
	}
	return value, count
}

func readMetadata(request *extprocv3.ProcessingRequest, path string) (value string, count int) {
	namespace, key, _ := strings.Cut(path, "/")
	if field := request.GetMetadataContext().GetFilterMetadata()[namespace].GetFields()[key]; field != nil {
		return scalarText(field), 1
	}
	return "", 0
}

func readHeader(headers *extprocv3.HttpHeaders, name string) (value string, count int) {
	for _, header := range headers.GetHeaders().GetHeaders() {
		if header.Key != name {
			continue
		}
		count++
		if count > 1 {
			continue
		}
		value = header.Value
		if len(header.RawValue) > 0 {
			value = string(header.RawValue)
		}
	}
	return value, count
}

// scalarText formats a string, number or boolean as text. It returns "" for other values, such as a list or an object.
func scalarText(v *structpb.Value) string {
	switch kind := v.Kind.(type) {
	case *structpb.Value_StringValue:
		return kind.StringValue
	case *structpb.Value_NumberValue:
		return strconv.FormatFloat(kind.NumberValue, 'f', -1, 64)
	case *structpb.Value_BoolValue:
		return strconv.FormatBool(kind.BoolValue)
	}
	return ""
}

// processingMode tells the caller which phases to send. The contract needs the
// headers of the request and of the response, but no bodies and no trailers.
var processingMode = &filterv3.ProcessingMode{
	RequestHeaderMode:   filterv3.ProcessingMode_SEND,
	ResponseHeaderMode:  filterv3.ProcessingMode_SEND,
	RequestTrailerMode:  filterv3.ProcessingMode_SKIP,
	ResponseTrailerMode: filterv3.ProcessingMode_SKIP,
}

// encodeReply converts a reply to the response type of the phase that it answers.
func encodeReply(reply extproc.Reply) *extprocv3.ProcessingResponse {
	response := &extprocv3.ProcessingResponse{}
	switch {
	case reply.Status != 0:
		response.Response = finalResponse(reply)
	case reply.Phase == extproc.RequestHeaders:
		addDecision(response, reply.Decision)
	case reply.Phase == extproc.RequestBody:
		response.Response = &extprocv3.ProcessingResponse_RequestBody{RequestBody: &extprocv3.BodyResponse{}}
	case reply.Phase == extproc.RequestTrailers:
		response.Response = &extprocv3.ProcessingResponse_RequestTrailers{RequestTrailers: &extprocv3.TrailersResponse{}}
	case reply.Phase == extproc.ResponseHeaders:
		response.Response = &extprocv3.ProcessingResponse_ResponseHeaders{ResponseHeaders: &extprocv3.HeadersResponse{}}
	case reply.Phase == extproc.ResponseBody:
		response.Response = &extprocv3.ProcessingResponse_ResponseBody{ResponseBody: &extprocv3.BodyResponse{}}
	case reply.Phase == extproc.ResponseTrailers:
		response.Response = &extprocv3.ProcessingResponse_ResponseTrailers{ResponseTrailers: &extprocv3.TrailersResponse{}}
	}
	return response
}

// finalResponse returns the immediate response that the caller sends to its client.
func finalResponse(reply extproc.Reply) *extprocv3.ProcessingResponse_ImmediateResponse {
	headers := &extprocv3.HeaderMutation{}
	for _, header := range reply.Headers {
		headers.SetHeaders = append(headers.SetHeaders, headerOption(header))
	}
	if reply.RetryAfter > 0 {
		roundedUp := (reply.RetryAfter + time.Millisecond - 1).Milliseconds()
		headers.SetHeaders = append(headers.SetHeaders, headerOption(extproc.Header{Name: headerRetryAfter, Value: strconv.FormatInt(roundedUp, 10)}))
	}
	return &extprocv3.ProcessingResponse_ImmediateResponse{ImmediateResponse: &extprocv3.ImmediateResponse{
		Status:  &typev3.HttpStatus{Code: typev3.StatusCode(reply.Status)},
		Headers: headers,
		Body:    []byte(reply.Text + "\n"),
		Details: strings.ReplaceAll(reply.Text, " ", "_"),
	}}
}

// addDecision sets the headers of a decision on the request and reports the same values
// as dynamic metadata. Headers with an empty value are removed from the request.
func addDecision(response *extprocv3.ProcessingResponse, decision []extproc.Header) {
	headers := &extprocv3.HeaderMutation{}
	metadata := make(map[string]*structpb.Value, len(decision))
	for _, header := range decision {
		if header.Value == "" {
			headers.RemoveHeaders = append(headers.RemoveHeaders, header.Name)
			continue
		}
		headers.SetHeaders = append(headers.SetHeaders, headerOption(header))
		metadata[strings.TrimPrefix(header.Name, extproc.Prefix)] = structpb.NewStringValue(header.Value)
	}
	response.Response = &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{
		Response: &extprocv3.CommonResponse{HeaderMutation: headers, ClearRouteCache: true}}}
	response.DynamicMetadata = &structpb.Struct{Fields: map[string]*structpb.Value{
		metadataNamespace: structpb.NewStructValue(&structpb.Struct{Fields: metadata})}}
	response.ModeOverride = processingMode
}

func headerOption(header extproc.Header) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{
		Header:       &corev3.HeaderValue{Key: header.Name, RawValue: []byte(header.Value)},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD,
	}
}
