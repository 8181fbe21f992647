package upstream

import (
	"errors"
	"testing"

	"foldslip/internal/policy"
)

func TestResponses(t *testing.T) {
	text := "00000000000000aa HIT note=via_origin,waited=3.5,ver=4be0,born=1764576000123,load=x:1;y:2 5\r\na\r\nb\n\r\n"
	r, n, err := parseResponse([]byte(text + "next"))
	if err != nil || n != len(text) || r.id != "00000000000000aa" || r.outcome != policy.OutcomeSatisfied || r.detail != policy.DetailFilledFromOrigin ||
		r.sourceWait != 3500 || r.etag != "4be0" || r.createdAt.UnixMilli() != 1764576000123 || string(r.body) != "a\r\nb\n" {
		t.Errorf("parseResponse returned %+v, %d, %v", r, n, err)
	}
	for i := range text {
		if _, _, err := parseResponse([]byte(text[:i])); !errors.Is(err, errIncomplete) {
			t.Fatalf("response cut at byte %d: %v, expected errIncomplete", i, err)
		}
	}
	for word, outcome := range map[string]policy.AttemptOutcome{"NONE": policy.OutcomeMiss, "SHED": policy.OutcomeRejected,
		"FAULT": policy.OutcomeError, "LATE": policy.OutcomeNotSent} {
		if r, _, err := parseResponse([]byte("00000000000000aa " + word + " note=no_slot 0\r\n\r\n")); err != nil || r.outcome != outcome ||
			r.detail != policy.DetailNoFillSlot {
			t.Errorf("outcome word %s: got %+v, %v", word, r, err)
		}
	}
	for _, text := range []string{"00000000000000aa NONE 0\r\n\r\n", "00000000000000aa NONE - -1\r\n\r\n", "00000000000000aa NONE x 0\r\n\r\n", "5d302e4b9b02f9164ea8cc4283 NONE - 0\r\n\r\n",
		"00000000000000aa NONE - 0\n\r\n", "00000000000000aa NONE - 0\r\nxx", "00000000000000aa VALID ver=v,born=9 1\r\nx\r\n", "00000000000000aa NONE waited=-1 0\r\n\r\n"} {
		if r, _, err := parseResponse([]byte(text)); err == nil || errors.Is(err, errIncomplete) {
			t.Errorf("%q: got %+v, %v", text, r, err)
		}
	}
}

func TestUnusableResponses(t *testing.T) {
	// A response that is framed correctly is returned with its id and size, so that the next response can be parsed.
	for text, size := range map[string]int{
		"00000000000000aa VALID - 0\r\n\r\n": 30, "00000000000000aa MAYBE - 0\r\n\r\n": 30, "00000000000000aa NONE - 3000000000\r\n": 0, "00000000000000aa NONE - 2\r\nnone": 0,
	} {
		if r, n, err := parseResponse([]byte(text + "next")); err == nil || errors.Is(err, errIncomplete) || n != size || n > 0 && r.id != "00000000000000aa" {
			t.Errorf("%q: got %+v, %d, %v", text, r, n, err)
		}
	}
}

// A response of a lookup that ran at the origin has no version and is not a copy. Whether a lookup
// accepts such a response depends on the lookup, not on the parser.
func TestResponsesWithoutVersion(t *testing.T) {
	for text, hasNoVersion := range map[string]bool{"HIT - 2\r\nno\r\n": true, "HIT ver=v 2\r\nno\r\n": true, "HIT born=9 0\r\n\r\n": true,
		"HIT ver=v,born=9 0\r\n\r\n": false, "NONE - 0\r\n\r\n": false} {
		if r, _, err := parseResponse([]byte("00000000000000aa " + text)); err != nil || r.hasNoVersion != hasNoVersion {
			t.Errorf("%q: got %+v, %v", text, r, err)
		}
	}
}

func TestRequestLine(t *testing.T) {
	for _, c := range []struct {
		line requestLine
		want string
	}{
		{requestLine{Request: Request{ID: "0a", Kind: "segment", Object: "k1", Part: 3, ETag: "v1"}, timeout: 1500500, source: "p-1", rank: 2, maxAge: 999,
			mode: policy.ModeCoalesce | policy.ModeRevalidate}, "do 0a c=segment,k=k1,p=3,w=1501,from=p-1,rank=2,oldest=1,mode=j+r,seen=v1 0\r\n\r\n"},
		{requestLine{Request: Request{ID: "0a", Kind: "segment", Object: "k1"}, timeout: 1000}, "do 0a c=segment,k=k1,p=0,w=1 0\r\n\r\n"},
		{requestLine{Request: Request{ID: "0a", Kind: "order", Object: "k1", IdempotencyKey: "u7", Body: []byte("a\r\nb")}, timeout: 1000, source: "o-1"},
			"do 0a c=order,k=k1,p=0,w=1,from=o-1,i=u7 4\r\na\r\nb\r\n"},
	} {
		if got := string(c.line.appendTo(nil)); got != c.want {
			t.Errorf("got %q, expected %q", got, c.want)
		}
	}
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("00000000000000aa HIT ver=4be0,born=1764576000123 5\r\na\r\nb\n\r\n"))
	f.Add([]byte("00000000000000aa HIT - 2\r\nno\r\n00000000000000bb HIT ver=v,born=9 3000000000\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, n, err := parseResponse(b)
		if err == nil && (n <= len(r.body) || r.outcome == 0) || n > len(b) || n > 0 && r.id == "" || len(r.body) > MaxObjectBytes {
			t.Errorf("parseResponse returned %+v, length %d of %d bytes, %v", r, n, len(b), err)
		}
	})
}
