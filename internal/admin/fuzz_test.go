package admin

import (
	"bufio"
	"bytes"
	"testing"
)

// FuzzReadRequest expects that each line of an operator's call is read or refused, and that none is longer than its bound.
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
		t.Fatal("more requests than lines")
	})
}
