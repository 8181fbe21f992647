package transport

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"
)

func listen(t *testing.T, host int, counts *Counts) (*Transport, string) {
	t.Helper()
	at := netip.MustParseAddrPort(fmt.Sprintf("127.%d.%d.%d:7946", 200+os.Getpid()>>8%40, os.Getpid()%250, host))
	l, err := Listen(at, at, counts, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Shutdown() })
	return l, at.String()
}

func TestPacketsAndStreamsComeFromTheListenAddress(t *testing.T) {
	var ca, cb Counts
	a, atA := listen(t, 1, &ca)
	b, atB := listen(t, 2, &cb)
	if _, err := a.WriteTo([]byte("hello"), atB); err != nil {
		t.Fatal(err)
	}
	p := <-b.PacketCh()
	if string(p.Buf) != "hello" || p.From.String() != atA {
		t.Errorf("%q from %v", p.Buf, p.From)
	}
	conn, err := a.DialTimeout(atB, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := <-b.StreamCh()
	defer in.Close()
	if from, _, _ := net.SplitHostPort(in.RemoteAddr().String()); netip.MustParseAddr(from) != netip.MustParseAddrPort(atA).Addr() {
		t.Error("the stream comes from", from)
	}
	go conn.Write([]byte("whole state"))
	got := make([]byte, 11)
	if _, err := io.ReadFull(in, got); err != nil || !bytes.Equal(got, []byte("whole state")) {
		t.Errorf("%q %v", got, err)
	}
	if ca.PacketsOut.Load() != 1 || cb.BytesIn.Load() != 5 || cb.StreamBytes.Load() != 11 || ca.StreamsOut.Load() != 1 {
		t.Error("not counted")
	}
}

func TestUnreadPacketsAreDroppedAndCounted(t *testing.T) {
	var ca, cb Counts
	a, _ := listen(t, 3, &ca)
	_, atB := listen(t, 4, &cb)
	for range maxQueuedPackets + 200 {
		a.WriteTo([]byte("x"), atB)
		time.Sleep(20 * time.Microsecond)
	}
	for end := time.Now().Add(5 * time.Second); cb.Dropped.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing is dropped")
		}
	}
}

func TestAddressInUseNamesTheSetting(t *testing.T) {
	var c Counts
	_, at := listen(t, 5, &c)
	_, err := Listen(netip.MustParseAddrPort(at), netip.MustParseAddrPort(at), &c, slog.Default())
	if err == nil || !bytes.Contains([]byte(err.Error()), []byte("fleet.listen")) {
		t.Error(err)
	}
}
