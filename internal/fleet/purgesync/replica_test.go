package purgesync

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

const second = int64(1_000_000)

func newReplica(seed uint64) *Replica {
	return New(Settings{DigestInterval: second / 2, KeepFor: 60 * second}, rand.New(rand.NewPCG(seed, 1)), 1)
}

// timeToReachAll lets n gateways exchange digests, a share of which is lost. It returns the time in microseconds until
// all gateways have a purge that one of them published, or -1 if they do not have it within a minute.
func timeToReachAll(n int, lossShare float64) int64 {
	rng := rand.New(rand.NewPCG(7, 7))
	var replicas []*Replica
	var names []string
	index := map[string]int{}
	for i := range n {
		replicas = append(replicas, newReplica(uint64(i)))
		names = append(names, fmt.Sprint(i))
		index[names[i]] = i
		replicas[i].RecordOwn(4, nil, 1)
	}
	replicas[0].RecordOwn(5, []Purge{{Event: 5, Object: "x", Issued: 1e12}}, second)
	for now := second; now < 60*second; now += second / 10 {
		received := 0
		for i, replica := range replicas {
			peers := slices.Concat(names[:i], names[i+1:])
			for _, to := range replica.DigestTargets(peers, now) {
				if rng.Float64() < lossShare {
					continue
				}
				replica.Merge(replicas[index[to]].Delta(replica.Digest()), now)
			}
			if replica.KeptCount() > 0 {
				received++
			}
		}
		if received == n {
			return now - second
		}
	}
	return -1
}

func TestPurgeKnownToOneGatewayReachesAll(t *testing.T) {
	for _, n := range []int{2, 12, 200} {
		if elapsed := timeToReachAll(n, 0); elapsed < 0 || elapsed > 6*second {
			t.Errorf("%d gateways: purge reached all after %d us, want 0 to 6 s", n, elapsed)
		}
	}
	if elapsed := timeToReachAll(12, 0.2); elapsed < 0 || elapsed > 8*second {
		t.Errorf("12 gateways, a fifth of the digests lost: purge reached all after %d us, want 0 to 8 s", elapsed)
	}
}

func TestOwnPurgesAreNotAppliedAgain(t *testing.T) {
	r := newReplica(1)
	r.RecordOwn(7, []Purge{{Event: 7, Object: "x", Issued: 1e12}}, second)
	if learned := r.Merge([]Purge{{Event: 6, Object: "y", Issued: 1e12}, {Event: 7, Object: "x", Issued: 1e12}}, second); len(learned) > 0 {
		t.Error(learned)
	}
	later := Purge{Event: 8, Group: 3, Issued: 1e12}
	if learned := r.Merge([]Purge{later, later}, second); len(learned) != 1 || learned[0] != later {
		t.Error(learned)
	}
	r.RecordOwn(8, []Purge{later}, second)
	if r.KeptCount() != 2 {
		t.Errorf("%d purges kept, want 2", r.KeptCount())
	}
}

func TestKeptPurgesAreBoundedByAgeAndCount(t *testing.T) {
	r := newReplica(1)
	for i := range int64(3 * maxKept) {
		r.RecordOwn(i+1, []Purge{{Event: i + 1, Object: "x", Issued: 1e12}}, i)
	}
	if r.KeptCount() != maxKept {
		t.Errorf("%d purges kept, want maxKept", r.KeptCount())
	}
	r.RecordOwn(10*maxKept, []Purge{{Event: 10 * maxKept, Object: "x", Issued: 1e12}}, 100*second)
	if r.KeptCount() != 1 {
		t.Errorf("%d purges kept after KeepFor, want 1", r.KeptCount())
	}
}

func TestRestartedEventNumbersResetTheReplica(t *testing.T) {
	r := newReplica(1)
	r.RecordOwn(100, []Purge{{Event: 100, Object: "x", Issued: 1e12}}, second)
	r.RecordOwn(2, nil, 2*second)
	if r.KeptCount() != 0 || r.Digest() != 2 {
		t.Errorf("%d purges kept and digest %d after the numbering restarted, want 0 and 2", r.KeptCount(), r.Digest())
	}
}

func TestFramesRoundTrip(t *testing.T) {
	f := Frame{SenderKey: 7, IsDelta: true, Digest: 9, Purges: []Purge{{9, "segment-1", 0, 1e12}, {10, "", 3, 1e12 + 5}}}
	b := f.Append(nil)
	got, err := ParseFrame(b)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(f) {
		t.Errorf("ParseFrame returned %+v and the error %v", got, err)
	}
	for n := range b {
		if _, err := ParseFrame(b[:n]); err == nil {
			t.Errorf("ParseFrame accepted the first %d of %d bytes", n, len(b))
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
		if frame, err := ParseFrame(b); err == nil && !bytes.Equal(frame.Append(nil), b) {
			t.Errorf("ParseFrame accepted %x, but Append encodes the frame to other bytes", b)
		}
	})
}
