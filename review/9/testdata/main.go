// Command case9 shows whether the lookups that another proxy has asked for get their final answers over a planned
// restart of the gateway.
package main

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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"foldslip/client"
)

const (
	deadline   = 5 * time.Second        // of the object kind
	lastAfter  = 600 * time.Millisecond // after SIGTERM: the platform's requests have stopped by then
	servedIn   = 600 * time.Millisecond // by a cache
	resetAfter = 550 * time.Millisecond // of a connection that is reset under its request
	resetShare = 4                      // one request in so many
)

func main() {
	root, folder := os.Args[1], os.Args[2]
	record := openRecord(filepath.Join(folder, "record.txt"))
	dir, err := os.MkdirTemp("", "case9-")
	if err != nil {
		os.Exit(cantRun)
	}
	p := newPlatform(root, dir, record)
	hasTrouble := os.Getenv("TROUBLE") != "0"

	var received atomic.Int64
	handle := func(r *cacheRequest) {
		if received.Add(1)%resetShare == 0 {
			time.Sleep(resetAfter)
			record.log("%s: resets the connection under %s", r.server.id, r.id)
			r.reset()
			return
		}
		time.Sleep(servedIn)
		r.hit(time.Now().Add(-time.Minute), "hit", "object "+r.fields["k"])
	}
	var rows []member
	addFlavor := func(flavor string, ids ...string) {
		for _, id := range ids {
			rows = append(rows, member{ID: id, HostPort: newCacheServer(id, handle).addr, Locality: "kuzey", Flavor: flavor, Phase: "up", Size: 1})
		}
	}
	addFlavor("edge", "c1", "c2", "c3", "c4")
	addFlavor("parent", "p1")
	addFlavor("origin", "o1")
	// Four gateways of the store, of which one is restarted. The caller spreads its lookups over their doors.
	const gateways = 4
	var first *gateway
	callers := make([]*client.Client, gateways)
	for n := range gateways {
		news := newBulletin(record)
		news.restart(roster(true, rows...))
		door, name, addr := freeAddr(), fmt.Sprintf("n%d", n+1), freeAddr()
		operators := filepath.Join(dir, name+".jsonnet")
		p.must(os.WriteFile(operators, []byte(fmt.Sprintf(`{ external_processor: { listen: '%s', table: [{
	  path: '/call/{kind}/{object}/part-{part}', kind: 'path:kind', object: 'path:object', part: 'path:part',
	  group: 'header:x-group', kb: 'header:x-ram-kb', id: 'header:x-job-id', allow_ms: 'header:x-allow-ms' }] } }`, door)), 0o600))
		config := gatewayConfig(name, addr, news.addr, gateways, []map[string]any{video(), photo()}, news.events)
		g := p.start(name, addr, " serve --doors", config, "FOLDSLIP_SETTINGS="+operators)
		if n == 0 {
			first = g
		}
		conn, err := grpc.NewClient(door, grpc.WithTransportCredentials(insecure.NewCredentials()))
		p.must(err)
		defer conn.Close()
		callers[n] = client.New(conn)
	}

	// The caller's lookups: 150 a second.
	var mu sync.Mutex
	results, lost, taken := map[string]int{}, 0, 0
	lookup := func(n int, at time.Time) {
		r := request{id: newID(), kind: "video-parca", object: fmt.Sprintf("object%02d", n%40), allow: deadline, group: n % 40, kb: 2400}
		ctx, cancel := context.WithDeadline(context.Background(), at.Add(deadline+500*time.Millisecond))
		defer cancel()
		header := http.Header{"X-Job-Id": {r.id}, "X-Group": {strconv.Itoa(r.group)}, "X-Ram-Kb": {"2400"}, "X-Allow-Ms": {strconv.FormatInt(deadline.Milliseconds(), 10)}}
		result, err := callers[n%gateways].Lookup(ctx, client.Request{Path: "/call/video-parca/" + r.object + "/part-0", Header: header}, func(ctx context.Context, d client.Decision) client.AttemptOutcome {
			outcome := send(ctx, r, d)
			record.log("caller: %s send %d to %s: %s", r.id, d.Attempt, d.Cache, outcome.Word)
			return outcome
		})
		mu.Lock()
		defer mu.Unlock()
		word := result.Kind.String()
		if err != nil {
			word = "no final answer"
		}
		results[word]++
		if len(result.Attempts) > 0 {
			taken++
			if err != nil {
				lost++
			}
		}
		record.log("caller: %s of n%d after %d sends and %.3f s: %s %v", r.id, n%gateways+1, len(result.Attempts), time.Since(at).Seconds(), word, err)
	}
	var lookups sync.WaitGroup
	started := time.Now()
	var endedAt time.Time
	for n := 0; ; n++ {
		if endedAt.IsZero() && time.Since(started) > 3*time.Second {
			endedAt = time.Now()
			if hasTrouble {
				p.signal(first, syscall.SIGTERM)
			}
		}
		if !endedAt.IsZero() && time.Since(endedAt) > lastAfter {
			break
		}
		lookups.Add(1)
		go func() {
			defer lookups.Done()
			lookup(n, time.Now())
		}()
		time.Sleep(time.Second / 150)
	}
	if hasTrouble {
		go func() {
			select {
			case <-first.exited:
			case <-time.After(3700*time.Millisecond - lastAfter):
				p.signal(first, syscall.SIGKILL)
			}
		}()
	}
	lookups.Wait()
	p.end()
	record.say("lookups by result: %v; the gateway had taken %d of them", results, taken)
	if lost > 0 {
		record.say("BROKEN: %d lookups that the gateway had taken got no final answer", lost)
		os.Exit(broken)
	}
	record.say("held: each lookup that the gateway had taken got its final answer")
}

// send makes the one send that was decided, on a connection of its own.
func send(ctx context.Context, r request, d client.Decision) client.AttemptOutcome {
	conn, err := (&net.Dialer{Timeout: 400 * time.Millisecond}).DialContext(ctx, "tcp", d.Addr)
	if err != nil {
		return client.AttemptOutcome{Word: client.WordUnconnected}
	}
	defer conn.Close()
	end, _ := ctx.Deadline()
	conn.SetDeadline(end)
	fields := fmt.Sprintf("c=%s,k=%s,p=0,w=%d", r.kind, r.object, max(1, d.Timeout.Milliseconds()))
	if d.Source != "" {
		fields += ",from=" + d.Source
	}
	if d.Rank > 0 {
		fields += ",rank=" + strconv.Itoa(d.Rank)
	}
	if d.Mode != "" {
		fields += ",mode=" + d.Mode
	}
	fmt.Fprintf(conn, "do %s %s 0\r\n\r\n", r.id, fields)
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	words := strings.Fields(line)
	if err != nil || len(words) != 4 || words[1] != "HIT" {
		return client.AttemptOutcome{Word: client.WordReset}
	}
	length, _ := strconv.Atoi(words[3])
	if _, err := io.ReadFull(in, make([]byte, length+2)); err != nil {
		return client.AttemptOutcome{Word: client.WordReset}
	}
	outcome := client.AttemptOutcome{Word: client.WordHit}
	for _, field := range strings.Split(words[2], ",") {
		switch name, value, _ := strings.Cut(field, "="); name {
		case "note":
			outcome.Note = value
		case "ver":
			outcome.ETag = value
		case "born":
			ms, _ := strconv.ParseInt(value, 10, 64)
			outcome.CreatedAt = time.UnixMilli(ms)
		}
	}
	return outcome
}
