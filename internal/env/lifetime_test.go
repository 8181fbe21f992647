package env

import "testing"

func TestLifetime(t *testing.T) {
	t.Run("End runs hooks once, in order, and ends children", func(t *testing.T) {
		calls := ""
		call := func(name string) func() { return func() { calls += name } }
		parent := NewLifetime(nil)
		parent.OnEnd(call("a"))
		drop := parent.OnEnd(call("b"))
		child := NewLifetime(parent)
		child.OnEnd(call("c"))
		parent.OnEnd(call("d"))
		drop()
		parent.End()
		parent.End()
		if calls != "acd" || !child.Ended() || !parent.Ended() {
			t.Error(calls)
		}
		if parent.OnEnd(call("e")); calls != "acde" {
			t.Error("OnEnd of an ended lifetime did not run the hook immediately; hooks run:", calls)
		}
	})
	t.Run("a child that ends unregisters from its parent", func(t *testing.T) {
		parent := NewLifetime(nil)
		for range 100 {
			NewLifetime(parent).End()
		}
		if parent.Ended() || parent.hooks.Len() != 0 {
			t.Errorf("the parent has ended, or has hooks left: %d hooks", parent.hooks.Len())
		}
	})
}
