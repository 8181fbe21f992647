package frontend

import (
	"math"
	"strconv"
	"strings"
	"time"

	"foldslip/internal/upstream"
)

const (
	minTimeAllowedMS = -1e12
	maxSizeKB        = 1e9
)

// headerField is a header field that the server reads. Other header fields are ignored.
type headerField struct {
	isSingle bool // the field may occur only once
	parse    func(r *Request, value string) error
}

var headerFields = map[string]headerField{
	headerHost:             {isSingle: true, parse: func(*Request, string) error { return nil }},
	headerID:               {isSingle: true, parse: (*Request).parseID},
	headerTimeAllowed:      {isSingle: true, parse: (*Request).parseTimeAllowed},
	headerGroup:            {isSingle: true, parse: (*Request).parseGroup},
	headerSize:             {isSingle: true, parse: (*Request).parseSize},
	headerIdempotencyKey:   {isSingle: true, parse: (*Request).parseIdempotencyKey},
	headerIfNoneMatch:      {isSingle: true, parse: (*Request).parseIfNoneMatch},
	headerContentLength:    {isSingle: true, parse: (*Request).parseContentLength},
	headerTransferEncoding: {parse: (*Request).rejectTransferEncoding},
	headerConnection:       {parse: (*Request).parseConnection},
}

// parseField parses one header field. seen holds the fields with isSingle that have occurred.
func (r *Request) parseField(name, value string, seen map[string]bool) error {
	field, isKnown := headerFields[name]
	if !isKnown {
		return nil
	}
	if field.isSingle {
		if seen[name] {
			return badRequest(name + " comes twice")
		}
		seen[name] = true
	}
	return field.parse(r, value)
}

func (r *Request) parseID(value string) error {
	if !upstream.IsID(value) {
		return badRequest("X-Job-Id is not 16 hex digits")
	}
	r.ID = value
	return nil
}

func (r *Request) parseTimeAllowed(value string) error {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(ms) || ms > float64(maxTimeAllowed.Milliseconds()) || ms < minTimeAllowedMS {
		return badRequest("X-Allow-Ms is not a time in milliseconds")
	}
	r.TimeAllowed = max(0, time.Duration(ms*float64(time.Millisecond)))
	return nil
}

func (r *Request) parseGroup(value string) error {
	group, err := strconv.ParseUint(value, 10, 8)
	if err != nil {
		return badRequest("X-Group is not a number from 0 to 255")
	}
	r.Group = int(group)
	return nil
}

func (r *Request) parseSize(value string) error {
	kb, err := strconv.ParseFloat(value, 64)
	if err != nil || !(kb >= 0 && kb <= maxSizeKB) {
		return badRequest("X-Ram-Kb is not a size")
	}
	r.SizeKB = kb
	return nil
}

func (r *Request) parseIdempotencyKey(value string) error {
	if !upstream.IsName(value) || len(value) > maxIdempotencyKeyBytes {
		return badRequest("X-Unique is not a word that can be passed on")
	}
	r.IdempotencyKey = value
	return nil
}

// parseIfNoneMatch parses one strong or weak ETag that a request line to a cache can carry. It ignores any other value.
func (r *Request) parseIfNoneMatch(value string) error {
	tag := strings.TrimPrefix(value, "W/")
	if len(tag) > 2 && tag[0] == '"' && tag[len(tag)-1] == '"' && upstream.IsName(tag[1:len(tag)-1]) {
		r.ETag = tag[1 : len(tag)-1]
	}
	return nil
}

func (r *Request) parseContentLength(value string) error {
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return badRequest("Content-Length is not a length")
	}
	if length > upstream.MaxObjectBytes {
		return badRequest("the body is too long")
	}
	r.BodyLength = int(length)
	return nil
}

func (r *Request) rejectTransferEncoding(string) error {
	return badRequest("the length of a body is told by Content-Length alone")
}

// parseConnection parses the connection options. If both close and keep-alive occur, the last one applies.
func (r *Request) parseConnection(value string) error {
	for _, option := range strings.Split(strings.ToLower(value), ",") {
		switch strings.TrimSpace(option) {
		case "close":
			r.ClosesConn = true
		case "keep-alive":
			r.ClosesConn = false
		}
	}
	return nil
}
