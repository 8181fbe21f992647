package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"foldslip/example/standin"
	"foldslip/internal/admission"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/policy"
	"foldslip/internal/store/endpoints"
)

// The files under testdata/frozen were written by the build at 58d6067. What the gateway says to caches, to clients and to the
// discovery watch, and what it reads of them, stays to the byte whatever the code that does it is called.

// frozen compares what is written now with the file of that name.
func frozen(t *testing.T, name string, got []byte) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "frozen", name))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: other bytes than before:\n%s\nexpected:\n%s", name, got, want)
	}
}

// Each field of a request line alone, all of them together, and the line that gives a request up.
func TestFrozenLinesToCaches(t *testing.T) {
	const id = "00000000000000aa"
	b := appendRequestLine(nil, id, "segment", "7f3a", 0, 0, "", 0, 0, 0, "", "", nil)
	b = appendRequestLine(b, id, "segment", "7f3a", 3, 1, "", 0, 0, 0, "", "", nil)
	b = appendRequestLine(b, id, "segment", "7f3a", 3, 1000001, "", 0, 0, 0, "", "", nil)
	b = appendRequestLine(b, id, "segment", "7f3a", 0, 250000, "origin-1", 0, 0, 0, "", "", nil)
	b = appendRequestLine(b, id, "segment", "7f3a", 0, 250000, "", 2, 0, 0, "", "", nil)
	b = appendRequestLine(b, id, "segment", "7f3a", 0, 250000, "", 0, 999, 0, "", "", nil)
	b = appendRequestLine(b, id, "segment", "7f3a", 0, 250000, "", 0, 2500000, 0, "", "", nil)
	for mode := policy.FetchMode(0); mode < 16; mode++ {
		b = appendRequestLine(b, id, "segment", "7f3a", 0, 250000, "", 0, 0, mode, "", "", nil)
	}
	b = appendRequestLine(b, id, "segment", "7f3a", 0, 250000, "", 0, 0, 0, "4be0", "", nil)
	b = appendRequestLine(b, id, "order", "7f3a", 0, 250000, "", 0, 0, 0, "", "bcedd3", nil)
	b = appendRequestLine(b, id, "order", "7f3a", 0, 250000, "", 0, 0, 0, "", "", []byte("a\r\nb"))
	b = appendRequestLine(b, id, "order", "7f3a", 7, 1500000, "parent-2", 1, 60000000, policy.ModeCoalesce|policy.ModeRevalidate, "4be0", "bcedd3", []byte("all of them"))
	b = appendCancelLine(b, id)
	frozen(t, "lines-to-caches", b)
}

// Each kind of answer and each note, and answers that cannot be used.
func TestFrozenAnswersOfCaches(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "frozen", "answers"))
	if err != nil {
		t.Fatal(err)
	}
	var read bytes.Buffer
	for len(text) > 0 {
		a, size, err := parseResponse(text)
		if errors.Is(err, errIncomplete) || size == 0 {
			t.Fatalf("cannot be read on from %q: %v", text, err)
		}
		born := int64(0)
		if !a.createdAt.IsZero() {
			born = a.createdAt.UnixMicro()
		}
		fmt.Fprintf(&read, "%s ending=%d remark=%d waited=%d tag=%q born=%d same=%v bare=%v body=%q usable=%v\n", a.id, a.outcome, a.detail, a.sourceWait, a.etag,
			born, a.notModified, a.hasNoVersion, a.body, err == nil)
		text = text[size:]
	}
	frozen(t, "answers-as-read", read.Bytes())
}

// Events of the watch as they are told on to the list on disk, to peers and to the purges.
func TestFrozenDiscoveryEvents(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "frozen", "events"))
	if err != nil {
		t.Fatal(err)
	}
	b := newTestWatch(t)
	b.Settings.Zones, b.Settings.MachineTypes = []string{"town", "hill"}, []string{"edge", "parent"}
	var read bytes.Buffer
	b.OnUpdate = func(c endpoints.Update) {
		fmt.Fprintf(&read, " change last=%d whole=%v", c.LastEvent, c.Complete)
		for _, r := range c.Endpoints {
			fmt.Fprintf(&read, " row=[%s %s %s %s cell=%d size=%v up=%d phase=%d]", r.ID, r.Addr, r.Zone, r.MachineType, r.Cell, r.Size, r.StartedAt, r.Phase)
		}
		for _, p := range c.Purges {
			fmt.Fprintf(&read, " purge=[%q %d issued=%d]", p.Object, p.Group, p.IssuedAt)
		}
	}
	b.OnEvent = func(no int64, purges []dispatch.Purge) {
		fmt.Fprintf(&read, " event=%d", no)
		for _, p := range purges {
			fmt.Fprintf(&read, " purge=[%q %d issued=%d]", p.Object, p.Group, p.IssuedAt.UnixMicro())
		}
	}
	for _, line := range strings.Split(strings.TrimSuffix(string(text), "\n"), "\n") {
		read.WriteString(">")
		err := b.handleLine([]byte(line), false)
		fmt.Fprintf(&read, " caches=%d held=%d usable=%v gap=%v anew=%v\n", b.Registry.Len(), b.LastEvent, err == nil, errors.Is(err, errGap), errors.Is(err, errRenumbered))
	}
	frozen(t, "events-as-read", read.Bytes())
}

// What the watch is asked for first, at the start and after some events.
func TestFrozenRequestToTheWatch(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var all bytes.Buffer
	for _, last := range []int64{0, 7, 1 << 40} {
		came := make(chan []byte)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadBytes('\n')
			conn.Close()
			came <- line
		}()
		b := newTestWatch(t)
		b.LastEvent = last
		b.runSession(env.NewLifetime(nil), l.Addr().String())
		all.Write(<-came)
	}
	frozen(t, "request-to-the-watch", all.Bytes())
}

// Heads of answers to clients by status, with and without the end of the connection.
func TestFrozenHeads(t *testing.T) {
	var b []byte
	for _, status := range []int{200, 304, 400, 404, 405, 409, 431, 502, 503, 505} {
		b = appendHead(b, status, 17, "", false)
		b = appendHead(b, status, 17, "ETag: \"4be0\"\r\n", true)
	}
	frozen(t, "heads", b)
}

// Answers to clients, to the byte, over loopback: what a cache brought, what never reached the module, and how lookups end badly.
func TestFrozenAnswersToClients(t *testing.T) {
	var all bytes.Buffer
	r := newTestbed(t, &gatedEnv{}, true, 50)
	// exchange sends a request and keeps what comes back until the gateway closes the connection.
	exchange := func(name, request string, serve func(d standin.Request)) {
		t.Helper()
		c := r.connect()
		io.WriteString(c, request)
		if serve != nil {
			serve(r.nextReceived())
		}
		got, err := io.ReadAll(c)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		fmt.Fprintf(&all, "== %s\n%s\n", name, got)
	}
	get := func(more ...string) string { return r.requestText("segment", append(more, "Connection: close\r\n")...) }
	born := time.Now()
	exchange("a copy", get(), func(d standin.Request) { d.Hit(born, "hit", "some bytes") })
	exchange("no bytes", get(), func(d standin.Request) { d.Hit(born, "hit", "") })
	exchange("the client's own copy holds", get("If-None-Match: \"v1\"\r\n"), func(d standin.Request) {
		d.Respond("VALID", fmt.Sprintf("note=hit,ver=v1,born=%d", born.UnixMilli()))
	})
	exchange("ran at the origin and broke", r.requestText("order", "Connection: close\r\n"), func(d standin.Request) { d.Respond("FAULT", "-") })
	exchange("ping", "GET /ping HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", nil)
	exchange("ping of an old client", "GET /ping HTTP/1.0\r\n\r\n", nil)
	r.server.SetNotReady()
	exchange("ping, not ready", "GET /ping HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", nil)
	r.server.SetReady()
	exchange("no such kind", "GET /call/none/o HTTP/1.1\r\nHost: x\r\nX-Job-Id: 00000000000000ff\r\nConnection: close\r\n\r\n", nil)
	exchange("no such target", "GET /other HTTP/1.1\r\nHost: x\r\nX-Job-Id: 00000000000000ff\r\n\r\n", nil)
	exchange("no id", "GET /call/segment/o HTTP/1.1\r\nHost: x\r\n\r\n", nil)
	exchange("a verb that is none", "DELETE /call/segment/o HTTP/1.1\r\nHost: x\r\nX-Job-Id: 00000000000000ff\r\n\r\n", nil)
	exchange("no time left", r.requestText("segment", "X-Allow-Ms: 0\r\n", "Connection: close\r\n"), nil)
	exchange("a version that is none", "GET /call/segment/o HTTP/2.0\r\nHost: x\r\n\r\n", nil)
	exchange("no host", "GET /call/segment/o HTTP/1.1\r\nX-Job-Id: 00000000000000ff\r\n\r\n", nil)
	exchange("too many fields", "GET /call/segment/o HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("A: b\r\n", 70)+"\r\n", nil)
	for _, field := range []string{"X-Job-Id: 9", "X-Allow-Ms: x", "X-Group: 256", "X-Ram-Kb: -1", "X-Unique: a,b", "Content-Length: x",
		"Content-Length: 240001", "Content-Length: 3", "Transfer-Encoding: chunked", "Host: y", "no colon", "A: \x01"} {
		exchange("field "+field, "GET /call/segment/o HTTP/1.1\r\nHost: x\r\n"+field+"\r\n\r\n", nil)
	}
	first := r.sendRequest("segment")
	d := r.nextReceived()
	exchange("an id that is open already", fmt.Sprintf("GET /call/segment/o HTTP/1.1\r\nHost: x\r\nX-Job-Id: %s\r\nConnection: close\r\n\r\n", d.ID), nil)
	d.Hit(born, "hit", "first")
	r.expectStatus(first, 200)
	frozen(t, "answers-to-clients", all.Bytes())
}

// Too many connections, and a lookup that cannot wait for a place among those open.
func TestFrozenRefusals(t *testing.T) {
	var all bytes.Buffer
	r := newTestbed(t, &gatedEnv{}, true, 9)
	r.server.admission = admission.NewController(r.pool.env, 1, 1)
	r.server.gate = r.server.admission.Gate("clients", 1)
	r.server.gate.TryAdmit()
	for _, request := range []string{r.requestText("segment", "Connection: close\r\n"),
		strings.Replace(r.requestText("order", "Content-Length: 9\r\n"), "GET", "PUT", 1)} {
		c := r.connect()
		io.WriteString(c, request)
		got, err := io.ReadAll(c)
		fmt.Fprintf(&all, "== refused, %v\n%s\n", err, got)
	}
	frozen(t, "refusals", all.Bytes())
}
