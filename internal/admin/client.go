package admin

import (
	"context"
	"encoding/json"
	"net"
	"time"
)

// Send makes one call at a gateway's socket.
func Send(ctx context.Context, path string, request Request) (response Response, err error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "unix", path)
	if err != nil {
		return response, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * requestTimeout)) // what the server may take, and as much again
	if err := json.NewEncoder(conn).Encode(request); err != nil {
		return response, err
	}
	return response, json.NewDecoder(conn).Decode(&response)
}
