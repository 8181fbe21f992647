package limit

import "testing"

// A change of configuration may take the limit on open lookups away while lookups hold permits of it; they end as usual.
func TestOpenLimitIsRemovedWhileAPermitIsHeld(t *testing.T) {
	set := NewSet(timeAt(0), map[string]Spec{"p": {MaxOpen: 3}})
	permit, reason, _ := admit(set.Find("p"), 0)
	if reason != Allowed {
		t.Fatal(reason)
	}
	set.Carry(timeAt(1), map[string]Spec{"p": {LookupsPerSecond: 3}})
	defer func() {
		if fault := recover(); fault != nil {
			t.Errorf("the release of the permit panics: %v", fault)
		}
	}()
	permit.Release(timeAt(2), true, false)
}
