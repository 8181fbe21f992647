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
		t.Error("a capacity of one lookup, but not one admitted")
	}
	if gate.Release(); !gate.TryAdmit() {
		t.Error("nothing admitted after a release")
	}
	if !c.ReserveBytes(60) || c.ReserveBytes(60) || !c.ReserveBytes(40) {
		t.Error("a capacity of 100 bytes, but not 60 and 40 reserved")
	}
	if c.ReleaseBytes(60); !c.ReserveBytes(60) {
		t.Error("nothing reserved after a release")
	}
}
