package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"foldslip/example/standin"
)

// newDiscovery starts a stand-in and closes it at the end of the test.
func newDiscovery(t *testing.T, o DiscoveryOptions) *Discovery {
	t.Helper()
	d, err := NewDiscovery(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// testWatch is the client side of a watch.
type testWatch struct {
	net.Conn
	in *bufio.Reader
	t  *testing.T
}

// openWatch dials a gateway's address and requests the events after a number.
func openWatch(t *testing.T, d *Discovery, gateway int, after int64) *testWatch {
	t.Helper()
	conn, err := net.Dial("tcp", d.Addr(gateway))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "after %d\n", after)
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	return &testWatch{conn, bufio.NewReader(conn), t}
}

// event returns the next event and skips heartbeats.
func (w *testWatch) event() (text string) {
	w.t.Helper()
	for {
		line, err := w.in.ReadString('\n')
		if err != nil {
			w.t.Fatal(err)
		}
		if strings.Contains(line, ",") {
			return strings.TrimSpace(line)
		}
	}
}

// requireEnded reads until the stand-in closes or resets the connection.
func (w *testWatch) requireEnded() {
	w.t.Helper()
	if _, err := io.Copy(io.Discard, w.in); err != nil && !strings.Contains(err.Error(), "reset") {
		w.t.Fatal(err)
	}
}

var issued = time.UnixMilli(1764576000123)

func TestEventNumbersRestartAtEachGatewayStart(t *testing.T) {
	d := newDiscovery(t, DiscoveryOptions{Gateways: 300, Members: Members(3, 1)})
	known, _ := d.Join(2, true)
	var held struct {
		No    int64
		Items []json.RawMessage
	}
	if err := json.Unmarshal(known, &held); err != nil || held.No != 1 || len(held.Items) != 1 || !strings.Contains(string(held.Items[0]), `"id":"c0000"`) {
		t.Fatalf("Join returned the known list %s (%v), expected number 1 with the whole list as its only item", known, err)
	}
	d.Purge("00000000000000aa", 0, issued)
	d.Join(299, false)
	a, b := openWatch(t, d, 2, 1), openWatch(t, d, 299, 0)
	if got := a.event(); got != `{"no":2,"recall":{"item":"00000000000000aa","issued":1764576000123}}` {
		t.Errorf("gateway 2 received %s, expected the purge as number 2", got)
	}
	if got := b.event(); !strings.HasPrefix(got, `{"no":1,"roster":{"revision":1,"complete":true,"members":[{"id":"c0000"`) {
		t.Errorf("gateway 299 received %s, expected the list as number 1", got)
	}
	d.Purge("", 17, issued)
	for number, watch := range map[int64]*testWatch{3: a, 2: b} {
		if got := watch.event(); got != fmt.Sprintf(`{"no":%d,"recall":{"lot":17,"issued":1764576000123}}`, number) {
			t.Errorf("received %s, expected the purge of group 17 as number %d", got, number)
		}
	}
	d.Join(2, true) // a restart
	a.requireEnded()
	a = openWatch(t, d, 2, 1)
	d.Purge("00000000000000bb", 0, issued)
	if got := a.event(); !strings.HasPrefix(got, `{"no":2,`) || !strings.Contains(got, "bb") {
		t.Errorf("received %s after a restart, expected the second purge as number 2", got)
	}
}

func TestReturningWatcherGetsMissedEventsOrIsDropped(t *testing.T) {
	d := newDiscovery(t, DiscoveryOptions{Gateways: 2, KeepEvents: 100})
	d.Join(0, true)
	d.Join(1, true)
	for i := range 150 {
		d.Purge(fmt.Sprintf("%016x", i), 0, issued)
	}
	l := openWatch(t, d, 0, 51)
	for number := int64(52); number <= 151; number++ {
		if got := l.event(); !strings.HasPrefix(got, fmt.Sprintf(`{"no":%d,`, number)) || !strings.Contains(got, fmt.Sprintf(`"%016x"`, number-2)) {
			t.Fatalf("received %s, expected the purge with number %d", got, number)
		}
	}
	// The stand-in counts a write after conn.Write returns, so the client can read the last events before they are
	// counted. The counters are checked before the next purges, whose events they would include.
	c := d.Counts(0)
	for deadline := time.Now().Add(5 * time.Second); c.Events.Load() < 100 || c.BytesOut.Load() < 100*70; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("counted %d events and %d bytes, expected at least 100 events of 70 bytes", c.Events.Load(), c.BytesOut.Load())
			break
		}
	}
	for i := range 100 {
		d.Purge(fmt.Sprintf("%016x", 150+i), 0, issued)
	}
	openWatch(t, d, 1, 1).requireEnded()
	if got := d.Counts(1).DroppedBehind.Load(); got != 1 {
		t.Errorf("the watcher was dropped %d times for being behind, expected once", got)
	}
}

func TestIdleWatchGetsHeartbeatEverySecond(t *testing.T) {
	d := newDiscovery(t, DiscoveryOptions{Gateways: 1})
	d.Join(0, true)
	l := openWatch(t, d, 0, 1)
	began := time.Now()
	for range 2 {
		if line, err := l.in.ReadString('\n'); err != nil || line != "{\"no\":1}\n" {
			t.Fatalf("read %q (%v), expected a heartbeat with number 1", line, err)
		}
	}
	if took := time.Since(began); took < 1500*time.Millisecond {
		t.Errorf("two heartbeats within %v, expected one a second", took)
	}
}

func TestOneWatchPerGatewayAndNoneForUnknownOrRefused(t *testing.T) {
	d := newDiscovery(t, DiscoveryOptions{Gateways: 2})
	d.Join(0, true)
	first := openWatch(t, d, 0, 1)
	d.Purge("00000000000000aa", 0, issued)
	first.event()
	second := openWatch(t, d, 0, 1)
	second.event()
	first.requireEnded()
	openWatch(t, d, 1, 1).requireEnded() // this gateway has not joined
	openWatch(t, d, 7, 1).requireEnded() // this gateway does not exist
	d.RefuseWatches(func(i int) bool { return i == 0 })
	second.requireEnded()
	openWatch(t, d, 0, 2).requireEnded()
	d.RefuseWatches(nil)
	d.Purge("00000000000000bb", 0, issued)
	if got := openWatch(t, d, 0, 2).event(); !strings.Contains(got, "bb") {
		t.Errorf("received %s after watches were allowed again, expected the second purge", got)
	}
	d.RemoveGateway(0)
	openWatch(t, d, 0, 3).requireEnded()
	bad, err := net.Dial("tcp", d.Addr(0))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(bad, "%s\n", strings.Repeat("x", maxRequestBytes))
	bad.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := bad.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("a connection without a valid request received a byte, expected none")
	}
	bad.Close()
}

func TestJoinGetsCurrentList(t *testing.T) {
	members := Members(3, 1)
	d := newDiscovery(t, DiscoveryOptions{Gateways: 1, Members: members})
	removed := members[1]
	removed.Phase = "removed"
	d.Change(removed)
	drains := members[2]
	drains.Phase = "draining"
	d.Change(drains, standin.Endpoint{ID: "new", HostPort: "127.0.0.1:1", Locality: "z00", Flavor: "edge", Phase: "up", Size: 1})
	known, base := d.Join(0, true)
	for word, want := range map[string]bool{members[0].ID: true, members[1].ID: false, members[2].ID: true, `"draining"`: true, `"new"`: true} {
		if strings.Contains(string(known), word) != want {
			t.Errorf("%s in the list of a joining gateway: %v, expected %v", word, !want, want)
		}
	}
	if base != 2 || d.Last() != 2 {
		t.Errorf("base position %d and last position %d, expected 2 for both", base, d.Last())
	}
}
