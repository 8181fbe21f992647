package client

import (
	"errors"
	"testing"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// TestProtocolErrors checks that an answer that violates the contract returns a *ProtocolError, so that callers can
// distinguish it from a failed connection.
func TestProtocolErrors(t *testing.T) {
	for name, mutation := range map[string]*extprocv3.HeaderMutation{
		"no headers":           setHeaders(),
		"no timeout":           setHeaders("x-foldslip-cache", "c0"),
		"timeout not a number": setHeaders("x-foldslip-cache", "c0", "x-foldslip-wait-ms", "soon"),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseDecision(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestHeaders{
				RequestHeaders: &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{HeaderMutation: mutation}}}})
			var protocolError *ProtocolError
			if !errors.As(err, &protocolError) || protocolError.Detail == "" {
				t.Errorf("got error %v, expected a *ProtocolError with a detail", err)
			}
		})
	}
}
