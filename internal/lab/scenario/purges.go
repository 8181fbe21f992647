package scenario

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	minPurgeDelayMS    = 500 // milliseconds after which a cache may have applied a purge itself
	purgeDelaySpreadMS = 5000
)

// purge is a purge that was published.
type purge struct {
	number int // of its event
	object string
	group  int
	issued time.Time
}

// covers reports whether a purge is of an object or its group.
func (p purge) covers(object string) bool {
	return p.object == object || p.object == "" && p.group == groupOf(object)
}

// coversKey reports whether a purge is of a part.
func (p purge) coversKey(key string) bool {
	object, _, _ := strings.Cut(key, "/")
	return p.covers(object)
}

// makesStale reports whether a copy of a lookup's object is older than a purge of it.
func (p purge) makesStale(l *lookup, held *cachedCopy) bool {
	return (p.object == l.object || p.object == "" && p.group == l.group) && held.createdAt.Before(p.issued)
}

// groupKey is the key of a group among objects.
func groupKey(group int) string { return "lot" + strconv.Itoa(group) }

// version is how often an object or its group was purged: the origin has that version.
func (c *checker) version(object string) int {
	return c.versions[object] + c.versions[groupKey(groupOf(object))]
}

// purge publishes a purge of an object, or of a group where the object is empty; caches apply it themselves some time later.
func (s *Scenario) purge(object string, group int) {
	issued := s.sim.Unix().Truncate(time.Millisecond).Add(time.Millisecond) // all copies up to now are older
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
