package pools

import (
	"fmt"
	"maps"
)

// LoadSample is one lookup of a captured load.
type LoadSample struct {
	Kind   int     `json:"Kind"`
	Group  int     `json:"Group"`
	Object string  `json:"Object"`
	Bytes  float64 `json:"Bytes"`
}

// Impact describes how much of a captured load a change moves to other caches.
type Impact struct {
	Lookups      int            `json:"Lookups"`
	Objects      int            `json:"Objects"`
	MovedObjects int            `json:"Moved"`
	Bytes        float64        `json:"Bytes"` // of all objects; an object counts once, with its largest sample
	MovedBytes   float64        `json:"MovedBytes"`
	ColdObjects  int            `json:"Cold"` // moved objects whose new pool has no cache of the old one
	MovedByPool  map[string]int `json:"To"`   // moved objects by new pool
}

// noPool is the key in MovedByPool for objects that match no route after the change.
const noPool = "all"

// plannedObject is an object of the captured load.
type plannedObject struct {
	isMoved bool
	bytes   float64 // largest size among its samples
}

// Plan returns the impact of a change from this view to the next one on a captured load. It does not apply the change.
func (v *View) Plan(next *View, load []LoadSample) Impact {
	impact := Impact{MovedByPool: map[string]int{}}
	objects := map[string]*plannedObject{}
	for _, sample := range load {
		impact.Lookups++
		key := fmt.Sprintf("%d/%d/%s", sample.Kind, sample.Group, sample.Object)
		object := objects[key]
		if object == nil {
			object = &plannedObject{isMoved: v.planObject(next, sample, &impact)}
			objects[key] = object
		}
		if more := sample.Bytes - object.bytes; sample.Bytes > object.bytes {
			impact.Bytes += more
			if object.isMoved {
				impact.MovedBytes += more
			}
			object.bytes = sample.Bytes
		}
	}
	return impact
}

// planObject counts an object at its first sample and reports whether the object moves.
func (v *View) planObject(next *View, sample LoadSample, impact *Impact) (isMoved bool) {
	impact.Objects++
	before := v.Route(sample.Kind, sample.Group, sample.Object).Scope
	after := next.Route(sample.Kind, sample.Group, sample.Object).Scope
	if hasSameCaches(before, after) {
		return false
	}
	impact.MovedObjects++
	if after == nil {
		impact.MovedByPool[noPool]++
	} else {
		impact.MovedByPool[after.Pool]++
	}
	if areDisjoint(before, after) {
		impact.ColdObjects++
	}
	return true
}

func hasSameCaches(a, b *Scope) bool {
	if a == nil || b == nil {
		return a == b
	}
	return maps.Equal(a.Caches, b.Caches)
}

func areDisjoint(a, b *Scope) bool {
	if a == nil || b == nil {
		return false
	}
	for name := range a.Caches {
		if b.Caches[name] {
			return false
		}
	}
	return true
}
