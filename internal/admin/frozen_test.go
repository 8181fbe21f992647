package admin

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// The files under testdata were written by the build before the names of Go changed.
func TestCallsAndAnswersKeepTheirForm(t *testing.T) {
	frozen.JSON(t, "call.json", &Call{}, true)
	frozen.JSON(t, "empty-call.json", &Call{}, false)
	frozen.JSON(t, "answer.json", &Answer{}, true)
	frozen.JSON(t, "empty-answer.json", &Answer{}, false)
}
