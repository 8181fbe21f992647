package view

import (
	"fmt"
	"slices"
	"testing"
)

func dueNames(v *View, now int64) (names []string) {
	for _, id := range v.DueVerifications(now) {
		names = append(names, id.Name)
	}
	return names
}

// TestUnseenMembersAreVerifiedWhileOneIsSuspect guards against a side of a split that counts members of the other side
// as alive because no gateway of its own side has probed them yet.
func TestUnseenMembersAreVerifiedWhileOneIsSuspect(t *testing.T) {
	v := viewOf("b", "c", "d", "e")
	if due := dueNames(v, 20*second); len(due) > 0 {
		t.Errorf("due for verification without any suspect: got %v, want none", due)
	}
	v.RecordFailedProbe("b", "c", 10*second, 10*second)
	v.RecordSeen("c", "a", 9*second, 10*second)
	v.RecordSeen("d", "c", 3*second, 10*second)
	if due, want := dueNames(v, 10*second), []string{"e", "d"}; !slices.Equal(due, want) {
		t.Errorf("due for verification while b is suspect: got %v, want %v", due, want)
	}
	v.RecordSeen("e", "a", 10*second, 10*second)
	v.RecordFailedProbe("d", "a", 10*second, 10*second)
	if due := dueNames(v, 10*second); len(due) > 0 {
		t.Errorf("due for verification: got %v, want none, since all members are suspect or recently seen", due)
	}
	v.RecordSeen("b", "a", 11*second, 11*second)
	v.RecordSeen("d", "a", 11*second, 11*second)
	if due := dueNames(v, 30*second); len(due) > 0 {
		t.Errorf("due for verification after all suspicions were cleared: got %v, want none", due)
	}
}

// TestOneCrashInALargeFleetVerifiesNobody guards against a large fleet in which every gateway pings the other members
// after each crash.
func TestOneCrashInALargeFleetVerifiesNobody(t *testing.T) {
	settings := testSettings
	settings.MaxMembers = 100
	v := New(testID("a"), settings, 1)
	for i := range 40 {
		name := fmt.Sprint("m", i)
		v.Join(testID(name), name, 1)
	}
	v.RecordFailedProbe("m1", "a", 10*second, 10*second)
	if due := dueNames(v, 10*second); len(due) > 0 {
		t.Errorf("due for verification with one suspect among 41 members: got %v, want none", due)
	}
	v.RecordFailedProbe("m2", "a", 10*second, 10*second)
	v.RecordFailedProbe("m3", "a", 10*second, 10*second)
	if due := dueNames(v, 10*second); len(due) != 37 {
		t.Errorf("due for verification with three suspects among 41 members: got %d, want 37", len(due))
	}
}
