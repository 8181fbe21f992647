package extprocgrpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"strings"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
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
	finalAnswerTimeout = 100 * time.Millisecond // for callers to read the last answers; the gateway is killed 125 ms later
	maxConnectionIdle  = 5 * time.Minute
	keepaliveInterval  = 20 * time.Second // silence after which a caller is pinged, and time allowed for its answer
	handshakeTimeout   = 2 * time.Second
	refusalDelay       = 5 * time.Millisecond // delay before the refusal of a stream, and before a stream of a caller that is slowed
	maxConnections     = 1024                 // of all callers together
	connectionBuffer   = 8 << 10              // bytes of the read buffer and of the write buffer of a connection
	socketMode         = 0o660                // of a Unix socket: owner and group may connect
	anomalyLogInterval = 10 * time.Second
)

// The shares of the gateway's usable memory that bound what callers may make it hold.
const (
	recordMemoryShare     = 0.2 // see retry.Limits.MaxRecords
	connectionMemoryShare = 0.125
	streamMemoryShare     = 0.5
	messageMemoryShare    = 1.0 / 512 // of one message: decoded, it takes some 25 times its bytes

	connectionMemory    = 40 << 10  // bytes of a connection with its goroutines
	streamMemory        = 32 << 10  // bytes of a stream with its goroutines and a message
	minConnections      = 16        // whatever the memory
	minStreams          = 64        // whatever the memory
	minMessageBytes     = 16 << 10  // whatever the memory
	defaultRecordMemory = 128 << 20 // bytes, without a memory limit
)

// ErrNeedsRestart is returned by Reload for a configuration that a running Listener cannot apply.
var ErrNeedsRestart = errors.New("external_processor: removing it, changing listen, or turning tls on or off requires a restart")

// Listener is a Service and the address on which it listens. Create it with Listen and serve it with Run.
type Listener struct {
	Service
	environment  env.Environment
	address      string
	listener     net.Listener
	grpc         *grpc.Server
	health       *health.Server
	certificates *Certificates     // nil: no TLS
	kinds        []string          // names of the object kinds
	tracer       *telemetry.Tracer // nil: lookups are not traced
	streamsEnded chan struct{}     // closed when all streams have ended after Drain
}

// Listen opens the address of the configuration and returns a Listener for it. name is the name of the gateway in trace
// spans. usableMemory is the gateway's memory limit in bytes, less what its program file takes, or 0 if it has none.
func Listen(name string, dependencies extproc.Dependencies, configuration *config.ExternalProcessor, usableMemory int64) (*Listener, error) {
	kinds := dependencies.Settings.Kinds
	table, err := route.Compile(configuration.Table, kinds)
	if err != nil {
		return nil, err
	}
	l := &Listener{environment: dependencies.Environment, address: configuration.Listen, health: health.NewServer(), kinds: kinds,
		streamsEnded: make(chan struct{})}
	if configuration.TLS != nil {
		if l.certificates, err = LoadCertificates(configuration.TLS); err != nil {
			return nil, err
		}
	}
	if l.listener, err = listenAt(l.environment, l.address); err != nil {
		return nil, err
	}
	l.listener = newLimitedListener(l.listener, connectionLimit(usableMemory))
	l.Service = Service{Server: extproc.New(dependencies, table, limitsFrom(configuration, usableMemory))}
	if trace := configuration.Trace; trace != nil {
		if l.tracer, err = telemetry.Open(telemetry.Options{Endpoint: trace.Endpoint, Share: trace.SampleRatio, Name: name}); err != nil {
			l.listener.Close()
			return nil, err
		}
		l.SetTracer(l.tracer)
	}
	l.grpc = grpc.NewServer(l.serverOptions(configuration, messageLimit(usableMemory))...)
	extprocv3.RegisterExternalProcessorServer(l.grpc, &l.Service)
	healthv1.RegisterHealthServer(l.grpc, l.health)
	l.environment.Log().Info("extproc_listening", "kind", "external_processor", "listen", l.listener.Addr().String(),
		"rules", len(configuration.Table), "tls", configuration.TLS != nil)
	return l, nil
}

func (l *Listener) serverOptions(configuration *config.ExternalProcessor, messageBytes int) []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(messageBytes),
		grpc.MaxConcurrentStreams(uint32(configuration.StreamsPerConnection)),
		grpc.MaxHeaderListSize(uint32(messageBytes)),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ReadBufferSize(connectionBuffer),
		grpc.WriteBufferSize(connectionBuffer),
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

func limitsFrom(configuration *config.ExternalProcessor, usableMemory int64) extproc.Limits {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return extproc.Limits{
		Lookups: retry.Limits{
			MaxLookups:    int(configuration.Lookups),
			MaxPerCaller:  int(configuration.LookupsPerCaller),
			ReturnTimeout: ms(configuration.ReturnTimeoutMS),
			Retention:     ms(configuration.RememberMS),
			MaxRecords:    maxRecords(usableMemory),
		},
		MaxStreams:        int(configuration.StreamsPerCaller),
		MaxTotalStreams:   streamLimit(usableMemory),
		MessagesPerSecond: configuration.MessagesPerSecond,
		BytesPerSecond:    configuration.BytesPerSecond,
		SilenceTimeout:    ms(configuration.SilenceTimeoutMS),
		Weight:            configuration.Weight,
	}
}

// maxRecords returns the number of records of lookups that a gateway with a usable memory in bytes may hold. The memory is
// 0 if it has no limit.
func maxRecords(usableMemory int64) int {
	if usableMemory <= 0 {
		return defaultRecordMemory / retry.RecordBytes
	}
	return max(1, int(float64(usableMemory)*recordMemoryShare)/retry.RecordBytes)
}

// connectionLimit returns the number of connections of all callers.
func connectionLimit(usableMemory int64) int {
	if usableMemory <= 0 {
		return maxConnections
	}
	return min(maxConnections, max(minConnections, int(float64(usableMemory)*connectionMemoryShare)/connectionMemory))
}

// streamLimit returns the number of streams of all callers; 0 is unlimited.
func streamLimit(usableMemory int64) int {
	if usableMemory <= 0 {
		return 0
	}
	return max(minStreams, int(float64(usableMemory)*streamMemoryShare)/streamMemory)
}

// messageLimit returns the size of a message in bytes that is taken from a caller.
func messageLimit(usableMemory int64) int {
	if usableMemory <= 0 {
		return MaxMessageBytes
	}
	return min(MaxMessageBytes, max(minMessageBytes, int(float64(usableMemory)*messageMemoryShare)))
}

// listenAt listens on an address. After the prefix unix:, the address is the path of a Unix socket with socketMode.
func listenAt(environment env.Environment, address string) (net.Listener, error) {
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		return env.ListenUnix(path, socketMode)
	}
	return environment.Listen(address)
}

// admitStream refuses a new stream of a caller that may open none, and delays one of a caller that breaks off many. gRPC
// calls it in the goroutine that reads the connection, before any resources are allocated for the stream, so a delay slows
// only that connection.
func (l *Listener) admitStream(ctx context.Context, _ *tap.Info) (context.Context, error) {
	caller := callerName(ctx)
	if !l.AdmitsStream(caller) {
		time.Sleep(refusalDelay)
		return nil, status.Error(codes.ResourceExhausted, extproc.EndedOverLimit.Error())
	}
	if l.IsSlowed(caller) {
		time.Sleep(refusalDelay)
	}
	return ctx, nil
}

// Addr returns the address of the listener.
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

// logAnomalies logs the counts of anomalies whenever they have changed, at most once per anomalyLogInterval.
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

// Reload applies the parts of a new configuration that can be used: later requests use the new table, and new
// connections use the new certificates. Open streams and lookups continue. Reload returns an error for each part that
// is refused, which stays as it is.
func (l *Listener) Reload(configuration *config.Config) error {
	updated := configuration.ExternalProcessor
	if updated == nil {
		return ErrNeedsRestart
	}
	var needsRestart error
	if updated.Listen != l.address || (updated.TLS != nil) != (l.certificates != nil) {
		needsRestart = ErrNeedsRestart
	}
	if err := errors.Join(needsRestart, l.reloadTable(updated.Table), l.reloadCertificates(updated.TLS)); err != nil {
		return err
	}
	l.environment.Log().Info("extproc_reloaded", "kind", "external_processor", "rules", len(updated.Table))
	return nil
}

func (l *Listener) reloadTable(rules []config.LookupRule) error {
	table, err := route.Compile(rules, l.kinds)
	if err != nil {
		return err
	}
	l.SetTable(table)
	return nil
}

// reloadCertificates replaces the certificates, if the Listener has any and the new configuration names some.
func (l *Listener) reloadCertificates(files *config.TLS) error {
	if l.certificates == nil || files == nil {
		return nil
	}
	certificates, err := LoadCertificates(files)
	if err != nil {
		return err
	}
	l.certificates.ReplaceWith(certificates)
	return nil
}

// Drain stops the retries of open lookups, and once no caller is about to request a lookup again, announces the shutdown
// through health checks and GOAWAY and refuses new streams. Drain does not wait. Open streams go on.
func (l *Listener) Drain() {
	go func() {
		l.StopRetries()
		l.health.Shutdown()
		l.grpc.GracefulStop() // returns after the last stream, or when Run stops the server
		close(l.streamsEnded)
	}()
}

// Wait waits until no lookups are open, and then up to finalAnswerTimeout for the streams to end, so that their callers
// receive the answers that are on their way. Drain must have been called.
func (l *Listener) Wait() {
	for l.OpenLookups() > 0 {
		l.environment.NewNotifier().Wait(drainPollInterval)
	}
	select {
	case <-l.streamsEnded:
	case <-time.After(finalAnswerTimeout):
	}
}
