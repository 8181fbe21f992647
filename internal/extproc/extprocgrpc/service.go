// Package extprocgrpc serves the streams of package extproc over gRPC. It implements Envoy's
// external processing service (envoy.service.ext_proc.v3), which a proxy calls for each request.
// It converts the messages of the protocol to messages of package extproc, and replies back, and
// makes no decisions. The contract with callers is documented in docs/external-processor.md.
//
// Each gRPC stream is one stream of package extproc. A Listener owns the listening socket, the gRPC
// server and the certificates, and serves until the lifetime passed to Run ends. MaxMessageBytes bounds
// a message, maxConnections bounds the connections, and the Listener's configuration bounds the streams.
package extprocgrpc

import (
	"context"
	"errors"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"foldslip/internal/extproc"
)

// MaxMessageBytes is the maximum size of a message from a caller. A gateway with little memory takes less.
const MaxMessageBytes = 64 << 10

// Service implements the gRPC service with a Server.
type Service struct {
	extprocv3.UnimplementedExternalProcessorServer
	*extproc.Server
}

// Process serves one stream of a caller. gRPC calls it for each stream.
func (s *Service) Process(stream extprocv3.ExternalProcessor_ProcessServer) error {
	err := s.Serve(transport{stream}, callerName(stream.Context()))
	if code, ok := statusCode(err); ok {
		return status.Error(code, err.Error())
	}
	return err
}

// statusCode returns the gRPC status code for an error of package extproc. It returns false for any other error.
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

// callerName returns the name of a caller. If the caller has presented a verified certificate, the
// name is the first URI of the certificate or, without URIs, its common name. Otherwise the name
// is the address of the caller without the port. All callers on a Unix socket share one name.
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
	return hostOf(p.Addr)
}
