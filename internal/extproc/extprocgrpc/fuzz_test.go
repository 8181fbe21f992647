package extprocgrpc

import (
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/proto"
)

// FuzzParseMessage checks that no message that a proxy can encode causes a panic when it is parsed or when its headers,
// attributes and metadata are read.
func FuzzParseMessage(f *testing.F) {
	headers := &extprocv3.HttpHeaders{Headers: &corev3.HeaderMap{Headers: []*corev3.HeaderValue{{Key: ":path", RawValue: []byte("/m/x")}}}}
	for _, request := range []*extprocv3.ProcessingRequest{
		{Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: headers}},
		{Request: &extprocv3.ProcessingRequest_ResponseHeaders{ResponseHeaders: &extprocv3.HttpHeaders{}}},
		{ObservabilityMode: true},
	} {
		encoded, err := proto.Marshal(request)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		request := &extprocv3.ProcessingRequest{}
		if proto.Unmarshal(b, request) != nil {
			return
		}
		message := parseMessage(request)
		for _, name := range []string{":path", attributePrefix + "request.path", metadataPrefix + "a/b", ""} {
			message.Get(name)
		}
	})
}
