package transport

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// listen opens a Transport that is shut down when the test ends, and returns it with its address. The address lies in a
// loopback network that is derived from the process ID.
func listen(t *testing.T, host int, counts *Counts) (*Transport, string) {
	t.Helper()
	addr := netip.MustParseAddrPort(fmt.Sprintf("127.%d.%d.%d:7946", 200+os.Getpid()>>8%40, os.Getpid()%250, host))
	transport, err := Listen(addr, addr, counts, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { transport.Shutdown() })
	return transport, addr.String()
}

// Datagrams come from the sender's listen address and dialled streams from its IP address. Both sides count them.
func TestPacketsAndStreamsComeFromTheListenAddress(t *testing.T) {
	var senderCounts, receiverCounts Counts
	sender, senderAddr := listen(t, 1, &senderCounts)
	receiver, receiverAddr := listen(t, 2, &receiverCounts)
	if _, err := sender.WriteTo([]byte("hello"), receiverAddr); err != nil {
		t.Fatal(err)
	}
	packet := <-receiver.PacketCh()
	if string(packet.Buf) != "hello" || packet.From.String() != senderAddr {
		t.Errorf("received %q from %v, want \"hello\" from the sender's listen address", packet.Buf, packet.From)
	}
	dialled, err := sender.DialTimeout(receiverAddr, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	accepted := <-receiver.StreamCh()
	defer accepted.Close()
	from, _, _ := net.SplitHostPort(accepted.RemoteAddr().String())
	if netip.MustParseAddr(from) != netip.MustParseAddrPort(senderAddr).Addr() {
		t.Error("the stream does not come from the sender's IP address but from", from)
	}
	go dialled.Write([]byte("whole state"))
	got := make([]byte, 11)
	if _, err := io.ReadFull(accepted, got); err != nil || !bytes.Equal(got, []byte("whole state")) {
		t.Errorf("read %q with the error %v, want \"whole state\"", got, err)
	}
	if senderCounts.PacketsOut.Load() != 1 || senderCounts.StreamsOut.Load() != 1 {
		t.Error("the sender does not count one datagram and one stream")
	}
	if receiverCounts.BytesIn.Load() != 5 || receiverCounts.StreamBytes.Load() != 11 {
		t.Error("the receiver does not count 5 bytes of datagrams and 11 bytes of streams")
	}
}

// Datagrams beyond maxQueuedPackets are dropped and counted if the detector does not read them.
func TestUnreadPacketsAreDroppedAndCounted(t *testing.T) {
	var senderCounts, receiverCounts Counts
	sender, _ := listen(t, 3, &senderCounts)
	_, receiverAddr := listen(t, 4, &receiverCounts)
	for range maxQueuedPackets + 200 {
		sender.WriteTo([]byte("x"), receiverAddr)
		time.Sleep(20 * time.Microsecond)
	}
	for deadline := time.Now().Add(5 * time.Second); receiverCounts.Dropped.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no datagram was dropped within 5 s")
		}
	}
}

// The error for an address that is in use names the setting fleet.listen, which holds the address.
func TestAddressInUseNamesTheSetting(t *testing.T) {
	var counts Counts
	_, addr := listen(t, 5, &counts)
	_, err := Listen(netip.MustParseAddrPort(addr), netip.MustParseAddrPort(addr), &counts, slog.Default())
	if !errors.Is(err, syscall.EADDRINUSE) || !strings.Contains(err.Error(), "fleet.listen") {
		t.Error(err)
	}
}
