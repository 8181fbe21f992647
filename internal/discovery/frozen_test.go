package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/lab/frozen"
	"foldslip/internal/store/endpoints"
)

// The files under testdata/frozen were written by the build at 58d6067. What the discovery watch sends, and the request to it, stay to the
// byte whatever the code that does it is called.

// Events of the watch as they are told on to the list on disk, to peers and to the purges.
func TestFrozenDiscoveryEvents(t *testing.T) {
	text := frozen.Read(t, "frozen/events")
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
	frozen.Equal(t, "frozen/events-as-read", read.Bytes())
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
	frozen.Equal(t, "frozen/request-to-the-watch", all.Bytes())
}
