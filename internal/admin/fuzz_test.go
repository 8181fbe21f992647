package admin

import (
	"bufio"
	"bytes"
	"testing"
)

// FuzzReadRequest checks that readRequest reads or refuses each line of any input, and that the input ends after at
// most as many requests as it has lines.
func FuzzReadRequest(f *testing.F) {
	f.Add([]byte("{\"do\":\"view\"}\n"))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		reader := bufio.NewReader(bytes.NewReader(b))
		for range bytes.Count(b, []byte("\n")) + 2 {
			var request Request
			if readRequest(reader, &request) == errConnectionEnded {
				return
			}
		}
		t.Fatal("readRequest returned more requests than the input has lines")
	})
}
