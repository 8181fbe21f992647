// Package extprocgrpc serves package extproc's streams on gRPC, as the external-processing service of Envoy (envoy.service.ext_proc.v3), which a
// proxy calls for each request. It turns the protocol's messages into those of package extproc and replies back, and decides nothing. The
// contract with callers is docs/external-processor.md.
//
// A stream of gRPC is one of package extproc. Messages are bounded by MaxMessageBytes, streams and connections by the Listener's configuration.
package extprocgrpc

import (
	"context"
	"errors"
	"net"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"foldslip/internal/extproc"
)

// MaxMessageBytes bounds one message of a caller.
const MaxMessageBytes = 64 << 10

// Service is the gRPC service of a Server.
type Service struct {
	extprocv3.UnimplementedExternalProcessorServer
	*extproc.Server
}

// Process serves one stream of a caller.
func (s *Service) Process(stream extprocv3.ExternalProcessor_ProcessServer) error {
	err := s.Serve(transport{stream}, callerName(stream.Context()))
	if code, ok := statusCode(err); ok {
		return status.Error(code, err.Error())
	}
	return err
}

// statusCode is the gRPC status of an error of package extproc.
func statusCode(err error) (code codes.Code, ok bool) {
	var reason extproc.EndReason
	switch {
	case errors.Is(err, extproc.ErrTooManyStreams), errors.Is(err, extproc.ErrMessageTooLarge):
		return codes.ResourceExhausted, true
	case !errors.As(err, &reason):
		return codes.OK, false
	}
	switch reason {
	case extproc.EndedOutOfOrder:
		return codes.FailedPrecondition, true
	case extproc.EndedOverLimit:
		return codes.ResourceExhausted, true
	case extproc.EndedSilent:
		return codes.DeadlineExceeded, true
	case extproc.EndedClosing:
		return codes.Unavailable, true
	}
	return codes.OK, false
}

// callerName names a caller: by its certificate if it has shown one, else by its address without the port. All callers at a Unix socket are
// one.
func callerName(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return "unknown"
	}
	if tlsInfo, ok := p.AuthInfo.(credentials.TLSInfo); ok && len(tlsInfo.State.VerifiedChains) > 0 {
		cert := tlsInfo.State.VerifiedChains[0][0]
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
