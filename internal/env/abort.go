package env

import "net"

// lingerSetter is implemented by connections that can discard unsent data when they are closed, such as *net.TCPConn.
type lingerSetter interface{ SetLinger(seconds int) error }

// Abort closes a connection and discards written data that the peer has not received. After a plain Close, the kernel
// keeps trying to deliver that data, for minutes if the network is partitioned.
func Abort(conn net.Conn) {
	if l, ok := conn.(lingerSetter); ok {
		l.SetLinger(0) // fails only if the connection has already ended
	}
	conn.Close()
}
