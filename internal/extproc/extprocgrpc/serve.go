package extprocgrpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"strings"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"foldslip/internal/config"
	"foldslip/internal/env"
	"foldslip/internal/extproc"
	"foldslip/internal/gateway"
	"foldslip/internal/retry"
	"foldslip/internal/route"
	"foldslip/internal/telemetry"
)

const (
	drainPollInterval  = 10 * time.Millisecond
	maxConnectionIdle  = 5 * time.Minute
	keepaliveInterval  = 20 * time.Second // a caller that says nothing is asked whether it is there
	handshakeTimeout   = 2 * time.Second
	refusalDelay       = 5 * time.Millisecond
	maxConnections     = 1024  // of all callers
	socketMode         = 0o660 // of a Unix socket: its owner and group may call
	anomalyLogInterval = 10 * time.Second
)

// Listener is the service with where it listens.
type Listener struct {
	Service
	environment  env.Environment
	address      string
	listener     net.Listener
	grpc         *grpc.Server
	health       *health.Server
	certificates *Certificates
	kinds        []string
	tracer       *telemetry.Tracer // nil: off
}

// OpenConfigured opens the door that the operators' settings name, if they name one.
func OpenConfigured(in gateway.Dependencies) ([]gateway.Service, error) {
	x := in.Config.ExternalProcessor
	if x == nil {
		return nil, nil
	}
	l, err := Listen(in, x)
	if err != nil {
		return nil, err
	}
	return []gateway.Service{l}, nil
}

// Listen opens the door as told.
func Listen(in gateway.Dependencies, x *config.ExternalProcessor) (*Listener, error) {
	table, err := route.Compile(x.Table, in.Settings.Kinds)
	if err != nil {
		return nil, err
	}
	l := &Listener{environment: in.Environment, address: x.Listen, health: health.NewServer(), kinds: in.Settings.Kinds}
	opts := []grpc.ServerOption{grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.MaxConcurrentStreams(uint32(x.StreamsPerConnection)),
		grpc.MaxHeaderListSize(MaxMessageBytes), grpc.ConnectionTimeout(handshakeTimeout), grpc.WaitForHandlers(true),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: maxConnectionIdle, Time: keepaliveInterval, Timeout: keepaliveInterval})}
	if x.TLS != nil {
		if l.certificates, err = LoadCertificates(x.TLS); err != nil {
			return nil, err
		}
		opts = append(opts, grpc.Creds(credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: l.certificates.ConfigForClient})))
	}
	if l.listener, err = openListener(in.Environment, x.Listen); err != nil {
		return nil, err
	}
	l.listener = netutil.LimitListener(l.listener, maxConnections)
	l.Service = Service{Server: extproc.New(in.Environment, in.Settings, in.Dispatcher, in.Registry, in.Purges, in.Admission, table, limitsFrom(x))}
	if t := x.Trace; t != nil {
		if l.tracer, err = telemetry.Open(telemetry.Options{Endpoint: t.Endpoint, Share: t.SampleRatio, Name: in.Name}); err != nil {
			l.listener.Close()
			return nil, err
		}
		l.SetTracer(l.tracer)
	}
	l.Routes = in.Routes
	l.grpc = grpc.NewServer(append(opts, grpc.InTapHandle(l.admitStream))...)
	extprocv3.RegisterExternalProcessorServer(l.grpc, &l.Service)
	healthv1.RegisterHealthServer(l.grpc, l.health)
	in.Environment.Log().Info("door", "kind", "external_processor", "listen", l.listener.Addr().String(), "rules", len(x.Table), "tls", x.TLS != nil)
	return l, nil
}

func limitsFrom(x *config.ExternalProcessor) extproc.Limits {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return extproc.Limits{MaxStreams: int(x.StreamsPerCaller), MessagesPerSecond: x.MessagesPerSecond, BytesPerSecond: x.BytesPerSecond, SilenceTimeout: ms(x.SilenceTimeoutMS), Weight: x.Weight,
		Lookups: retry.Limits{MaxLookups: int(x.Lookups), MaxPerCaller: int(x.LookupsPerCaller), ReturnTimeout: ms(x.MaxRetryAfterMS), Retention: ms(x.RememberMS)}}
}

// openListener listens at an address, or at a Unix socket that owner and group may use.
func openListener(g env.Environment, at string) (net.Listener, error) {
	if path, unix := strings.CutPrefix(at, "unix:"); unix {
		return env.ListenUnix(path, socketMode)
	}
	return g.Listen(at)
}

// admitStream meets each new stream on its connection's own reading side, before anything is made for it. One of a caller past its rate
// waits a little there, which slows that connection alone, and is refused.
func (l *Listener) admitStream(ctx context.Context, _ *tap.Info) (context.Context, error) {
	if !l.AdmitsStream(callerName(ctx)) {
		time.Sleep(refusalDelay)
		return nil, status.Error(codes.ResourceExhausted, extproc.EndedOverLimit.Error())
	}
	return ctx, nil
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.listener.Addr() }

// Run serves until life ends.
func (l *Listener) Run(life *env.Lifetime) error {
	defer life.OnEnd(func() { go l.grpc.Stop() })()
	served := make(chan error, 1)
	go func() { served <- l.grpc.Serve(l.listener) }()
	go l.logAnomalies(life)
	l.Server.Run(life)
	if err := <-served; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	if l.tracer != nil {
		l.tracer.Close()
	}
	l.environment.Log().Info("door_closed", "kind", "external_processor", "open", l.OpenLookups(), "odd", l.AnomalySummary())
	return nil
}

// logAnomalies logs what callers do against the contract, where that has changed.
func (l *Listener) logAnomalies(life *env.Lifetime) {
	end := l.environment.NewNotifier()
	defer life.OnEnd(end.Notify)()
	for was := ""; !end.Wait(anomalyLogInterval); {
		if odd := l.AnomalySummary(); odd != was {
			was = odd
			l.environment.Log().Warn("door_odd", "counts", odd)
		}
	}
}

// PrepareReload reads new settings for this door. What it returns puts them in place: the table for the lookups to come, the
// keys for the connections to come. Streams and lookups that are open go on.
func (l *Listener) PrepareReload(own *config.Config) (func(), error) {
	x := own.ExternalProcessor
	if x == nil || x.Listen != l.address || (x.TLS != nil) != (l.certificates != nil) {
		return nil, errors.New("external_processor: listen and tls are changed by a restart only")
	}
	table, err := route.Compile(x.Table, l.kinds)
	if err != nil {
		return nil, err
	}
	keys := l.certificates
	if x.TLS != nil {
		if keys, err = LoadCertificates(x.TLS); err != nil {
			return nil, err
		}
	}
	return func() {
		l.SetTable(table)
		if l.certificates != nil {
			l.certificates.ReplaceWith(keys)
		}
		l.environment.Log().Info("door_reread", "kind", "external_processor", "rules", len(x.Table))
	}, nil
}

// Drain tells callers that this door closes, and takes no more streams.
func (l *Listener) Drain() {
	l.health.Shutdown()
	go l.grpc.GracefulStop() // ends with the last stream, or with Run's life
}

// Wait waits for the lookups that are open.
func (l *Listener) Wait() {
	for l.OpenLookups() > 0 {
		l.environment.NewNotifier().Wait(drainPollInterval)
	}
}

// checkKeyFile is a file of secrets that only its owner may read.
func checkKeyFile(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return &os.PathError{Op: "read", Path: path, Err: errors.New("others than its owner may read this key; chmod 600")}
	}
	return nil
}
