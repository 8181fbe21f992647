package admin

import (
	"context"
	"encoding/json"
	"net"
	"time"
)

// Send sends one request to the admin socket at path and returns the response. The context limits only the time to
// connect; the exchange of request and response has a deadline of its own.
func Send(ctx context.Context, path string, request Request) (response Response, err error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "unix", path)
	if err != nil {
		return response, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * requestTimeout)) // twice the time that the server allows for a request
	if err := json.NewEncoder(conn).Encode(request); err != nil {
		return response, err
	}
	return response, json.NewDecoder(conn).Decode(&response)
}
