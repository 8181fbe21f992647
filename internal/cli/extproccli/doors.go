// Package extproccli is the command line of foldslip-extproc: the gateway with the door for other proxies, and a client of that door.
// It is a program of its own since its libraries take memory from the start that a gateway of 32 MB has not.
// Exit status as of package cli: 0 done, 1 what was asked for failed (a lookup nacked, failed or refused), 2 it could not be
// asked for like that.
package extproccli

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"foldslip/client"
	"foldslip/internal/env"
	"foldslip/internal/extproc"
	"foldslip/internal/extproc/extprocgrpc"
	"foldslip/internal/gateway"
)

// programName is what messages call the program.
const programName = "foldslip-extproc"

type commands struct {
	Lookup lookupCommand `name:"ask" cmd:"" help:"Ask a door for one lookup and print its decisions and the end. The sends are not made: --end says how each is to be reported."`
	Serve  serve         `cmd:"" default:"withargs" help:"Be the gateway with the doors that the operators' settings name."`
}

// Main runs the command that args name and gives the exit status.
func Main(args []string, out, errs io.Writer) (status int) {
	var all commands
	parser, err := kong.New(&all, kong.Name(programName), kong.Writers(out, errs), kong.BindTo(out, (*io.Writer)(nil)),
		kong.Description("foldslip with the door for other proxies (external processing)."), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Exit(func(code int) { panic(exitCode(code)) }))
	if err != nil {
		fmt.Fprintln(errs, programName+":", err)
		return 2
	}
	defer func() {
		if p := recover(); p != nil {
			code, ok := p.(exitCode)
			if !ok {
				panic(p)
			}
			status = int(code)
		}
	}()
	asked, err := parser.Parse(args)
	if err == nil {
		if err = asked.Run(); err == nil {
			return 0
		}
	} else {
		err = usageError{err}
	}
	if err != errReported {
		fmt.Fprintln(errs, programName+":", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if errors.As(err, new(usageError)) {
		return 2
	}
	return 1
}

type exitCode int

// usageError is an error of whoever asks.
type usageError struct{ error }

var errReported = errors.New("told already")

type serve struct {
	Settings string `env:"FOLDSLIP_SETTINGS" required:"" help:"The operators' settings, a Jsonnet template with external_processor."`
	LogLevel string `enum:"debug,info,warn,error" default:"info" help:"The least level that is logged: ${enum}."`
}

func (s *serve) Run() error {
	var least slog.Level
	least.UnmarshalText([]byte(s.LogLevel)) // kong has checked it
	os.Setenv("FOLDSLIP_SETTINGS", s.Settings)
	g := env.NewSystem(os.Stderr, least)
	if g.Getenv("ROUTER_CONFIG") == "" {
		return usageError{errors.New("ROUTER_CONFIG is not set: name the gateway's configuration file in it, see docs/external-processor.md (Start)")}
	}
	if err := gateway.Run(g, gateway.Hooks{NewServices: openServices}); err != nil {
		g.Log().Error("ended", "text", err.Error())
		return errReported
	}
	return nil
}

// openServices opens the external processor that the configuration names, if it names one.
func openServices(in gateway.Dependencies) ([]gateway.Service, error) {
	if in.Config.ExternalProcessor == nil {
		return nil, nil
	}
	listener, err := extprocgrpc.Listen(in.Name, extproc.Dependencies{
		Environment: in.Environment,
		Settings:    in.Settings,
		Dispatcher:  in.Dispatcher,
		Caches:      in.Registry,
		Purges:      in.Purges,
		Admission:   in.Admission,
		Routes:      in.Routes,
	}, in.Config.ExternalProcessor)
	if err != nil {
		return nil, err
	}
	return []gateway.Service{listener}, nil
}

type lookupCommand struct {
	Path     string        `arg:"" help:"Path of the request, as /call/segment/7f3a/part-3."`
	Address  string        `name:"door" default:"127.0.0.1:18200" help:"Where the door listens: an address and port, or unix:/path."`
	Header   []string      `short:"H" help:"A header as 'name: value'; X-Job-Id is drawn if it is not given."`
	Outcomes []string      `name:"end" default:"hit" help:"How the sends end, one after the other; the last for all that follow: hit, valid, none, shed, fault, late, timeout, unconnected, reset."`
	Age      time.Duration `name:"born" default:"0s" help:"Age of the copy that is reported."`
	CA       string        `help:"The door's certificate authority, PEM; none: no TLS."`
	Cert     string        `help:"Own certificate, PEM."`
	Key      string        `help:"Its key."`
	Timeout  time.Duration `default:"10s" help:"For all of it."`
	JSON     bool          `help:"Print JSON."`
}

func (a *lookupCommand) Run(out io.Writer) error {
	creds := insecure.NewCredentials()
	if a.CA != "" {
		c, err := a.tlsConfig()
		if err != nil {
			return usageError{err}
		}
		creds = credentials.NewTLS(c)
	}
	header := http.Header{}
	for _, h := range a.Header {
		name, v, ok := strings.Cut(h, ":")
		if !ok {
			return usageError{fmt.Errorf("--header %q: expected 'name: value'", h)}
		}
		header.Add(strings.TrimSpace(name), strings.TrimSpace(v))
	}
	if header.Get("X-Job-Id") == "" {
		var id [8]byte
		rand.Read(id[:])
		header.Set("X-Job-Id", hex.EncodeToString(id[:]))
	}
	conn, err := grpc.NewClient(grpcTarget(a.Address), grpc.WithTransportCredentials(creds))
	if err != nil {
		return usageError{fmt.Errorf("--door %q: %w", a.Address, err)}
	}
	defer conn.Close()
	ctx, stop := context.WithTimeout(context.Background(), a.Timeout)
	defer stop()
	began := time.Now()
	o, err := client.New(conn).Lookup(ctx, client.Request{Path: a.Path, Header: header}, func(_ context.Context, d client.Decision) client.AttemptOutcome {
		e := client.AttemptOutcome{Word: a.Outcomes[min(d.Attempt, len(a.Outcomes)-1)], CreatedAt: time.Now().Add(-a.Age)}
		if e.Word == "hit" {
			e.Note = "hit"
		}
		if !a.JSON {
			fmt.Fprintf(out, "send %d to %s at %s, source %s, rank %d, mode %s, wait at most %v; reported as %s\n", d.Attempt, d.Cache, d.Addr, orNone(d.Source), d.Rank, orNone(d.Mode),
				d.Timeout.Round(time.Microsecond), e.Word)
			if d.Version > 0 {
				fmt.Fprintf(out, "  by route %q of version %d\n", d.Route, d.Version)
			}
		}
		return e
	})
	if err != nil {
		return fmt.Errorf("the door at %s: %w; see whether it listens there and takes this caller", a.Address, err)
	}
	if a.JSON {
		json.NewEncoder(out).Encode(map[string]any{"result": o.Kind.String(), "status": o.Status, "text": o.Text, "wait_ms": o.RetryAfter.Milliseconds(),
			"sends": o.Attempts, "took_us": time.Since(began).Microseconds()})
	} else {
		fmt.Fprintf(out, "%s, status %d", o.Kind, o.Status)
		if o.Text != "" {
			fmt.Fprintf(out, " (%s)", o.Text)
		}
		if o.RetryAfter > 0 {
			fmt.Fprintf(out, ", again in %v", o.RetryAfter)
		}
		fmt.Fprintf(out, ", after %v\n", time.Since(began).Round(10*time.Microsecond))
	}
	if o.Kind != client.Satisfied {
		return errReported
	}
	return nil
}

func orNone(v string) string {
	if v == "" {
		return "none"
	}
	return v
}

// grpcTarget is a door's address as gRPC has it; what it resolves is an address as it stands, never a name.
func grpcTarget(at string) string {
	if strings.HasPrefix(at, "unix:") {
		return at
	}
	return "passthrough:///" + at
}

func (a *lookupCommand) tlsConfig() (*tls.Config, error) {
	text, err := os.ReadFile(a.CA)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	host, _, _ := net.SplitHostPort(a.Address)
	if host == "" {
		host = "localhost"
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool(), ServerName: host}
	if !c.RootCAs.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("--ca %s: no certificate in it", a.CA)
	}
	if a.Cert != "" {
		pair, err := tls.LoadX509KeyPair(a.Cert, a.Key)
		if err != nil {
			return nil, fmt.Errorf("--cert, --key: %w", err)
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return c, nil
}
