package gateway

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"foldslip/example/standin"
)

// Objects reach the client complete and unchanged when requests
// arrive in pieces and several of them share one connection.
func TestObjectsArriveCompleteAndUnchanged(t *testing.T) {
	big := strings.Repeat("\r\n\x00 0a HIT - 3\r\n", 16000)[:240000]
	g := startGateway(t, func(_ int, request standin.Request) { request.Hit(time.Now(), "filled", big) })
	c := g.dial()
	for range 3 {
		text := g.lookup("segment", "%6fbject")
		for _, piece := range []string{text[:9], text[9:60], text[60:]} {
			io.WriteString(c, piece)
			time.Sleep(5 * time.Millisecond)
		}
		if response, body := c.response(t); response.StatusCode != 200 || body != big {
			t.Fatalf("status %d, %d bytes; expected 200 and the unchanged object", response.StatusCode, len(body))
		}
	}
	io.WriteString(c, g.lookup("segment", "object", "Connection: close\r\n")+g.lookup("segment", "never"))
	if response, _ := c.response(t); !response.Close {
		t.Error("the response to a request with Connection: close does not announce the close")
	}
	if n, _ := io.Copy(io.Discard, c.in); n > 0 {
		t.Errorf("%d bytes after the last response, expected none", n)
	}
}

// A client that holds the current copy gets 304 with the ETag of that copy.
func TestNotModified(t *testing.T) {
	g := startGateway(t, func(_ int, request standin.Request) {
		if request.Fields["seen"] != "v1" || request.Fields["c"] != "segment" || request.Fields["k"] != "o" || request.Fields["p"] != "3" {
			request.Respond("NONE", "-")
			return
		}
		request.Respond("VALID", fmt.Sprintf("note=hit,ver=v1,born=%d", time.Now().UnixMilli()))
	})
	response, body := g.sendLookup("segment", "o", "If-None-Match: \"v1\"\r\n")
	g.expectStatus(304, response)
	if body != "" || response.Header.Get("ETag") != `"v1"` {
		t.Errorf("body %q, ETag %q; expected no body and the ETag \"v1\"", body, response.Header.Get("ETag"))
	}
}

// The response to a rejected lookup says after which time to retry.
func TestRejectedWithRetryAfter(t *testing.T) {
	g := startGateway(t, func(_ int, request standin.Request) { request.Respond("SHED", "-") })
	response, _ := g.sendLookup("segment", "o")
	g.expectStatus(503, response)
	if response.Header.Get("X-Wait-Ms") != "2000" {
		t.Errorf("X-Wait-Ms is %q, expected 2000", response.Header.Get("X-Wait-Ms"))
	}
}

// A lookup with side effects that may have run at a cache fails and is not sent again.
func TestLookupThatMayHaveRunFails(t *testing.T) {
	var mu sync.Mutex
	attempts := 0
	g := startGateway(t, func(_ int, request standin.Request) {
		mu.Lock()
		attempts++
		mu.Unlock()
		request.Respond("FAULT", "-")
	})
	response, _ := g.sendLookup("page", "o")
	g.expectStatus(502, response)
	mu.Lock()
	defer mu.Unlock()
	if attempts != 1 {
		t.Errorf("%d attempts, expected 1", attempts)
	}
}

// When a client closes its connection, its attempt is cancelled. A late response to that attempt is dropped by its id.
func TestClientThatLeavesCancelsItsAttempt(t *testing.T) {
	received := make(chan standin.Request, 9)
	g := startGateway(t, func(_ int, request standin.Request) { received <- request })
	c := g.dial()
	io.WriteString(c, g.lookup("segment", "o"))
	request := mustReceive(t, received)
	c.Close()
	var cancelled string
	select {
	case cancelled = <-g.edges[0].Cancelled:
	case cancelled = <-g.edges[1].Cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("the attempt was not cancelled within 5 s")
	}
	if cancelled != request.ID {
		t.Errorf("request %q was cancelled, expected %q", cancelled, request.ID)
	}
	request.Hit(time.Now(), "hit", "late") // dropped by its id, and the connection stays open
	c = g.dial()
	io.WriteString(c, g.lookup("segment", "o"))
	next := mustReceive(t, received)
	next.Hit(time.Now(), "hit", "ok")
	if next.Conn != request.Conn {
		t.Error("the late response closed the connection to the cache")
	}
	if _, body := c.response(t); body != "ok" {
		t.Errorf("body %q, expected ok", body)
	}
}

// A lookup is rejected by its deadline if the caches do not respond.
func TestSilentCachesGiveAResponseByTheDeadline(t *testing.T) {
	g := startGateway(t, func(int, standin.Request) {})
	for allowedMS, limit := range map[int]time.Duration{400: 2 * time.Second, 3600000: 6 * time.Second} {
		startedAt := time.Now()
		response, _ := g.sendLookup("segment", "o", fmt.Sprintf("X-Allow-Ms: %d\r\n", allowedMS))
		g.expectStatus(503, response)
		if time.Since(startedAt) > limit {
			t.Errorf("response after %v to a lookup that allows %d ms", time.Since(startedAt), allowedMS)
		}
	}
}

// At its limit of open lookups the gateway rejects further ones. It admits lookups again when there is capacity.
func TestLookupsPastTheBoundAreRejected(t *testing.T) {
	received := make(chan standin.Request, 9)
	g := startGateway(t, func(_ int, request standin.Request) { received <- request },
		map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 0.125, "sockets": 6}}) // enough for one open lookup
	first := g.dial()
	io.WriteString(first, g.lookup("segment", "o"))
	request := mustReceive(t, received)
	second := g.dial()
	for range 2 {
		io.WriteString(second, g.lookup("segment", "o"))
		response, _ := second.response(t)
		g.expectStatus(503, response)
	}
	request.Hit(time.Now(), "hit", "first")
	if _, body := first.response(t); body != "first" {
		t.Errorf("body %q, expected first", body)
	}
	io.WriteString(second, g.lookup("segment", "o"))
	select {
	case request = <-received:
	case <-time.After(3 * time.Second):
		// The lookup was rejected. It arrived before the capacity of the first lookup
		// was released, which happens just after the response to that lookup is written.
		response, _ := second.response(t)
		g.expectStatus(503, response)
		io.WriteString(second, g.lookup("segment", "o"))
		request = mustReceive(t, received)
	}
	request.Hit(time.Now(), "hit", "second")
	if _, body := second.response(t); body != "second" {
		t.Errorf("body %q, expected second", body)
	}
}

// A connection above the limit is refused if all other connections have a lookup.
func TestConnectionPastTheBoundIsRefused(t *testing.T) {
	received := make(chan standin.Request, 9)
	g := startGateway(t, func(_ int, request standin.Request) { received <- request }, map[string]any{"limits": map[string]any{"sockets": 2}})
	g.waitLogged("reason=closed_by_client") // the connection of the ping
	c := g.dial()
	io.WriteString(c, g.lookup("segment", "o"))
	request := mustReceive(t, received)
	response, _ := g.sendLookup("segment", "o")
	g.expectStatus(503, response)
	if !response.Close {
		t.Error("the refused connection was left open")
	}
	request.Hit(time.Now(), "hit", "ok")
	response, _ = c.response(t)
	g.expectStatus(200, response)
}

// Many connections that send nothing are evicted before a connection that has had a lookup satisfied.
func TestSilentConnectionsAreEvictedFirst(t *testing.T) {
	g := startGateway(t, answerHit) // clients get half of the testDescriptors
	first := g.dial()
	lookup := func() {
		t.Helper()
		io.WriteString(first, g.lookup("segment", "o"))
		response, _ := first.response(t)
		g.expectStatus(200, response)
	}
	lookup()
	for range 120 {
		g.dial()
	}
	response, _ := g.sendLookup("segment", "o")
	g.expectStatus(200, response)
	lookup()
	g.waitFor("more than 60 evicted connections", func() bool { return strings.Count(g.log.String(), "reason=displaced") > 60 })
}

// A connection is closed within 3 s of connecting if its client sends nothing or half a request.
func TestSilentClientIsClosed(t *testing.T) {
	g := startGateway(t, answerHit)
	startedAt := time.Now()
	silent := g.dial()
	half := g.dial()
	for range 4 {
		io.WriteString(half, "GET /call/segment/o HTTP/1.1\r\n"[:7])
		time.Sleep(400 * time.Millisecond)
	}
	for _, c := range []*client{silent, half} {
		if _, err := c.in.ReadByte(); err == nil {
			t.Error("got a response to an incomplete request")
		}
	}
	if elapsed := time.Since(startedAt); elapsed > 3*time.Second || elapsed < 2*time.Second {
		t.Errorf("connections closed after %v, expected 2 s to 3 s", elapsed)
	}
}

// After a request whose head leaves its length in doubt, no further bytes of the connection are read as a lookup.
func TestRequestSmugglingIsRefused(t *testing.T) {
	received := make(chan standin.Request, 99)
	g := startGateway(t, func(_ int, request standin.Request) { received <- request })
	for _, headers := range [][]string{
		{"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n"}, {"transfer-encoding:chunked\r\n", "CONTENT-LENGTH: 0\r\n"},
		{"Transfer-Encoding: identity\r\n"}, {"Content-Length: 0\r\n", "Content-Length: 4\r\n"},
		{"Content-Length: -1\r\n"}, {"Content-Length: 60000000\r\n"}, {"Transfer-Encoding : chunked\r\n", "Content-Length: 0\r\n"},
		{"X-Odd: 1\r\n Transfer-Encoding: chunked\r\n"},
	} {
		c := g.dial()
		io.WriteString(c, g.lookup("segment", "first", headers...)+"0\r\n\r\n"+g.lookup("segment", "hidden"))
		response, _ := c.response(t)
		g.expectStatus(400, response)
		if !response.Close {
			t.Errorf("%q: the connection was left open", headers)
		}
		if n, _ := io.Copy(io.Discard, c.in); n > 0 {
			t.Errorf("%q: %d bytes after the response, expected none", headers, n)
		}
	}
	if len(received) > 0 {
		t.Errorf("%d attempts reached the caches, expected none", len(received))
	}
}

// A request that is not a valid lookup gets a response with the status of its fault.
func TestUnusableRequests(t *testing.T) {
	g := startGateway(t, answerHit)
	good := g.lookup("segment", "o")
	for _, tc := range []struct {
		text   string
		status int
		closes bool
	}{
		{"GET /call/segment/o HTTP/9\r\n\r\n", 505, true},
		{"nonsense\r\n\r\n", 400, true},
		{strings.Replace(good, "X-Group: 17", "X-Group: 256", 1), 400, true},
		{strings.Replace(good, "part-3", "part-x", 1), 400, true},
		{strings.Replace(good, "/o/", "/o%2/", 1), 400, true},
		{strings.Replace(good, "X-Ram-Kb: 40.5", "X-Ram-Kb: NaN", 1), 400, true},
		{strings.Replace(good, "X-Job-Id: 0", "X-Job-Id: g", 1), 400, true},
		{strings.Replace(good, "X-Ram-Kb: 40.5", "X-Allow-Ms: soon", 1), 400, true},
		{strings.Replace(good, "Host: x", "Host: "+strings.Repeat("x", 20000), 1), 431, true},
		{strings.Replace(good, "GET", "POST", 1), 405, true},
		{strings.Replace(good, "segment", "unknown", 1), 404, false},
		{strings.Replace(good, "/call", "/tell", 1), 404, true},
		{strings.Replace(good, "X-Ram-Kb: 40.5", "X-Allow-Ms: 0", 1), 503, false},
		{good, 200, false},
	} {
		c := g.dial()
		io.WriteString(c, tc.text)
		response, _ := c.response(t)
		g.expectStatus(tc.status, response)
		if tc.closes != response.Close {
			t.Errorf("%.40q: the response announces the close of the connection: %v", tc.text, response.Close)
		}
		c.Close()
	}
}
