package purgesync

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

const second = int64(1_000_000)

func newReplica(seed uint64) *Replica {
	return New(Settings{DigestInterval: second / 2, KeepFor: 60 * second}, rand.New(rand.NewPCG(seed, 1)), 1)
}

// timeToReachAll lets n gateways greet each other for a time, and tells when all had a purge that one was told at 1 s.
func timeToReachAll(n int, lost float64) (all int64) {
	chance := rand.New(rand.NewPCG(7, 7))
	var books []*Replica
	var names []string
	at := map[string]int{}
	for i := range n {
		books = append(books, newReplica(uint64(i)))
		names = append(names, fmt.Sprint(i))
		at[names[i]] = i
		books[i].RecordOwn(4, nil, 1)
	}
	books[0].RecordOwn(5, []Purge{{Event: 5, Object: "x", Issued: 1e12}}, second)
	for now := second; now < 60*second; now += second / 10 {
		have := 0
		for i, b := range books {
			for _, to := range b.DigestTargets(append(append([]string{}, names[:i]...), names[i+1:]...), now) {
				if chance.Float64() < lost {
					continue
				}
				b.Merge(books[at[to]].Delta(b.Digest()), now)
			}
			if b.KeptCount() > 0 {
				have++
			}
		}
		if have == n {
			return now - second
		}
	}
	return -1
}

func TestPurgeKnownToOneGatewayReachesAll(t *testing.T) {
	for _, n := range []int{2, 12, 200} {
		took := timeToReachAll(n, 0)
		if took < 0 || took > 6*second {
			t.Errorf("%d gateways: after %d us", n, took)
		}
	}
	if took := timeToReachAll(12, 0.2); took < 0 || took > 8*second {
		t.Errorf("with loss: after %d us", took)
	}
}

func TestOwnPurgesAreNotAppliedAgain(t *testing.T) {
	b := newReplica(1)
	b.RecordOwn(7, []Purge{{Event: 7, Object: "x", Issued: 1e12}}, second)
	if heed := b.Merge([]Purge{{Event: 6, Object: "y", Issued: 1e12}, {Event: 7, Object: "x", Issued: 1e12}}, second); len(heed) > 0 {
		t.Error(heed)
	}
	later := Purge{Event: 8, Group: 3, Issued: 1e12}
	if heed := b.Merge([]Purge{later, later}, second); len(heed) != 1 || heed[0] != later {
		t.Error(heed)
	}
	b.RecordOwn(8, []Purge{later}, second)
	if b.KeptCount() != 2 {
		t.Errorf("%d kept", b.KeptCount())
	}
}

func TestPurgesAreKeptForTheirTimeAndNumber(t *testing.T) {
	b := newReplica(1)
	for i := range int64(3 * maxKept) {
		b.RecordOwn(i+1, []Purge{{Event: i + 1, Object: "x", Issued: 1e12}}, i)
	}
	if b.KeptCount() != maxKept {
		t.Errorf("%d kept", b.KeptCount())
	}
	b.RecordOwn(10*maxKept, []Purge{{Event: 10 * maxKept, Object: "x", Issued: 1e12}}, 100*second)
	if b.KeptCount() != 1 {
		t.Errorf("%d kept after their time", b.KeptCount())
	}
}

func TestRestartedEventNumbersResetTheReplica(t *testing.T) {
	b := newReplica(1)
	b.RecordOwn(100, []Purge{{Event: 100, Object: "x", Issued: 1e12}}, second)
	b.RecordOwn(2, nil, 2*second)
	if b.KeptCount() != 0 || b.Digest() != 2 {
		t.Errorf("%d kept, hello %d", b.KeptCount(), b.Digest())
	}
}

func TestFramesRoundTrip(t *testing.T) {
	f := Frame{SenderKey: 7, IsDelta: true, Digest: 9, Purges: []Purge{{9, "segment-1", 0, 1e12}, {10, "", 3, 1e12 + 5}}}
	b := f.Append(nil)
	got, err := ParseFrame(b)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(f) {
		t.Errorf("%+v %v", got, err)
	}
	for n := range b {
		if _, err := ParseFrame(b[:n]); err == nil {
			t.Errorf("%d bytes of %d are taken", n, len(b))
		}
	}
	long := Frame{Purges: []Purge{{1, strings.Repeat("x", 300), 0, 1}}}
	if got, err := ParseFrame(long.Append(nil)); err != nil || len(got.Purges) != 0 {
		t.Error(got, err)
	}
}

func FuzzParseFrame(f *testing.F) {
	f.Add(Frame{SenderKey: 7, IsDelta: true, Digest: 9, Purges: []Purge{{9, "segment-1", 0, 1e12}}}.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		if fr, err := ParseFrame(b); err == nil && !bytes.Equal(fr.Append(nil), b) {
			t.Errorf("%x", b)
		}
	})
}
