package admin

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// TestRequestsAndResponsesKeepTheirForm guards against a renamed Go field that changes the JSON of requests and
// responses. The files under testdata were written by the build before the Go identifiers were renamed.
func TestRequestsAndResponsesKeepTheirForm(t *testing.T) {
	frozen.JSON(t, "call.json", &Request{}, true)
	frozen.JSON(t, "empty-call.json", &Request{}, false)
	frozen.JSON(t, "answer.json", &Response{}, true)
	frozen.JSON(t, "empty-answer.json", &Response{}, false)
}
