package upstream

import (
	"errors"
	"testing"

	"foldslip/internal/policy"
)

func TestResponses(t *testing.T) {
	text := "00000000000000aa HIT note=via_origin,waited=3.5,ver=4be0,born=1764576000123,load=x:1;y:2 5\r\na\r\nb\n\r\n"
	a, n, err := parseResponse([]byte(text + "next"))
	if err != nil || n != len(text) || a.id != "00000000000000aa" || a.outcome != policy.OutcomeSatisfied || a.detail != policy.DetailFilledFromOrigin ||
		a.sourceWait != 3500 || a.etag != "4be0" || a.createdAt.UnixMilli() != 1764576000123 || string(a.body) != "a\r\nb\n" {
		t.Errorf("%+v, %d, %v", a, n, err)
	}
	for i := range text {
		if _, _, err := parseResponse([]byte(text[:i])); !errors.Is(err, errIncomplete) {
			t.Fatalf("cut at %d: %v", i, err)
		}
	}
	for word, end := range map[string]policy.AttemptOutcome{"NONE": policy.OutcomeMiss, "SHED": policy.OutcomeRejected,
		"FAULT": policy.OutcomeError, "LATE": policy.OutcomeNotSent} {
		if a, _, err := parseResponse([]byte("00000000000000aa " + word + " note=no_slot 0\r\n\r\n")); err != nil || a.outcome != end ||
			a.detail != policy.DetailNoFillSlot {
			t.Errorf("%s: %+v, %v", word, a, err)
		}
	}
	for _, text := range []string{"00000000000000aa NONE 0\r\n\r\n", "00000000000000aa NONE - -1\r\n\r\n", "00000000000000aa NONE x 0\r\n\r\n", "5d302e4b9b02f9164ea8cc4283 NONE - 0\r\n\r\n",
		"00000000000000aa NONE - 0\n\r\n", "00000000000000aa NONE - 0\r\nxx", "00000000000000aa VALID ver=v,born=9 1\r\nx\r\n", "00000000000000aa NONE waited=-1 0\r\n\r\n"} {
		if a, _, err := parseResponse([]byte(text)); err == nil || errors.Is(err, errIncomplete) {
			t.Errorf("%q: %+v, %v", text, a, err)
		}
	}
}

func TestUnusableResponses(t *testing.T) {
	for text, size := range map[string]int{ // framed well: the id is told, what follows can be read
		"00000000000000aa VALID - 0\r\n\r\n": 30, "00000000000000aa MAYBE - 0\r\n\r\n": 30, "00000000000000aa NONE - 3000000000\r\n": 0, "00000000000000aa NONE - 2\r\nnone": 0,
	} {
		if a, n, err := parseResponse([]byte(text + "next")); err == nil || errors.Is(err, errIncomplete) || n != size || n > 0 && a.id != "00000000000000aa" {
			t.Errorf("%q: %+v, %d, %v", text, a, n, err)
		}
	}
}

// What ran at the origin is no copy and says so; whether its lookup may have such an answer is for who knows the lookup.
func TestResponsesWithoutVersion(t *testing.T) {
	for text, bare := range map[string]bool{"HIT - 2\r\nno\r\n": true, "HIT ver=v 2\r\nno\r\n": true, "HIT born=9 0\r\n\r\n": true,
		"HIT ver=v,born=9 0\r\n\r\n": false, "NONE - 0\r\n\r\n": false} {
		if a, _, err := parseResponse([]byte("00000000000000aa " + text)); err != nil || a.hasNoVersion != bare {
			t.Errorf("%q: %+v, %v", text, a, err)
		}
	}
}

func TestRequestLine(t *testing.T) {
	got := string(appendRequestLine(nil, "0a", "segment", "k1", 3, 1500500, "p-1", 2, 999, policy.ModeCoalesce|policy.ModeRevalidate, "v1", "", nil))
	if want := "do 0a c=segment,k=k1,p=3,w=1501,from=p-1,rank=2,oldest=1,mode=j+r,seen=v1 0\r\n\r\n"; got != want {
		t.Errorf("%q", got)
	}
	got = string(appendRequestLine(nil, "0a", "segment", "k1", 0, 1000, "", 0, 0, 0, "", "", nil))
	if want := "do 0a c=segment,k=k1,p=0,w=1 0\r\n\r\n"; got != want {
		t.Errorf("%q", got)
	}
	got = string(appendRequestLine(nil, "0a", "order", "k1", 0, 1000, "o-1", 0, 0, 0, "", "u7", []byte("a\r\nb")))
	if want := "do 0a c=order,k=k1,p=0,w=1,from=o-1,i=u7 4\r\na\r\nb\r\n"; got != want {
		t.Errorf("%q", got)
	}
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("00000000000000aa HIT ver=4be0,born=1764576000123 5\r\na\r\nb\n\r\n"))
	f.Add([]byte("00000000000000aa HIT - 2\r\nno\r\n00000000000000bb HIT ver=v,born=9 3000000000\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, n, err := parseResponse(b)
		if err == nil && (n <= len(a.body) || a.outcome == 0) || n > len(b) || n > 0 && a.id == "" || len(a.body) > MaxObjectBytes {
			t.Errorf("%+v, %d of %d, %v", a, n, len(b), err)
		}
	})
}
