package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"foldslip/internal/lab/frozen"
	"foldslip/internal/policy"
)

// The files under testdata/frozen were written by the build at 58d6067. What the gateway writes to caches, and what it reads of them, stays
// to the byte whatever the code that does it is called.

// Each field of a request line alone, all of them together, and the line that gives a request up.
func TestFrozenLinesToCaches(t *testing.T) {
	const id = "00000000000000aa"
	b := appendRequestLine(nil, id, "segment", "7f3a", 0, 0, "", 0, 0, 0, "", "", nil)
	b = appendRequestLine(b, id, "segment", "7f3a", 3, 1, "", 0, 0, 0, "", "", nil)
	b = appendRequestLine(b, id, "segment", "7f3a", 3, 1000001, "", 0, 0, 0, "", "", nil)
	b = appendRequestLine(b, id, "segment", "7f3a", 0, 250000, "origin-1", 0, 0, 0, "", "", nil)
	b = appendRequestLine(b, id, "segment", "7f3a", 0, 250000, "", 2, 0, 0, "", "", nil)
	b = appendRequestLine(b, id, "segment", "7f3a", 0, 250000, "", 0, 999, 0, "", "", nil)
	b = appendRequestLine(b, id, "segment", "7f3a", 0, 250000, "", 0, 2500000, 0, "", "", nil)
	for mode := policy.FetchMode(0); mode < 16; mode++ {
		b = appendRequestLine(b, id, "segment", "7f3a", 0, 250000, "", 0, 0, mode, "", "", nil)
	}
	b = appendRequestLine(b, id, "segment", "7f3a", 0, 250000, "", 0, 0, 0, "4be0", "", nil)
	b = appendRequestLine(b, id, "order", "7f3a", 0, 250000, "", 0, 0, 0, "", "bcedd3", nil)
	b = appendRequestLine(b, id, "order", "7f3a", 0, 250000, "", 0, 0, 0, "", "", []byte("a\r\nb"))
	b = appendRequestLine(b, id, "order", "7f3a", 7, 1500000, "parent-2", 1, 60000000, policy.ModeCoalesce|policy.ModeRevalidate, "4be0", "bcedd3", []byte("all of them"))
	b = appendCancelLine(b, id)
	frozen.Equal(t, "frozen/lines-to-caches", b)
}

// Each kind of answer and each note, and answers that cannot be used.
func TestFrozenAnswersOfCaches(t *testing.T) {
	text := frozen.Read(t, "frozen/answers")
	var read bytes.Buffer
	for len(text) > 0 {
		a, size, err := parseResponse(text)
		if errors.Is(err, errIncomplete) || size == 0 {
			t.Fatalf("cannot be read on from %q: %v", text, err)
		}
		born := int64(0)
		if !a.createdAt.IsZero() {
			born = a.createdAt.UnixMicro()
		}
		fmt.Fprintf(&read, "%s ending=%d remark=%d waited=%d tag=%q born=%d same=%v bare=%v body=%q usable=%v\n", a.id, a.outcome, a.detail, a.sourceWait, a.etag,
			born, a.notModified, a.hasNoVersion, a.body, err == nil)
		text = text[size:]
	}
	frozen.Equal(t, "frozen/answers-as-read", read.Bytes())
}
