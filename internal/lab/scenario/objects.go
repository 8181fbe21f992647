package scenario

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"time"
)

func groupOf(object string) int { return int(hashString(object) % 16) }

func hashString(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// partKB is the size of a part as lookups count it.
func partKB(object string, part int) float64 {
	n := hashString(object + "/" + strconv.Itoa(part))
	switch {
	case object[0] == 's' && n%12 == 0:
		return 1200
	case object[0] == 's':
		return 100 + float64(n%400)
	}
	return 10 + float64(n%50)
}

func partBytes(object string, part int) int {
	kb := partKB(object, part)
	if kb >= 1200 && hashString(object)%2 == 0 {
		return maxBody
	}
	return int(kb * 12)
}

// meanWork is the mean of workOf by kind.
var meanWork = func() (mean [4]time.Duration) {
	for i, k := range lookupKinds {
		sum := time.Duration(0)
		for n := range 300 {
			sum += partWork(fmt.Sprintf("%c%d", k.name[0], n), n%4)
		}
		mean[i] = sum / 300
	}
	return mean
}()

func partWork(object string, part int) time.Duration {
	return time.Duration(partKB(object, part) / flowKBPerSecond * float64(time.Second))
}
