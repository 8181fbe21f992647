package frontend

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// The files under testdata/frozen were written by the build at 58d6067. Response heads must stay the same byte for
// byte.

// Compares the response heads of all statuses, with and without Connection: close.
func TestFrozenHeads(t *testing.T) {
	var b []byte
	for _, status := range []int{200, 304, 400, 404, 405, 409, 431, 502, 503, 505} {
		b = appendHead(b, head{status: status, bodyLength: 17})
		b = appendHead(b, head{status: status, bodyLength: 17, fields: "ETag: \"4be0\"\r\n", closes: true})
	}
	frozen.Equal(t, "frozen/heads", b)
}
