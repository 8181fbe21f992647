package scenario

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	minPurgeDelayMS    = 500  // milliseconds after a purge at which a cache may apply it at the earliest
	purgeDelaySpreadMS = 5000 // milliseconds over which the caches' purges are spread
)

// purge is a published purge of an object or, if object is empty, of a group.
type purge struct {
	number int // of its discovery event
	object string
	group  int
	issued time.Time
}

// covers reports whether the purge applies to an object, directly or through its group.
func (p purge) covers(object string) bool {
	return p.object == object || p.object == "" && p.group == groupOf(object)
}

// coversKey reports whether the purge applies to the part with a key.
func (p purge) coversKey(key string) bool {
	object, _, _ := strings.Cut(key, "/")
	return p.covers(object)
}

// makesStale reports whether the purge applies to a lookup's object and a copy of it was created before the purge.
func (p purge) makesStale(l *lookup, held *cachedCopy) bool {
	return (p.object == l.object || p.object == "" && p.group == l.group) && held.createdAt.Before(p.issued)
}

// groupKey returns the key of a group in maps that are otherwise keyed by object.
func groupKey(group int) string { return "lot" + strconv.Itoa(group) }

// version returns the origin's version of an object, which is the number of purges of it and of its group so far.
func (c *checker) version(object string) int {
	return c.versions[object] + c.versions[groupKey(groupOf(object))]
}

// purge publishes a purge of an object or, if the object is empty, of a
// group. Each cache applies the purge itself 0.5 to 5.5 s later.
func (s *Scenario) purge(object string, group int) {
	issued := s.sim.Unix().Truncate(time.Millisecond).Add(time.Millisecond) // later than the creation time of all copies so far
	p := purge{number: len(s.events) + 1, object: object, group: group, issued: issued}
	event := discoveryEvent{Purge: &purgeEvent{Object: object, Issued: issued.UnixMilli()}}
	if object == "" {
		event.Purge.Group = &group
		s.checker.versions[groupKey(group)]++
	} else {
		s.checker.versions[object]++
	}
	s.checker.purges = append(s.checker.purges, p)
	s.publish(event)
	for _, c := range slices.Concat(s.caches, s.parents) {
		s.after(minPurgeDelayMS*time.Millisecond+s.randMillis(purgeDelaySpreadMS), func() { c.applyPurge(p) })
	}
}
