// Package proxy is a stand-in of another proxy that calls a gateway's external processor. It asks with the project's own
// client, makes each decided attempt once at the cache that was named, and reports how it ended.
package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"foldslip/client"
	"foldslip/review/testdata/stand"
)

// settings are the operators' settings, with the defaults of docs/external-processor.md for all that is left out.
const settings = `{ external_processor: { listen: '%s', table: [{
  path: '/call/{kind}/{object}/part-{part}', kind: 'path:kind', object: 'path:object', part: 'path:part',
  group: 'header:x-group', kb: 'header:x-ram-kb', id: 'header:x-job-id', allow_ms: 'header:x-allow-ms', tag: 'header:if-none-match',
}] } }
`

// Configure makes a gateway that has not started yet run its external processor at a free address, which is returned.
// The command is that of the deploy file with the arguments of docs/external-processor.md.
func Configure(w *stand.World, g *stand.Gateway) (addr string, err error) {
	addr = stand.FreePort()
	path := filepath.Join(w.Dir, g.Name+".jsonnet")
	if err := os.WriteFile(path, fmt.Appendf(nil, settings, addr), 0o644); err != nil {
		return "", err
	}
	g.Run += " serve --doors"
	g.Env = []string{"FOLDSLIP_SETTINGS=" + path}
	return addr, nil
}

// Proxy calls one external processor.
type Proxy struct {
	client *client.Client
	conn   *grpc.ClientConn
	record *stand.Record
}

// New returns a proxy that calls the external processor at an address.
func New(addr string, record *stand.Record) (*Proxy, error) {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	return &Proxy{client: client.New(conn), conn: conn, record: record}, nil
}

// Close closes the proxy's connection.
func (p *Proxy) Close() { p.conn.Close() }

// Ask brings one request to the processor, makes the attempts that it decides, and returns the final answer.
func (p *Proxy) Ask(r *stand.Request) (client.Result, error) {
	if r.ID == "" {
		r.ID = stand.NewID()
	}
	h := http.Header{}
	h.Set("x-job-id", r.ID)
	h.Set("x-allow-ms", strconv.FormatInt(r.Allow.Milliseconds(), 10))
	h.Set("x-ram-kb", strconv.FormatFloat(r.KB, 'g', -1, 64))
	h.Set("x-group", strconv.Itoa(r.Group))
	ctx, cancel := context.WithTimeout(context.Background(), r.Allow)
	defer cancel()
	path := fmt.Sprintf("/call/%s/%s/part-%d", r.Kind, r.Object, r.Part)
	return p.client.Lookup(ctx, client.Request{Path: path, Header: h}, func(ctx context.Context, d client.Decision) client.AttemptOutcome {
		outcome := attempt(ctx, r, d)
		p.record.Line("lookup %s attempt %d at %s: %s %s", r.ID, d.Attempt, d.Cache, outcome.Word, outcome.Note)
		return outcome
	})
}

var words = map[string]string{"HIT": client.WordHit, "VALID": client.WordValid, "NONE": client.WordNone, "SHED": client.WordShed,
	"FAULT": client.WordFault, "LATE": client.WordLate}

// attempt makes one attempt, on a connection of its own.
func attempt(ctx context.Context, r *stand.Request, d client.Decision) client.AttemptOutcome {
	dialer := net.Dialer{Timeout: 400 * time.Millisecond}
	conn, err := dialer.DialContext(ctx, "tcp", d.Addr)
	if err != nil {
		return client.AttemptOutcome{Word: client.WordUnconnected}
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	fields := fmt.Sprintf("c=%s,k=%s,p=%d,w=%d", r.Kind, r.Object, r.Part, max(1, d.Timeout.Milliseconds()))
	if d.Source != "" {
		fields += ",from=" + d.Source
	}
	if d.Rank > 0 {
		fields += ",rank=" + strconv.Itoa(d.Rank)
	}
	if d.MaxAge > 0 {
		fields += ",oldest=" + strconv.FormatInt(d.MaxAge.Milliseconds(), 10)
	}
	if d.Mode != "" {
		fields += ",mode=" + d.Mode
	}
	if _, err := fmt.Fprintf(conn, "do %s %s 0\r\n\r\n", r.ID, fields); err != nil {
		return client.AttemptOutcome{Word: client.WordReset}
	}
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	parts := strings.Fields(line)
	if err == nil && len(parts) == 4 {
		length, _ := strconv.Atoi(parts[3])
		_, err = io.ReadFull(reader, make([]byte, length+2))
	}
	switch {
	case ctx.Err() != nil || os.IsTimeout(err):
		return client.AttemptOutcome{Word: client.WordTimeout}
	case err != nil || len(parts) != 4 || words[parts[1]] == "":
		return client.AttemptOutcome{Word: client.WordReset}
	}
	outcome := client.AttemptOutcome{Word: words[parts[1]]}
	for _, f := range strings.Split(parts[2], ",") {
		name, value, _ := strings.Cut(f, "=")
		switch name {
		case "note":
			outcome.Note = value
		case "ver":
			outcome.ETag = value
		case "born":
			ms, _ := strconv.ParseInt(value, 10, 64)
			outcome.CreatedAt = time.UnixMilli(ms)
		case "waited":
			ms, _ := strconv.ParseFloat(value, 64)
			outcome.SourceWait = time.Duration(ms * float64(time.Millisecond))
		}
	}
	return outcome
}
