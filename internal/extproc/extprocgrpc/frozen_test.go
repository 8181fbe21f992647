package extprocgrpc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/structpb"

	"foldslip/internal/extproc"
	"foldslip/internal/lab/frozen"
)

// TestFrozenResponses checks that replies are encoded as an earlier build encoded
// them. It guards against unintended changes of the messages that callers receive.
func TestFrozenResponses(t *testing.T) {
	var got strings.Builder
	for _, r := range []extproc.Reply{
		{Phase: extproc.RequestHeaders, Decision: []extproc.Header{{Name: "x-foldslip-cache", Value: "c0"}, {Name: "x-foldslip-source"}, {Name: "x-foldslip-send", Value: "0"}}},
		{Phase: extproc.RequestHeaders, Status: 503, Text: "too many lookups", RetryAfter: 1500 * time.Microsecond, Headers: []extproc.Header{{Name: "x-foldslip-again", Value: "1"}}},
		{Phase: extproc.ResponseHeaders, Status: 502, Text: "failed"},
		{Phase: extproc.RequestBody}, {Phase: extproc.RequestTrailers}, {Phase: extproc.ResponseHeaders}, {Phase: extproc.ResponseBody}, {Phase: extproc.ResponseTrailers},
		{},
	} {
		text, err := protojson.Marshal(encodeReply(r))
		if err != nil {
			t.Fatal(err)
		}
		var lines bytes.Buffer // protojson varies its whitespace
		if err := json.Indent(&lines, text, "", " "); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(&got, lines.String())
	}
	frozen.Equal(t, "responses.txt", []byte(got.String()))
}

// TestFrozenMessages checks that messages of callers are parsed as an earlier build parsed them.
func TestFrozenMessages(t *testing.T) {
	header := &extprocv3.HttpHeaders{Headers: &corev3.HeaderMap{Headers: []*corev3.HeaderValue{{Key: ":method", RawValue: []byte("GET")},
		{Key: ":path", Value: "/call/segment/o/part-0"}, {Key: "x-job-id", RawValue: []byte("a1")}, {Key: "x-job-id", Value: "a2"}}}}
	list := structpb.NewListValue(&structpb.ListValue{})
	fields := func() *structpb.Struct {
		return &structpb.Struct{Fields: map[string]*structpb.Value{"word": structpb.NewStringValue("w"), "number": structpb.NewNumberValue(2.5), "flag": structpb.NewBoolValue(true), "list": list}}
	}
	var got strings.Builder
	for _, m := range []*extprocv3.ProcessingRequest{
		{Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: header}, ObservabilityMode: true, Attributes: map[string]*structpb.Struct{"envoy.filters.http.ext_proc": fields()},
			MetadataContext: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{"space": fields()}}},
		{Request: &extprocv3.ProcessingRequest_RequestBody{}}, {Request: &extprocv3.ProcessingRequest_RequestTrailers{}},
		{Request: &extprocv3.ProcessingRequest_ResponseHeaders{ResponseHeaders: header}}, {Request: &extprocv3.ProcessingRequest_ResponseBody{}}, {Request: &extprocv3.ProcessingRequest_ResponseTrailers{}},
		{},
	} {
		in := parseMessage(m)
		fmt.Fprintf(&got, "phase %d method %q path %q size %d watch %v\n", in.Phase, in.Method, in.Path, in.Size, in.ObserveOnly)
		for _, name := range []string{"x-job-id", "x-none", "attr:word", "attr:number", "attr:flag", "attr:list", "attr:none", "meta:space/word", "meta:space/number", "meta:space/none", "meta:none"} {
			value, n := in.Get(name)
			fmt.Fprintf(&got, "  %s=%q %d\n", name, value, n)
		}
	}
	frozen.Equal(t, "messages.txt", []byte(got.String()))
}
