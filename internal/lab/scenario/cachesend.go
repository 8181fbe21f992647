package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// errRequest is returned for a line from a gateway that is not a valid request.
var errRequest = errors.New("invalid request")

// attemptRequest is the request of an attempt as a cache parses it from the gateway's line.
type attemptRequest struct {
	id, kind, object, source, etag, mode string
	body                                 string
	part, rank                           int
	timeout, maxAge                      time.Duration
	conn                                 *cacheConn
	kindIndex                            int
	work                                 time.Duration // time of the transfer at a cache without other load
	receivedAt                           time.Duration
	ended                                bool
}

// firstByteAt returns when the gateway wrote the first byte of the request's line. It returns the current time if the
// connection has no attempt with the request's id.
func (request *attemptRequest) firstByteAt() time.Duration {
	for _, a := range request.conn.attempts {
		if a.lookup.id == request.id {
			return a.firstByteAt
		}
	}
	return request.conn.cache.scenario.sim.Now()
}

func (request *attemptRequest) key() string { return partKey(request.object, request.part) }

func (request *attemptRequest) kindSettings() *lookupKind { return &lookupKinds[request.kindIndex] }

// requestBodyLength returns the number of body bytes that follow a request's line, or -1 if the line is not a request.
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

// parseRequest parses a request from its line, without the line end, and its body.
func parseRequest(line, body string) (*attemptRequest, error) {
	words := strings.Split(line, " ")
	if requestBodyLength(line) < 0 {
		return nil, fmt.Errorf("%w: line %q, expected \"do ID FIELDS LENGTH\"", errRequest, line)
	}
	request := &attemptRequest{id: words[1], kindIndex: -1, body: body}
	for _, f := range strings.Split(words[2], ",") {
		name, v, _ := strings.Cut(f, "=")
		n := 0
		var err error
		switch name {
		case "p", "w", "rank", "oldest":
			n, err = strconv.Atoi(v)
		}
		if err != nil || n < 0 {
			return nil, fmt.Errorf("%w: field %q, expected a number of at least 0", errRequest, f)
		}
		switch name {
		case "c":
			request.kind = v
		case "k":
			request.object = v
		case "p":
			request.part = n
		case "w":
			request.timeout = time.Duration(n) * time.Millisecond
		case "from":
			request.source = v
		case "rank":
			request.rank = n
		case "oldest":
			request.maxAge = time.Duration(n) * time.Millisecond
		case "mode":
			request.mode = v
		case "seen":
			request.etag = v
		default:
			return nil, fmt.Errorf("%w: unknown field %q", errRequest, name)
		}
	}
	for i, k := range lookupKinds {
		if k.name == request.kind {
			request.kindIndex = i
		}
	}
	if request.kindIndex < 0 || request.rank > 3 || request.timeout <= 0 || request.object == "" {
		return nil, fmt.Errorf("%w: line %q, expected a known kind, an object, a rank of at most 3 and a timeout above 0 ms", errRequest, line)
	}
	return request, nil
}
