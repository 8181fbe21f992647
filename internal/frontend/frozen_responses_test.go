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

// The files under testdata/frozen were written by the build at 58d6067. Responses to clients must stay the same byte
// for byte.

// Compares responses over loopback: objects from caches, requests that never become a lookup, and lookups that fail.
func TestFrozenResponses(t *testing.T) {
	var all bytes.Buffer
	bed := testbed.New(t, &testbed.GatedEnv{}, true, 50)
	// exchange sends a request and records the bytes received until the gateway closes the connection.
	exchange := func(name, request string, answer func(request standin.Request)) {
		t.Helper()
		client := bed.Connect()
		io.WriteString(client, request)
		if answer != nil {
			answer(bed.NextReceived())
		}
		got, err := io.ReadAll(client)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		fmt.Fprintf(&all, "== %s\n%s\n", name, got)
	}
	get := func(headers ...string) string {
		return bed.RequestText("segment", append(headers, "Connection: close\r\n")...)
	}
	createdAt := time.Now()
	exchange("a copy", get(), func(request standin.Request) { request.Hit(createdAt, "hit", "some bytes") })
	exchange("no bytes", get(), func(request standin.Request) { request.Hit(createdAt, "hit", "") })
	exchange("the client's own copy holds", get("If-None-Match: \"v1\"\r\n"), func(request standin.Request) {
		request.Respond("VALID", fmt.Sprintf("note=hit,ver=v1,born=%d", createdAt.UnixMilli()))
	})
	exchange("ran at the origin and broke", bed.RequestText("order", "Connection: close\r\n"), func(request standin.Request) { request.Respond("FAULT", "-") })
	exchange("ping", "GET /ping HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", nil)
	exchange("ping of an old client", "GET /ping HTTP/1.0\r\n\r\n", nil)
	bed.Server.SetNotReady()
	exchange("ping, not ready", "GET /ping HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", nil)
	bed.Server.SetReady()
	exchange("no such kind", "GET /call/none/o HTTP/1.1\r\nHost: x\r\nX-Job-Id: 00000000000000ff\r\nConnection: close\r\n\r\n", nil)
	exchange("no such target", "GET /other HTTP/1.1\r\nHost: x\r\nX-Job-Id: 00000000000000ff\r\n\r\n", nil)
	exchange("no id", "GET /call/segment/o HTTP/1.1\r\nHost: x\r\n\r\n", nil)
	exchange("a verb that is none", "DELETE /call/segment/o HTTP/1.1\r\nHost: x\r\nX-Job-Id: 00000000000000ff\r\n\r\n", nil)
	exchange("no time left", bed.RequestText("segment", "X-Allow-Ms: 0\r\n", "Connection: close\r\n"), nil)
	exchange("a version that is none", "GET /call/segment/o HTTP/2.0\r\nHost: x\r\n\r\n", nil)
	exchange("no host", "GET /call/segment/o HTTP/1.1\r\nX-Job-Id: 00000000000000ff\r\n\r\n", nil)
	exchange("too many fields", "GET /call/segment/o HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("A: b\r\n", 70)+"\r\n", nil)
	for _, field := range []string{"X-Job-Id: 9", "X-Allow-Ms: x", "X-Group: 256", "X-Ram-Kb: -1", "X-Unique: a,b", "Content-Length: x",
		"Content-Length: 240001", "Content-Length: 3", "Transfer-Encoding: chunked", "Host: y", "no colon", "A: \x01"} {
		exchange("field "+field, "GET /call/segment/o HTTP/1.1\r\nHost: x\r\n"+field+"\r\n\r\n", nil)
	}
	first := bed.SendRequest("segment")
	request := bed.NextReceived()
	exchange("an id that is open already", fmt.Sprintf("GET /call/segment/o HTTP/1.1\r\nHost: x\r\nX-Job-Id: %s\r\nConnection: close\r\n\r\n", request.ID), nil)
	request.Hit(createdAt, "hit", "first")
	bed.ExpectStatus(first, 200)
	frozen.Equal(t, "frozen/answers-to-clients", all.Bytes())
}

// Compares the responses to requests past the bounds on open lookups and on bytes.
func TestFrozenRefusals(t *testing.T) {
	var all bytes.Buffer
	bed := testbed.New(t, &testbed.GatedEnv{}, true, 9)
	bed.Server.SetFull(1)
	for _, request := range []string{bed.RequestText("segment", "Connection: close\r\n"),
		strings.Replace(bed.RequestText("order", "Content-Length: 9\r\n"), "GET", "PUT", 1)} {
		client := bed.Connect()
		io.WriteString(client, request)
		got, err := io.ReadAll(client)
		fmt.Fprintf(&all, "== refused, %v\n%s\n", err, got)
	}
	frozen.Equal(t, "frozen/refusals", all.Bytes())
}
