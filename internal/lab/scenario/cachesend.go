// A send as it reaches a stand-in cache, read from its line.

package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// attemptRequest is a send as it reached the cache.
type attemptRequest struct {
	id, kind, object, source, etag, mode string
	body                                 string
	part, rank                           int
	timeout, maxAge                      time.Duration
	conn                                 *cacheConn
	kindIndex                            int
	work                                 time.Duration
	receivedAt                           time.Duration
	ended                                bool
}

func (q *attemptRequest) key() string { return q.object + "/" + strconv.Itoa(q.part) }

// requestBodyLength is how many bytes follow the line of a send; -1: it is none.
func requestBodyLength(line string) int {
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

// parseRequest reads the line of a send, without the line's end, and the bytes that follow it.
func parseRequest(line, bytes string) (*attemptRequest, error) {
	words := strings.Split(line, " ")
	if requestBodyLength(line) < 0 {
		return nil, fmt.Errorf("%q is no send", line)
	}
	q := &attemptRequest{id: words[1], kindIndex: -1, body: bytes}
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
			q.timeout = time.Duration(n) * time.Millisecond
		case "from":
			q.source = v
		case "rank":
			q.rank = n
		case "oldest":
			q.maxAge = time.Duration(n) * time.Millisecond
		case "mode":
			q.mode = v
		case "seen":
			q.etag = v
		default:
			return nil, fmt.Errorf("field %q of a send is unknown", name)
		}
	}
	for i, k := range lookupKinds {
		if k.name == q.kind {
			q.kindIndex = i
		}
	}
	if q.kindIndex < 0 || q.rank > 3 || q.timeout <= 0 || q.object == "" {
		return nil, fmt.Errorf("%q has fields that cannot be used", line)
	}
	return q, nil
}
