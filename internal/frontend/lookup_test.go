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

// A lookup with bytes: they go on whole and unchanged, what ran at the origin brings no tag, and the room it took is given back.
func TestLookupWithBody(t *testing.T) {
	r := testbed.New(t, &testbed.GatedEnv{}, true, 50)
	bytes := strings.Repeat("\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\x00", 4000)
	head := strings.Replace(r.RequestText("order", fmt.Sprintf("X-Unique: u7\r\nContent-Length: %d\r\n", len(bytes))), "GET", "PUT", 1)
	c := r.Connect()
	for _, piece := range []string{head, bytes[:7], bytes[7:50000], bytes[50000:] + r.RequestText("segment")[:20]} {
		io.WriteString(c, piece)
		time.Sleep(2 * time.Millisecond)
	}
	d := r.NextReceived()
	if string(d.Body) != bytes || d.Fields["rank"] != "" || d.Fields["i"] != "u7" {
		t.Fatalf("%d bytes of %d, %v", len(d.Body), len(bytes), d.Fields)
	}
	d.Conn.Send(d.ID + " HIT - 4\r\ndone\r\n")
	got, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(got.Body); string(body) != "done" || got.Header.Get("ETag") != "" || got.StatusCode != 200 {
		t.Errorf("status %d, %q, tag %q", got.StatusCode, body, got.Header.Get("ETag"))
	}
	r.WaitFor("room given back", func() bool {
		if !r.Server.Admission().ReserveBytes(1 << 20) {
			return false
		}
		r.Server.Admission().ReleaseBytes(1 << 20)
		return true
	})
	t.Run("not for an object kind that is kept", func(t *testing.T) {
		c := r.Connect()
		io.WriteString(c, strings.Replace(r.RequestText("segment", "Content-Length: 2\r\n"), "GET", "PUT", 1)+"no")
		r.ExpectStatus(c, 405)
	})
	t.Run("past the room for bytes it is nacked", func(t *testing.T) {
		c := r.Connect()
		r.Server.Admission().ReserveBytes(1 << 20)
		defer r.Server.Admission().ReleaseBytes(1 << 20)
		io.WriteString(c, strings.Replace(r.RequestText("order", "Content-Length: 200000\r\n"), "GET", "PUT", 1))
		r.ExpectStatus(c, 503)
	})
	t.Run("half of them and the end: nothing is sent, the room is given back", func(t *testing.T) {
		c := r.Connect()
		io.WriteString(c, strings.Replace(r.RequestText("order", "Content-Length: 200000\r\n"), "GET", "PUT", 1)+"half")
		c.Close()
		r.WaitFor("room given back", func() bool {
			if !r.Server.Admission().ReserveBytes(1 << 20) {
				return false
			}
			r.Server.Admission().ReleaseBytes(1 << 20)
			return true
		})
		r.ExpectNothingReceived()
	})
	t.Run("a copy that tells no tag is none for a kind that is kept", func(t *testing.T) {
		c := r.SendRequest("segment")
		d := r.NextReceived()
		d.Conn.Send(d.ID + " HIT - 4\r\ndone\r\n")
		r.NextReceived().Hit(time.Now(), "hit", "whole")
		if body := r.ExpectStatus(c, 200); body != "whole" {
			t.Errorf("got %q", body)
		}
	})
}

// A lookup that the module holds, here after its cache turned it away (a backoff of 30 ms): sent on while its client waits, never after.
func TestQueuedLookupWhoseClientLeaves(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint("leaves ", leaves), func(t *testing.T) {
			r := testbed.New(t, &testbed.GatedEnv{}, true, 50)
			c := r.SendRequest("segment")
			r.NextReceived().Respond("SHED", "-")
			r.WaitQueued(1)
			if leaves {
				c.Close()
				r.WaitOpenLookups(0)
				r.TickTimes(8)
				r.ExpectNothingReceived()
				return
			}
			go r.TickTimes(8)
			r.NextReceived().Hit(time.Now(), "hit", "ok")
			r.ExpectStatus(c, 200)
		})
	}
}

// An attempt ends after its client left, in a way that would have another one follow at once. Where the settings allow no giving up
// the cache goes on, with a fill too: its end is taken and nothing follows.
func TestAttemptEndingAfterItsClientLeft(t *testing.T) {
	for name, end := range map[string]func(d standin.Request, reset func()){
		"a miss":            func(d standin.Request, _ func()) { d.Respond("NONE", "-") },
		"an error":          func(d standin.Request, _ func()) { d.Respond("FAULT", "-") },
		"a fill that broke": func(d standin.Request, _ func()) { d.Respond("FAULT", "note=src_broke") },
		"a reset":           func(_ standin.Request, reset func()) { reset() },
	} {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", leaves ", leaves), func(t *testing.T) {
				r := testbed.New(t, &testbed.GatedEnv{}, false, 50)
				c := r.SendRequest("segment")
				d := r.NextReceived()
				if leaves {
					c.Close()
					r.WaitNoConns()
				}
				end(d, d.Reset)
				if leaves {
					r.WaitOpenLookups(0)
					r.TickTimes(4)
					r.ExpectNothingReceived()
					return
				}
				go r.TickTimes(8)
				r.NextReceived().Hit(time.Now(), "hit", "ok")
				r.ExpectStatus(c, 200)
			})
		}
	}
}
