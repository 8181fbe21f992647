package env

import "net"

// lingerSetter is a connection whose Close can be told not to deliver what was written, as *net.TCPConn.
type lingerSetter interface{ SetLinger(seconds int) error }

// Abort closes a connection and drops what the peer has not received of it. After a plain Close the kernel goes on to deliver what was written,
// for minutes where the network is cut.
func Abort(conn net.Conn) {
	if l, ok := conn.(lingerSetter); ok {
		l.SetLinger(0) // fails only where the connection has ended
	}
	conn.Close()
}
