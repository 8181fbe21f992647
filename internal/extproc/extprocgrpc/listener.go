package extprocgrpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
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
	"foldslip/internal/retry"
	"foldslip/internal/route"
	"foldslip/internal/telemetry"
)

const (
	drainPollInterval  = 10 * time.Millisecond
	maxConnectionIdle  = 5 * time.Minute
	keepaliveInterval  = 20 * time.Second // of silence, after which a caller is pinged
	handshakeTimeout   = 2 * time.Second
	refusalDelay       = 5 * time.Millisecond // before a stream is refused
	maxConnections     = 1024                 // of all callers
	socketMode         = 0o660                // of a Unix socket: its owner and group may call
	anomalyLogInterval = 10 * time.Second
)

// ErrNeedsRestart is the refusal of a configuration that a running Listener can't take.
var ErrNeedsRestart = errors.New("external_processor: listen and tls are changed by a restart only")

// Listener is a Service with the address where it listens. Make it with Listen, serve it with Run.
type Listener struct {
	Service
	environment  env.Environment
	address      string
	listener     net.Listener
	grpc         *grpc.Server
	health       *health.Server
	certificates *Certificates // nil: no TLS
	kinds        []string
	tracer       *telemetry.Tracer // nil: off
}

// Listen listens as the configuration says. name is the gateway's, for its spans.
func Listen(name string, dependencies extproc.Dependencies, configuration *config.ExternalProcessor) (*Listener, error) {
	kinds := dependencies.Settings.Kinds
	table, err := route.Compile(configuration.Table, kinds)
	if err != nil {
		return nil, err
	}
	l := &Listener{environment: dependencies.Environment, address: configuration.Listen, health: health.NewServer(), kinds: kinds}
	if configuration.TLS != nil {
		if l.certificates, err = LoadCertificates(configuration.TLS); err != nil {
			return nil, err
		}
	}
	if l.listener, err = listenAt(l.environment, l.address); err != nil {
		return nil, err
	}
	l.listener = netutil.LimitListener(l.listener, maxConnections)
	l.Service = Service{Server: extproc.New(dependencies, table, limitsFrom(configuration))}
	if trace := configuration.Trace; trace != nil {
		if l.tracer, err = telemetry.Open(telemetry.Options{Endpoint: trace.Endpoint, Share: trace.SampleRatio, Name: name}); err != nil {
			l.listener.Close()
			return nil, err
		}
		l.SetTracer(l.tracer)
	}
	l.grpc = grpc.NewServer(l.serverOptions(configuration)...)
	extprocv3.RegisterExternalProcessorServer(l.grpc, &l.Service)
	healthv1.RegisterHealthServer(l.grpc, l.health)
	l.environment.Log().Info("extproc_listening", "kind", "external_processor", "listen", l.listener.Addr().String(),
		"rules", len(configuration.Table), "tls", configuration.TLS != nil)
	return l, nil
}

func (l *Listener) serverOptions(configuration *config.ExternalProcessor) []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxConcurrentStreams(uint32(configuration.StreamsPerConnection)),
		grpc.MaxHeaderListSize(MaxMessageBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.WaitForHandlers(true),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: maxConnectionIdle, Time: keepaliveInterval, Timeout: keepaliveInterval}),
		grpc.InTapHandle(l.admitStream),
	}
	if l.certificates != nil {
		tlsConfig := &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: l.certificates.ConfigForClient}
		options = append(options, grpc.Creds(credentials.NewTLS(tlsConfig)))
	}
	return options
}

func limitsFrom(configuration *config.ExternalProcessor) extproc.Limits {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return extproc.Limits{
		Lookups: retry.Limits{
			MaxLookups:    int(configuration.Lookups),
			MaxPerCaller:  int(configuration.LookupsPerCaller),
			ReturnTimeout: ms(configuration.ReturnTimeoutMS),
			Retention:     ms(configuration.RememberMS),
		},
		MaxStreams:        int(configuration.StreamsPerCaller),
		MessagesPerSecond: configuration.MessagesPerSecond,
		BytesPerSecond:    configuration.BytesPerSecond,
		SilenceTimeout:    ms(configuration.SilenceTimeoutMS),
		Weight:            configuration.Weight,
	}
}

// listenAt listens at an address, or at a Unix socket that its owner and group may use.
func listenAt(environment env.Environment, address string) (net.Listener, error) {
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		return env.ListenUnix(path, socketMode)
	}
	return environment.Listen(address)
}

// admitStream refuses a new stream of a caller past its rate, on the reading side of its connection and before anything is made for it. The
// delay slows that connection alone.
func (l *Listener) admitStream(ctx context.Context, _ *tap.Info) (context.Context, error) {
	if !l.AdmitsStream(callerName(ctx)) {
		time.Sleep(refusalDelay)
		return nil, status.Error(codes.ResourceExhausted, extproc.EndedOverLimit.Error())
	}
	return ctx, nil
}

// Addr is the address of the listener.
func (l *Listener) Addr() net.Addr { return l.listener.Addr() }

// Run serves until the lifetime ends.
func (l *Listener) Run(lifetime *env.Lifetime) error {
	defer lifetime.OnEnd(func() { go l.grpc.Stop() })()
	served := make(chan error, 1)
	go func() { served <- l.grpc.Serve(l.listener) }()
	go l.logAnomalies(lifetime)
	l.Server.Run(lifetime)
	if err := <-served; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	if l.tracer != nil {
		l.tracer.Close()
	}
	l.environment.Log().Info("extproc_closed", "kind", "external_processor", "open", l.OpenLookups(), "anomalies", l.AnomalySummary())
	return nil
}

// logAnomalies logs what callers do against the contract, at most every anomalyLogInterval and where it has changed.
func (l *Listener) logAnomalies(lifetime *env.Lifetime) {
	end := l.environment.NewNotifier()
	defer lifetime.OnEnd(end.Notify)()
	for logged := ""; !end.Wait(anomalyLogInterval); {
		if anomalies := l.AnomalySummary(); anomalies != logged {
			logged = anomalies
			l.environment.Log().Warn("extproc_anomalies", "counts", anomalies)
		}
	}
}

// PrepareReload checks a new configuration and returns what puts it in force: the table for the lookups to come, the certificates for the
// connections to come. Streams and lookups that are open go on.
func (l *Listener) PrepareReload(configuration *config.Config) (apply func(), err error) {
	updated := configuration.ExternalProcessor
	if updated == nil || updated.Listen != l.address || (updated.TLS != nil) != (l.certificates != nil) {
		return nil, ErrNeedsRestart
	}
	table, err := route.Compile(updated.Table, l.kinds)
	if err != nil {
		return nil, err
	}
	certificates := l.certificates
	if updated.TLS != nil {
		if certificates, err = LoadCertificates(updated.TLS); err != nil {
			return nil, err
		}
	}
	return func() {
		l.SetTable(table)
		if l.certificates != nil {
			l.certificates.ReplaceWith(certificates)
		}
		l.environment.Log().Info("extproc_reloaded", "kind", "external_processor", "rules", len(updated.Table))
	}, nil
}

// Drain tells callers that the listener closes, and takes no more streams. It does not wait.
func (l *Listener) Drain() {
	l.health.Shutdown()
	go l.grpc.GracefulStop() // ends with the last stream, or with Run
}

// Wait waits until no lookups are open.
func (l *Listener) Wait() {
	for l.OpenLookups() > 0 {
		l.environment.NewNotifier().Wait(drainPollInterval)
	}
}
