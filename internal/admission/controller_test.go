package admission

import (
	"io"
	"log/slog"
	"testing"

	"foldslip/internal/env"
)

func TestController(t *testing.T) {
	c := NewController(env.NewSystem(io.Discard, slog.LevelInfo), 1, 100)
	gate := c.Gate("clients", 1)
	if !gate.TryAdmit() || gate.TryAdmit() {
		t.Error("capacity of 1 lookup: expected the first to be admitted and the second to be rejected")
	}
	if gate.Release(); !gate.TryAdmit() {
		t.Error("expected a lookup to be admitted after a release")
	}
	if !c.ReserveBytes(60) || c.ReserveBytes(60) || !c.ReserveBytes(40) {
		t.Error("capacity of 100 bytes: expected 60 to be reserved, 60 more rejected and 40 more reserved")
	}
	if c.ReleaseBytes(60); !c.ReserveBytes(60) {
		t.Error("expected 60 bytes to be reserved after a release")
	}
}
