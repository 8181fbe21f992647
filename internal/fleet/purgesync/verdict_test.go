package purgesync

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

const second = int64(1_000_000)

func book(seed uint64) *Book {
	return New(Settings{Turn: second / 2, Keep: 60 * second}, rand.New(rand.NewPCG(seed, 1)), 1)
}

// play lets n gateways greet each other for a time, and tells when all had a purge that one was told at 1 s.
func play(n int, lost float64) (all int64) {
	chance := rand.New(rand.NewPCG(7, 7))
	var books []*Book
	var names []string
	at := map[string]int{}
	for i := range n {
		books = append(books, book(uint64(i)))
		names = append(names, fmt.Sprint(i))
		at[names[i]] = i
		books[i].Own(4, nil, 1)
	}
	books[0].Own(5, []Purge{{No: 5, Object: "x", Issued: 1e12}}, second)
	for now := second; now < 60*second; now += second / 10 {
		have := 0
		for i, b := range books {
			for _, to := range b.Hellos(append(append([]string{}, names[:i]...), names[i+1:]...), now) {
				if chance.Float64() < lost {
					continue
				}
				b.Take(books[at[to]].Answer(b.Hello()), now)
			}
			if b.Kept() > 0 {
				have++
			}
		}
		if have == n {
			return now - second
		}
	}
	return -1
}

func TestAPurgeThatOneGatewayHeardReachesAll(t *testing.T) {
	for _, n := range []int{2, 12, 200} {
		took := play(n, 0)
		if took < 0 || took > 6*second {
			t.Errorf("%d gateways: after %d us", n, took)
		}
	}
	if took := play(12, 0.2); took < 0 || took > 8*second {
		t.Errorf("with loss: after %d us", took)
	}
}

func TestWhatTheOwnBulletinToldIsNotHeededAgain(t *testing.T) {
	b := book(1)
	b.Own(7, []Purge{{No: 7, Object: "x", Issued: 1e12}}, second)
	if heed := b.Take([]Purge{{No: 6, Object: "y", Issued: 1e12}, {No: 7, Object: "x", Issued: 1e12}}, second); len(heed) > 0 {
		t.Error(heed)
	}
	later := Purge{No: 8, Group: 3, Issued: 1e12}
	if heed := b.Take([]Purge{later, later}, second); len(heed) != 1 || heed[0] != later {
		t.Error(heed)
	}
	b.Own(8, []Purge{later}, second)
	if b.Kept() != 2 {
		t.Errorf("%d kept", b.Kept())
	}
}

func TestAPurgeIsPassedOnForItsTime(t *testing.T) {
	b := book(1)
	for i := range int64(3 * mostKept) {
		b.Own(i+1, []Purge{{No: i + 1, Object: "x", Issued: 1e12}}, i)
	}
	if b.Kept() != mostKept {
		t.Errorf("%d kept", b.Kept())
	}
	b.Own(10*mostKept, []Purge{{No: 10 * mostKept, Object: "x", Issued: 1e12}}, 100*second)
	if b.Kept() != 1 {
		t.Errorf("%d kept after their time", b.Kept())
	}
}

func TestABulletinThatCountsAnewMakesTheBookAnew(t *testing.T) {
	b := book(1)
	b.Own(100, []Purge{{No: 100, Object: "x", Issued: 1e12}}, second)
	b.Own(2, nil, 2*second)
	if b.Kept() != 0 || b.Hello() != 2 {
		t.Errorf("%d kept, hello %d", b.Kept(), b.Hello())
	}
}

func TestFramesComeBackAsTheyWere(t *testing.T) {
	f := Frame{From: 7, Answer: true, Seen: 9, Purges: []Purge{{9, "segment-1", 0, 1e12}, {10, "", 3, 1e12 + 5}}}
	b := f.Append(nil)
	got, err := ReadFrame(b)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(f) {
		t.Errorf("%+v %v", got, err)
	}
	for n := range b {
		if _, err := ReadFrame(b[:n]); err == nil {
			t.Errorf("%d bytes of %d are taken", n, len(b))
		}
	}
	long := Frame{Purges: []Purge{{1, strings.Repeat("x", 300), 0, 1}}}
	if got, err := ReadFrame(long.Append(nil)); err != nil || len(got.Purges) != 0 {
		t.Error(got, err)
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add(Frame{From: 7, Answer: true, Seen: 9, Purges: []Purge{{9, "segment-1", 0, 1e12}}}.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		if fr, err := ReadFrame(b); err == nil && !bytes.Equal(fr.Append(nil), b) {
			t.Errorf("%x", b)
		}
	})
}
