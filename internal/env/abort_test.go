package env

import (
	"io"
	"net"
	"testing"
	"time"
)

// writeUntilFull writes to a connection whose peer does not read, until the socket buffers are full. It returns the
// number of bytes written.
func writeUntilFull(t *testing.T, conn net.Conn) (total int) {
	t.Helper()
	chunk := make([]byte, 64<<10)
	for {
		conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		n, err := conn.Write(chunk)
		total += n
		if err != nil {
			return total
		}
	}
}

// TestAbortDiscardsUndeliveredData guards against the delivery of request lines of abandoned attempts. After a plain
// Close, the kernel still delivers data that is in the socket buffers.
func TestAbortDiscardsUndeliveredData(t *testing.T) {
	for _, c := range []struct {
		name        string
		end         func(conn net.Conn)
		isDelivered bool
	}{
		{"Abort", Abort, false},
		{"Close", func(conn net.Conn) { conn.Close() }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			peer, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			written := writeUntilFull(t, conn)
			c.end(conn)
			peer.SetReadDeadline(time.Now().Add(10 * time.Second))
			received, err := io.Copy(io.Discard, peer)
			if isDelivered := int(received) == written; isDelivered != c.isDelivered || (err == nil) != c.isDelivered {
				t.Errorf("peer received %d of %d bytes, read error: %v", received, written, err)
			}
		})
	}
}
