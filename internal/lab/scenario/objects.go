package scenario

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"time"
)

// The name of an object is the first letter of its kind of lookup and a number.
// Its group and the sizes of its parts are computed from the name.

const (
	purgeGroups = 16   // number of purge groups
	largeKB     = 1200 // size of one in twelve parts of segments
	bytesPerKB  = 12   // bytes of a simulated part for each KB of its declared size, which keeps runs small
)

// objectName returns the name of an object of a kind.
func objectName(kind, number int) string {
	return fmt.Sprintf("%c%d", lookupKinds[kind].name[0], number)
}

// partKey returns the key under which caches store a part.
func partKey(object string, part int) string { return object + "/" + strconv.Itoa(part) }

// groupOf returns the purge group of an object.
func groupOf(object string) int { return int(hashString(object) % purgeGroups) }

func hashString(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// partKB returns the size of a part that lookups declare, in KB.
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

// partBytes returns the number of bytes of a part in the simulation.
func partBytes(object string, part int) int {
	kb := partKB(object, part)
	if kb >= largeKB && hashString(object)%2 == 0 {
		return maxBody
	}
	return int(kb * bytesPerKB)
}

// partWork returns the time that the transfer of a part takes at a cache.
func partWork(object string, part int) time.Duration {
	return time.Duration(partKB(object, part) / flowKBPerSecond * float64(time.Second))
}

// meanWork is the mean transfer time of a part, by kind.
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
