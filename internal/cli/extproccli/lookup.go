package extproccli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"foldslip/client"
	"foldslip/internal/cli/program"
)

// lookupIDHeader is the request header with the lookup's id.
const lookupIDHeader = "X-Job-Id"

type lookupCommand struct {
	Path     string        `arg:"" help:"Path of the request, such as /call/segment/7f3a/part-3."`
	Address  string        `name:"door" default:"127.0.0.1:18200" help:"Address of the external processor: host and port, or unix:/path."`
	Header   []string      `short:"H" help:"Request header as 'name: value'. X-Job-Id gets a random value if it is not given."`
	Outcomes []string      `name:"end" default:"hit" help:"Outcomes to report for the attempts, in order; the last one is reported for all further attempts: hit, valid, none, shed, fault, late, timeout, unconnected, reset."`
	Age      time.Duration `name:"born" default:"0s" help:"Age of the copy in the reported outcomes."`
	CA       string        `help:"PEM file of the certificate authority of the external processor. Without it the connection does not use TLS."`
	Cert     string        `help:"PEM file of the client certificate."`
	Key      string        `help:"PEM file of the key of the client certificate."`
	Timeout  time.Duration `default:"10s" help:"Time limit of the whole lookup."`
	JSON     bool          `help:"Print JSON."`
}

// Run requests the decisions for one lookup and reports an outcome for each without carrying out the attempt. It fails
// unless the lookup is satisfied.
func (c *lookupCommand) Run(streams *program.Streams) error {
	credentials, err := c.transportCredentials()
	if err != nil {
		return err
	}
	header, err := c.requestHeader()
	if err != nil {
		return err
	}
	conn, err := c.connect(credentials)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	start := time.Now()
	result, err := client.New(conn).Lookup(ctx, client.Request{Path: c.Path, Header: header}, func(_ context.Context, decision client.Decision) client.AttemptOutcome {
		outcome := c.outcomeOf(decision.Attempt)
		if !c.JSON {
			printDecision(streams.Out, decision, outcome.Word)
		}
		return outcome
	})
	if err != nil {
		return fmt.Errorf("the door at %s: %w; check that it listens there and accepts this client", c.Address, err)
	}
	elapsed := time.Since(start)
	if c.JSON {
		printResultJSON(streams.Out, result, elapsed)
	} else {
		printResult(streams.Out, result, elapsed)
	}
	if result.Kind != client.Satisfied {
		return program.ReportedError{Err: program.Failedf("lookup %s", result.Kind)}
	}
	return nil
}

// requestHeader parses the headers on the command line. If they have no lookup id, it adds a random one.
func (c *lookupCommand) requestHeader() (http.Header, error) {
	header := http.Header{}
	for _, line := range c.Header {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, program.UsageErrorf("--header %q: expected 'name: value'", line)
		}
		header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	if header.Get(lookupIDHeader) == "" {
		var id [8]byte
		rand.Read(id[:])
		header.Set(lookupIDHeader, hex.EncodeToString(id[:]))
	}
	return header, nil
}

// outcomeOf returns the outcome to report for an attempt. Attempts beyond the outcomes
// on the command line get the last one.
func (c *lookupCommand) outcomeOf(attempt int) client.AttemptOutcome {
	outcome := client.AttemptOutcome{
		Word:      c.Outcomes[min(attempt, len(c.Outcomes)-1)],
		CreatedAt: time.Now().Add(-c.Age),
	}
	if outcome.Word == client.WordHit {
		outcome.Note = "hit"
	}
	return outcome
}

func printDecision(out io.Writer, decision client.Decision, reported string) {
	fmt.Fprintf(out, "send %d to %s at %s, source %s, rank %d, mode %s, wait at most %v; reported as %s\n", decision.Attempt, decision.Cache,
		decision.Addr, orNone(decision.Source), decision.Rank, orNone(decision.Mode), decision.Timeout.Round(time.Microsecond), reported)
	if decision.Version > 0 {
		fmt.Fprintf(out, "  by route %q of version %d\n", decision.Route, decision.Version)
	}
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

func printResult(out io.Writer, result client.Result, elapsed time.Duration) {
	fmt.Fprintf(out, "%s, status %d", result.Kind, result.Status)
	if result.Text != "" {
		fmt.Fprintf(out, " (%s)", result.Text)
	}
	if result.RetryAfter > 0 {
		fmt.Fprintf(out, ", again in %v", result.RetryAfter)
	}
	fmt.Fprintf(out, ", after %v\n", elapsed.Round(10*time.Microsecond))
}

func printResultJSON(out io.Writer, result client.Result, elapsed time.Duration) {
	json.NewEncoder(out).Encode(map[string]any{
		"result":  result.Kind.String(),
		"status":  result.Status,
		"text":    result.Text,
		"wait_ms": result.RetryAfter.Milliseconds(),
		"sends":   result.Attempts,
		"took_us": elapsed.Microseconds(),
	})
}
