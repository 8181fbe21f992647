package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"foldslip/internal/lab/frozen"
	"foldslip/internal/policy"
)

// The files under testdata/frozen were written by the build at 58d6067. They fix to the byte what the
// gateway writes to caches and how it reads their responses, independently of names in the code.

// The file holds request lines with each field alone, one with all fields, and a cancel line.
func TestFrozenLinesToCaches(t *testing.T) {
	const id = "00000000000000aa"
	plain := Request{ID: id, Kind: "segment", Object: "7f3a"}
	part := plain
	part.Part = 3
	const timeout = 250000
	lines := []requestLine{
		{Request: plain},
		{Request: part, timeout: 1},
		{Request: part, timeout: 1000001},
		{Request: plain, timeout: timeout, source: "origin-1"},
		{Request: plain, timeout: timeout, rank: 2},
		{Request: plain, timeout: timeout, maxAge: 999},
		{Request: plain, timeout: timeout, maxAge: 2500000},
	}
	for mode := policy.FetchMode(0); mode < 16; mode++ {
		lines = append(lines, requestLine{Request: plain, timeout: timeout, mode: mode})
	}
	withETag := plain
	withETag.ETag = "4be0"
	withKey := Request{ID: id, Kind: "order", Object: "7f3a", IdempotencyKey: "bcedd3"}
	withBody := Request{ID: id, Kind: "order", Object: "7f3a", Body: []byte("a\r\nb")}
	all := Request{ID: id, Kind: "order", Object: "7f3a", Part: 7, ETag: "4be0", IdempotencyKey: "bcedd3", Body: []byte("all of them")}
	lines = append(lines,
		requestLine{Request: withETag, timeout: timeout},
		requestLine{Request: withKey, timeout: timeout},
		requestLine{Request: withBody, timeout: timeout},
		requestLine{Request: all, timeout: 1500000, source: "parent-2", rank: 1, maxAge: 60000000, mode: policy.ModeCoalesce | policy.ModeRevalidate})
	var b []byte
	for _, line := range lines {
		b = line.appendTo(b)
	}
	b = appendCancelLine(b, id)
	frozen.Equal(t, "frozen/lines-to-caches", b)
}

// The file holds responses with each outcome word and each note, and responses that cannot be used.
func TestFrozenAnswersOfCaches(t *testing.T) {
	text := frozen.Read(t, "frozen/answers")
	var read bytes.Buffer
	for len(text) > 0 {
		r, size, err := parseResponse(text)
		if errors.Is(err, errIncomplete) || size == 0 {
			t.Fatalf("response at %q has no length: %v", text, err)
		}
		createdAt := int64(0)
		if !r.createdAt.IsZero() {
			createdAt = r.createdAt.UnixMicro()
		}
		fmt.Fprintf(&read, "%s ending=%d remark=%d waited=%d tag=%q born=%d same=%v bare=%v body=%q usable=%v\n", r.id, r.outcome, r.detail, r.sourceWait, r.etag,
			createdAt, r.notModified, r.hasNoVersion, r.body, err == nil)
		text = text[size:]
	}
	frozen.Equal(t, "frozen/answers-as-read", read.Bytes())
}
