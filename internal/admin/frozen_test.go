package admin

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// The files under testdata were written by the build before the names of Go changed.
func TestRequestsAndResponsesKeepTheirForm(t *testing.T) {
	frozen.JSON(t, "call.json", &Request{}, true)
	frozen.JSON(t, "empty-call.json", &Request{}, false)
	frozen.JSON(t, "answer.json", &Response{}, true)
	frozen.JSON(t, "empty-answer.json", &Response{}, false)
}
