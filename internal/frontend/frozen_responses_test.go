package frontend_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"foldslip/example/standin"
	"foldslip/internal/lab/frozen"
	"foldslip/internal/lab/testbed"
)

// The files under testdata/frozen were written by the build at 58d6067. Responses to clients stay to the byte.

// Answers to clients, to the byte, over loopback: what a cache brought, what never reached the module, and how lookups end badly.
func TestFrozenAnswersToClients(t *testing.T) {
	var all bytes.Buffer
	r := testbed.New(t, &testbed.GatedEnv{}, true, 50)
	// exchange sends a request and keeps what comes back until the gateway closes the connection.
	exchange := func(name, request string, serve func(d standin.Request)) {
		t.Helper()
		c := r.Connect()
		io.WriteString(c, request)
		if serve != nil {
			serve(r.NextReceived())
		}
		got, err := io.ReadAll(c)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		fmt.Fprintf(&all, "== %s\n%s\n", name, got)
	}
	get := func(more ...string) string { return r.RequestText("segment", append(more, "Connection: close\r\n")...) }
	born := time.Now()
	exchange("a copy", get(), func(d standin.Request) { d.Hit(born, "hit", "some bytes") })
	exchange("no bytes", get(), func(d standin.Request) { d.Hit(born, "hit", "") })
	exchange("the client's own copy holds", get("If-None-Match: \"v1\"\r\n"), func(d standin.Request) {
		d.Respond("VALID", fmt.Sprintf("note=hit,ver=v1,born=%d", born.UnixMilli()))
	})
	exchange("ran at the origin and broke", r.RequestText("order", "Connection: close\r\n"), func(d standin.Request) { d.Respond("FAULT", "-") })
	exchange("ping", "GET /ping HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", nil)
	exchange("ping of an old client", "GET /ping HTTP/1.0\r\n\r\n", nil)
	r.Server.SetNotReady()
	exchange("ping, not ready", "GET /ping HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", nil)
	r.Server.SetReady()
	exchange("no such kind", "GET /call/none/o HTTP/1.1\r\nHost: x\r\nX-Job-Id: 00000000000000ff\r\nConnection: close\r\n\r\n", nil)
	exchange("no such target", "GET /other HTTP/1.1\r\nHost: x\r\nX-Job-Id: 00000000000000ff\r\n\r\n", nil)
	exchange("no id", "GET /call/segment/o HTTP/1.1\r\nHost: x\r\n\r\n", nil)
	exchange("a verb that is none", "DELETE /call/segment/o HTTP/1.1\r\nHost: x\r\nX-Job-Id: 00000000000000ff\r\n\r\n", nil)
	exchange("no time left", r.RequestText("segment", "X-Allow-Ms: 0\r\n", "Connection: close\r\n"), nil)
	exchange("a version that is none", "GET /call/segment/o HTTP/2.0\r\nHost: x\r\n\r\n", nil)
	exchange("no host", "GET /call/segment/o HTTP/1.1\r\nX-Job-Id: 00000000000000ff\r\n\r\n", nil)
	exchange("too many fields", "GET /call/segment/o HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("A: b\r\n", 70)+"\r\n", nil)
	for _, field := range []string{"X-Job-Id: 9", "X-Allow-Ms: x", "X-Group: 256", "X-Ram-Kb: -1", "X-Unique: a,b", "Content-Length: x",
		"Content-Length: 240001", "Content-Length: 3", "Transfer-Encoding: chunked", "Host: y", "no colon", "A: \x01"} {
		exchange("field "+field, "GET /call/segment/o HTTP/1.1\r\nHost: x\r\n"+field+"\r\n\r\n", nil)
	}
	first := r.SendRequest("segment")
	d := r.NextReceived()
	exchange("an id that is open already", fmt.Sprintf("GET /call/segment/o HTTP/1.1\r\nHost: x\r\nX-Job-Id: %s\r\nConnection: close\r\n\r\n", d.ID), nil)
	d.Hit(born, "hit", "first")
	r.ExpectStatus(first, 200)
	frozen.Equal(t, "frozen/answers-to-clients", all.Bytes())
}

// Too many connections, and a lookup that cannot wait for a place among those open.
func TestFrozenRefusals(t *testing.T) {
	var all bytes.Buffer
	r := testbed.New(t, &testbed.GatedEnv{}, true, 9)
	r.Server.SetFull(1)
	for _, request := range []string{r.RequestText("segment", "Connection: close\r\n"),
		strings.Replace(r.RequestText("order", "Content-Length: 9\r\n"), "GET", "PUT", 1)} {
		c := r.Connect()
		io.WriteString(c, request)
		got, err := io.ReadAll(c)
		fmt.Fprintf(&all, "== refused, %v\n%s\n", err, got)
	}
	frozen.Equal(t, "frozen/refusals", all.Bytes())
}
