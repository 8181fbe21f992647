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

// The files under testdata/frozen were written by the build at 58d6067. The event format of discovery and the request
// to it must not change by a byte when the code is changed.

// TestFrozenDiscoveryEvents checks the events that are passed on to the stored list, to other
// gateways and to the purge log.
func TestFrozenDiscoveryEvents(t *testing.T) {
	text := frozen.Read(t, "frozen/events")
	w := newTestWatch(t)
	w.settings.Zones = []string{"town", "hill"}
	w.settings.MachineTypes = []string{"edge", "parent"}
	var read bytes.Buffer
	w.OnUpdate = func(update endpoints.Update) {
		fmt.Fprintf(&read, " change last=%d whole=%v", update.LastEvent, update.Complete)
		for _, r := range update.Endpoints {
			fmt.Fprintf(&read, " row=[%s %s %s %s cell=%d size=%v up=%d phase=%d]", r.ID, r.Addr, r.Zone, r.MachineType, r.Cell, r.Size, r.StartedAt, r.Phase)
		}
		for _, p := range update.Purges {
			fmt.Fprintf(&read, " purge=[%q %d issued=%d]", p.Object, p.Group, p.IssuedAt)
		}
	}
	w.OnEvent = func(number int64, purges []dispatch.Purge) {
		fmt.Fprintf(&read, " event=%d", number)
		for _, p := range purges {
			fmt.Fprintf(&read, " purge=[%q %d issued=%d]", p.Object, p.Group, p.IssuedAt.UnixMicro())
		}
	}
	for _, line := range strings.Split(strings.TrimSuffix(string(text), "\n"), "\n") {
		read.WriteString(">")
		err := w.handleLine([]byte(line), newTestSession(w))
		fmt.Fprintf(&read, " caches=%d held=%d usable=%v gap=%v anew=%v\n", w.registry.Len(), w.LastEvent, err == nil, errors.Is(err, errGap), errors.Is(err, errRenumbered))
	}
	frozen.Equal(t, "frozen/events-as-read", read.Bytes())
}

// TestFrozenRequestToTheWatch checks the request of a session, at the start and after some events.
func TestFrozenRequestToTheWatch(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var all bytes.Buffer
	for _, last := range []int64{0, 7, 1 << 40} {
		received := make(chan []byte)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadBytes('\n')
			conn.Close()
			received <- line
		}()
		w := newTestWatch(t)
		w.LastEvent = last
		w.addr = listener.Addr().String()
		w.runSession(w.open(env.NewLifetime(nil), w.env.Now()))
		all.Write(<-received)
	}
	frozen.Equal(t, "frozen/request-to-the-watch", all.Bytes())
}
