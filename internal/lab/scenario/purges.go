package scenario

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

type purge struct {
	number int // of the event
	object string
	group  int
	issued time.Time
}

// version is how often an object or its group was purged: the origin gives out that version.
func (r *checker) version(object string) int {
	return r.versions[object] + r.versions["lot"+strconv.Itoa(groupOf(object))]
}

// purge purges an object, or a group where it is empty.
func (d *Scenario) purge(object string, group int) {
	issued := d.sim.Unix().Truncate(time.Millisecond).Add(time.Millisecond) // what was given out up to now is older
	p := purge{number: len(d.events) + 1, object: object, group: group, issued: issued}
	e := discoveryEvent{Purge: &purgeEvent{Object: object, Issued: issued.UnixMilli()}}
	if object == "" {
		e.Purge.Group = &group
		d.checker.versions["lot"+strconv.Itoa(group)]++
	} else {
		d.checker.versions[object]++
	}
	d.checker.purges = append(d.checker.purges, p)
	d.publish(e)
	for _, c := range slices.Concat(d.caches, d.parents) {
		d.after(time.Duration(500+d.randN(5000))*time.Millisecond, func() { c.applyPurge(p) })
	}
}

// covers tells whether a purge concerns a part.
func (p purge) covers(key string) bool {
	object, _, _ := strings.Cut(key, "/")
	return p.object == object || p.object == "" && p.group == groupOf(object)
}
