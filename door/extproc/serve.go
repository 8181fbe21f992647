package extproc

import (
	"errors"
	"net"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"

	"foldslip/clock"
	"foldslip/retry"
	"foldslip/route"
	"foldslip/service"
)

const (
	waitAgain   = 10 * time.Millisecond
	idleCaller  = 5 * time.Minute
	probeCaller = 20 * time.Second // a caller that says nothing is asked whether it is there
)

// Door is the service with its listener.
type Door struct {
	*Server
	g        clock.Ground
	listener net.Listener
	grpc     *grpc.Server
	health   *health.Server
}

// Doors opens the door that the operators' settings name, if they name one.
func Doors(in service.Inside) ([]service.Door, error) {
	x := in.Own.ExternalProcessor
	if x == nil {
		return nil, nil
	}
	table, err := route.Compile(x.Table, in.Terms.Kinds)
	if err != nil {
		return nil, err
	}
	at, err := in.Ground.Listen(x.Listen)
	if err != nil {
		return nil, err
	}
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	d := &Door{g: in.Ground, listener: at, health: health.NewServer(),
		Server: New(in.Ground, in.Terms, in.Router, in.Caches, in.Room, table, retry.Terms{Lookups: int(x.Lookups), Each: int(x.Each),
			AgainIn: ms(x.AgainMS), Remember: ms(x.RememberMS)}),
		grpc: grpc.NewServer(grpc.MaxRecvMsgSize(MostMessage), grpc.MaxConcurrentStreams(uint32(x.Streams)),
			grpc.MaxHeaderListSize(MostMessage), grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleCaller, Time: probeCaller,
				Timeout: probeCaller}))}
	extprocv3.RegisterExternalProcessorServer(d.grpc, d.Server)
	healthv1.RegisterHealthServer(d.grpc, d.health)
	in.Ground.Log().Info("door", "kind", "external_processor", "listen", x.Listen, "rules", len(x.Table))
	return []service.Door{d}, nil
}

// Run serves until life ends.
func (d *Door) Run(life *clock.Life) error {
	defer life.OnEnd(func() { go d.grpc.Stop() })()
	served := make(chan error, 1)
	go func() { served <- d.grpc.Serve(d.listener) }()
	d.Server.Run(life)
	if err := <-served; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	d.g.Log().Info("door_closed", "kind", "external_processor", "open", d.Open(), "odd", d.Odd())
	return nil
}

// Drain tells callers that this door closes, and takes no more streams.
func (d *Door) Drain() {
	d.health.Shutdown()
	go d.grpc.GracefulStop() // ends with the last stream, or with Run's life
}

// Wait waits for the lookups that are open.
func (d *Door) Wait() {
	for d.Open() > 0 {
		d.g.Bell().Wait(waitAgain)
	}
}
