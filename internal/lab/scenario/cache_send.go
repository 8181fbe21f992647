// A send as it reaches a stand-in cache, read from its line.

package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// do is a send as it reached the cache.
type do struct {
	id, kind, object, from, seen, mode string
	bytes                              string
	part, rank                         int
	wait, oldest                       time.Duration
	k                                  *cacheConn
	kind_                              int
	work                               time.Duration
	came                               time.Duration
	over                               bool
}

func (q *do) key() string { return q.object + "/" + strconv.Itoa(q.part) }

// doLength is how many bytes follow the line of a send; -1: it is none.
func doLength(line string) int {
	words := strings.Split(line, " ")
	if len(words) != 4 || words[0] != "do" {
		return -1
	}
	n, err := strconv.ParseUint(words[3], 10, 20)
	if err != nil {
		return -1
	}
	return int(n)
}

// readDo reads the line of a send, without the line's end, and the bytes that follow it.
func readDo(line, bytes string) (*do, error) {
	words := strings.Split(line, " ")
	if doLength(line) < 0 {
		return nil, fmt.Errorf("%q is no send", line)
	}
	q := &do{id: words[1], kind_: -1, bytes: bytes}
	for _, f := range strings.Split(words[2], ",") {
		name, v, _ := strings.Cut(f, "=")
		n := 0
		var err error
		switch name {
		case "p", "w", "rank", "oldest":
			n, err = strconv.Atoi(v)
		}
		if err != nil || n < 0 {
			return nil, fmt.Errorf("%q in a send cannot be read", f)
		}
		switch name {
		case "c":
			q.kind = v
		case "k":
			q.object = v
		case "p":
			q.part = n
		case "w":
			q.wait = time.Duration(n) * time.Millisecond
		case "from":
			q.from = v
		case "rank":
			q.rank = n
		case "oldest":
			q.oldest = time.Duration(n) * time.Millisecond
		case "mode":
			q.mode = v
		case "seen":
			q.seen = v
		default:
			return nil, fmt.Errorf("field %q of a send is unknown", name)
		}
	}
	for i, k := range kinds {
		if k.name == q.kind {
			q.kind_ = i
		}
	}
	if q.kind_ < 0 || q.rank > 3 || q.wait <= 0 || q.object == "" {
		return nil, fmt.Errorf("%q has fields that cannot be used", line)
	}
	return q, nil
}
