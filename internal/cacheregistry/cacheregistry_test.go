package cacheregistry

import "testing"

func TestRegistry(t *testing.T) {
	var r Registry
	first := r.Register("s", "1.2.3.4:1")
	if moved := r.Register("s", "1.2.3.4:2"); moved.Policy != first.Policy || first.Addr != "1.2.3.4:1" || r.Find("s") != moved {
		t.Error("a cache with a new address lost its policy state, or the old entry changed")
	}
	r.Remove("s")
	if returned := r.Register("s", "1.2.3.4:1"); returned.Policy == first.Policy {
		t.Error("a cache that was removed and registered again has the old policy state")
	}
	if r.Retain(map[string]bool{}); r.Find("s") != nil {
		t.Error("Retain did not remove a cache whose id was not given")
	}
}
