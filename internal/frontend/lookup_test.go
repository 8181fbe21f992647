package frontend_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"foldslip/example/standin"
	"foldslip/internal/lab/testbed"
)

// A lookup has a body. The body reaches the cache complete and unchanged, the response of a lookup that ran at the
// origin has no ETag, and the bytes reserved for the body are released.
func TestLookupWithBody(t *testing.T) {
	bed := testbed.New(t, &testbed.GatedEnv{}, true, 50)
	body := strings.Repeat("\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\x00", 4000)
	head := strings.Replace(bed.RequestText("order", fmt.Sprintf("X-Unique: u7\r\nContent-Length: %d\r\n", len(body))), "GET", "PUT", 1)
	client := bed.Connect()
	for _, piece := range []string{head, body[:7], body[7:50000], body[50000:] + bed.RequestText("segment")[:20]} {
		io.WriteString(client, piece)
		time.Sleep(2 * time.Millisecond)
	}
	request := bed.NextReceived()
	if string(request.Body) != body || request.Fields["rank"] != "" || request.Fields["i"] != "u7" {
		t.Fatalf("the cache got %d body bytes of %d, fields %v", len(request.Body), len(body), request.Fields)
	}
	request.Conn.Send(request.ID + " HIT - 4\r\ndone\r\n")
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, _ := io.ReadAll(response.Body); string(got) != "done" || response.Header.Get("ETag") != "" || response.StatusCode != 200 {
		t.Errorf("got status %d, body %q, ETag %q; expected 200, done and no ETag", response.StatusCode, got, response.Header.Get("ETag"))
	}
	waitBytesReleased(bed)
	t.Run("a body for an object kind that is cached is rejected", func(t *testing.T) {
		client := bed.Connect()
		io.WriteString(client, strings.Replace(bed.RequestText("segment", "Content-Length: 2\r\n"), "GET", "PUT", 1)+"no")
		bed.ExpectStatus(client, 405)
	})
	t.Run("a body past the bound on bytes is rejected", func(t *testing.T) {
		client := bed.Connect()
		bed.Server.Admission().ReserveBytes(testbed.MaxBytes)
		defer bed.Server.Admission().ReleaseBytes(testbed.MaxBytes)
		io.WriteString(client, strings.Replace(bed.RequestText("order", "Content-Length: 200000\r\n"), "GET", "PUT", 1))
		bed.ExpectStatus(client, 503)
	})
	t.Run("a client that disconnects within the body: nothing is sent, the bytes are released", func(t *testing.T) {
		client := bed.Connect()
		io.WriteString(client, strings.Replace(bed.RequestText("order", "Content-Length: 200000\r\n"), "GET", "PUT", 1)+"half")
		client.Close()
		waitBytesReleased(bed)
		bed.ExpectNothingReceived()
	})
	t.Run("a copy without a version is not accepted for an object kind that is cached", func(t *testing.T) {
		client := bed.SendRequest("segment")
		request := bed.NextReceived()
		request.Conn.Send(request.ID + " HIT - 4\r\ndone\r\n")
		bed.NextReceived().Hit(time.Now(), "hit", "complete")
		if body := bed.ExpectStatus(client, 200); body != "complete" {
			t.Errorf("got body %q, expected complete", body)
		}
	})
}

// waitBytesReleased waits until admission holds no reserved bytes.
func waitBytesReleased(bed *testbed.Testbed) {
	bed.WaitFor("release of all bytes", func() bool {
		if !bed.Server.Admission().ReserveBytes(testbed.MaxBytes) {
			return false
		}
		bed.Server.Admission().ReleaseBytes(testbed.MaxBytes)
		return true
	})
}

// The policy delays a lookup, here by a backoff of 30 ms after its cache rejected it. The lookup is forwarded if its
// client still waits, and never after the client has disconnected.
func TestQueuedLookupWhoseClientLeaves(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint("leaves ", leaves), func(t *testing.T) {
			bed := testbed.New(t, &testbed.GatedEnv{}, true, 50)
			client := bed.SendRequest("segment")
			bed.NextReceived().Respond("SHED", "-")
			bed.WaitQueued(1)
			if leaves {
				client.Close()
				bed.WaitOpenLookups(0)
				bed.TickTimes(8)
				bed.ExpectNothingReceived()
				return
			}
			go bed.TickTimes(8)
			bed.NextReceived().Hit(time.Now(), "hit", "ok")
			bed.ExpectStatus(client, 200)
		})
	}
}

// An attempt ends after its client has disconnected, with an outcome that would otherwise start another attempt at
// once. The settings of this test do not allow cancelling, so the cache continues the attempt and any fill. The gateway
// processes the outcome and starts no further attempt.
func TestAttemptEndingAfterItsClientLeft(t *testing.T) {
	for name, end := range map[string]func(request standin.Request, reset func()){
		"a miss":            func(request standin.Request, _ func()) { request.Respond("NONE", "-") },
		"an error":          func(request standin.Request, _ func()) { request.Respond("FAULT", "-") },
		"a fill that broke": func(request standin.Request, _ func()) { request.Respond("FAULT", "note=src_broke") },
		"a reset":           func(_ standin.Request, reset func()) { reset() },
	} {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", leaves ", leaves), func(t *testing.T) {
				bed := testbed.New(t, &testbed.GatedEnv{}, false, 50)
				client := bed.SendRequest("segment")
				request := bed.NextReceived()
				if leaves {
					client.Close()
					bed.WaitNoConns()
				}
				end(request, request.Reset)
				if leaves {
					bed.WaitOpenLookups(0)
					bed.TickTimes(4)
					bed.ExpectNothingReceived()
					return
				}
				go bed.TickTimes(8)
				bed.NextReceived().Hit(time.Now(), "hit", "ok")
				bed.ExpectStatus(client, 200)
			})
		}
	}
}
