package scenario

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"time"
)

// The name of an object is the initial of its lookups' kind and a number. All that is known of one is computed from its name.

const (
	purgeGroups = 16
	largeKB     = 1200 // of one part in twelve of a segment
	bytesPerKB  = 12   // a cached part has so many bytes for each KB of its work, to keep runs small
)

// objectName is the name of an object of a kind.
func objectName(kind, number int) string {
	return fmt.Sprintf("%c%d", lookupKinds[kind].name[0], number)
}

// partKey is the key of a part in caches.
func partKey(object string, part int) string { return object + "/" + strconv.Itoa(part) }

// groupOf is the purge group of an object.
func groupOf(object string) int { return int(hashString(object) % purgeGroups) }

func hashString(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// partKB is the size of a part as lookups say it.
func partKB(object string, part int) float64 {
	n := hashString(partKey(object, part))
	isSegment := object[0] == 's'
	switch {
	case isSegment && n%12 == 0:
		return largeKB
	case isSegment:
		return 100 + float64(n%400)
	}
	return 10 + float64(n%50)
}

// partBytes is the number of bytes of a cached part.
func partBytes(object string, part int) int {
	kb := partKB(object, part)
	if kb >= largeKB && hashString(object)%2 == 0 {
		return maxBody
	}
	return int(kb * bytesPerKB)
}

// partWork is the time that the transfer of a part takes at a cache.
func partWork(object string, part int) time.Duration {
	return time.Duration(partKB(object, part) / flowKBPerSecond * float64(time.Second))
}

// meanWork is the mean of partWork by kind.
var meanWork = func() (mean [4]time.Duration) {
	const samples = 300
	for kind := range lookupKinds {
		sum := time.Duration(0)
		for n := range samples {
			sum += partWork(objectName(kind, n), n%4)
		}
		mean[kind] = sum / samples
	}
	return mean
}()
