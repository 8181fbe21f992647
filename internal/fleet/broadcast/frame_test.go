package broadcast

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func drawPurge(t *rapid.T) Purge {
	p := Purge{Issued: rapid.Int64Range(1, maxIssued-1).Draw(t, "issued")}
	switch rapid.IntRange(0, 4).Draw(t, "shape") {
	case 0:
		p.Object = hexString(rapid.Uint64().Draw(t, "name"))
	case 1:
		p.Group = rapid.Int64().Draw(t, "group")
	case 2:
		p.Object = string(rapid.SliceOfN(rapid.Byte(), 1, maxObjectNameBytes).Draw(t, "bytes"))
	case 3:
		p.Object, p.Group = hexString(rapid.Uint64().Draw(t, "name")), rapid.Int64().Draw(t, "group")
	case 4:
		p.Object = strings.ToUpper(hexString(rapid.Uint64().Draw(t, "name"))) // 16 bytes, and no name of the short form
	}
	return p
}

func TestBatchesReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(drawPurge), 1, 300).Draw(t, "purges")
		sortByIssue(all)
		id := batchID{rapid.Uint64().Draw(t, "origin"), rapid.Uint64Range(1, maxSeq).Draw(t, "seq")}
		by := tier(rapid.IntRange(0, int(other)).Draw(t, "tier"))
		for rest := all; len(rest) > 0; {
			frame, took := encodeBatch(id, by, rest)
			if took == 0 || len(frame) > maxFrameBytes {
				t.Fatalf("%d purges in %d bytes", took, len(frame))
			}
			r := frameReader{rest: frame[2:]}
			if got, tier, purges := r.batchID(), r.tier(), r.purges(); !r.isComplete() || got != id || tier != by || !slices.Equal(purges, rest[:took]) {
				t.Fatalf("wrote %v %v, read %v %v", id, rest[:took], got, purges)
			}
			if cut := rapid.IntRange(2, len(frame)-1).Draw(t, "cut"); isReadable(frame[:cut]) {
				t.Fatalf("read %d bytes of %d", cut, len(frame))
			}
			if isReadable(append(slices.Clone(frame), 0)) {
				t.Fatal("read a frame with a byte too many")
			}
			rest = rest[took:]
		}
	})
}

func TestSumsAndHavesReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		haves := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) originProgress {
			return originProgress{rapid.Uint64().Draw(t, "origin"), rapid.Uint64Range(0, maxSeq).Draw(t, "top"), rapid.Uint64().Draw(t, "after")}
		}), 0, maxOriginsPerFrame).Draw(t, "haves")
		frame := encodeLazyPush(haves)
		if r := (frameReader{rest: frame[2:]}); !slices.Equal(r.lazyPush(), haves) || !r.isComplete() || len(frame) > maxFrameBytes {
			t.Fatalf("%v not read", haves)
		}
		s := sums{from: minute * rapid.Int64Range(0, 1e9).Draw(t, "from"), step: minute}
		s.list = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) purgeSum {
			return purgeSum{rapid.Uint64Range(0, 1<<32).Draw(t, "count"), rapid.Uint64().Draw(t, "ids")}
		}), 0, maxSumsPerFrame).Draw(t, "sums")
		frame = encodeLatestSums(s)
		r := frameReader{rest: frame[2:]}
		got := r.sums()
		if !r.isComplete() || len(frame) > maxFrameBytes || len(got.list) > len(s.list) || !slices.Equal(got.list, s.list[len(s.list)-len(got.list):]) {
			t.Fatalf("%v read as %v", s, got)
		}
		ids := rapid.SliceOfN(rapid.Uint32(), 0, maxIDsPerFrame).Draw(t, "ids")
		p := pullRequest{second: s.from, bits: 3, prefix: 5, ids: ids}
		if frame = encodePullRequest(p); len(frame) > maxFrameBytes {
			t.Fatalf("a pull of %d bytes", len(frame))
		}
		r = frameReader{rest: frame[2:]}
		if back := r.pullRequest(); !r.isComplete() || back.second != p.second || back.bits != 3 || back.prefix != 5 || !slices.Equal(back.ids, ids) {
			t.Fatalf("%v read as %v", p, back)
		}
	})
}

func isReadable(frame []byte) bool {
	_, err := twoNodeSite().HandleFrame("gw-0001", frame, 0)
	return err == nil
}

// twoNodeSite is a node of a site of two, where nothing runs.
func twoNodeSite() *Node {
	all := testMembers(2, 1, 1, 1)
	n := New(testSettings(), all[0], 1, rand.New(rand.NewPCG(1, 1)), 0)
	n.SetMembers(all, 0)
	return n
}

// TestLongestWants: a want of as many batches as may be fits a frame.
func TestLongestWants(t *testing.T) {
	all := make([]batchID, maxRepairsPerFrame)
	for i := range all {
		all[i] = batchID{1 << 63, maxSeq - uint64(i)}
	}
	if frame := encodeRepairRequest(all); len(frame) > maxFrameBytes || !isReadable(frame) {
		t.Errorf("%d bytes", len(frame))
	}
}

// FuzzTake: no frame does harm: what is taken is plausible and what is sent fits, and bounds hold.
func FuzzTake(f *testing.F) {
	some := []Purge{{Object: "00112233445566ff", Issued: epoch}, {Group: 17, Issued: epoch + 5}, {Object: "a name", Group: -1, Issued: epoch + 9}}
	batch, _ := encodeBatch(batchID{7, 1}, root, some)
	items, _ := encodePurges(pullRequest{second: epoch / 1000}, true, some)
	for _, b := range [][]byte{batch, items, encodeLazyPush([]originProgress{{7, 3, 5}}), encodeRepairRequest([]batchID{{7, 1}}), encodeSum(span{0, 100}, purgeSum{1, 2}),
		encodeSums(sums{0, minute, []purgeSum{{1, 2}}}), encodeSumsRequest(epoch / 60000 * 60), encodePullRequest(pullRequest{second: epoch / 1000, ids: []uint32{1}})} {
		f.Add(b, uint8(0))
		f.Add(b, uint8(3))
	}
	f.Fuzz(func(t *testing.T, b []byte, flip uint8) {
		n := twoNodeSite()
		n.RecordOwn(some, 0)
		for i, frame := range [][]byte{b, bytes.Repeat([]byte{flip}, len(b)%64), b} {
			heed, err := n.HandleFrame("gw-0000", frame, int64(i)*1_000_000)
			if err != nil && len(heed) > 0 {
				t.Fatal("an unreadable frame told something")
			}
			for _, p := range heed {
				if !p.isPlausible() || len(p.Object) > maxObjectNameBytes {
					t.Fatalf("told %v", p)
				}
			}
			n.Step(int64(i) * 1_000_000)
		}
		for _, l := range n.TakeMessages() {
			if len(l.Frame) > maxFrameBytes || !isReadable(l.Frame) {
				t.Fatalf("sends %x", l.Frame)
			}
		}
		checkBounds(t, n)
	})
}

func checkBounds(t interface{ Fatalf(string, ...any) }, n *Node) {
	for _, b := range []struct {
		what    string
		is, max int
	}{
		{"kept", n.kept.count, n.settings.MaxKept}, {"minutes", len(n.kept.minutes), maxMinutes}, {"long names", len(n.kept.longNames), maxLongNames},
		{"waiting", len(n.waiting), maxWaiting}, {"origins", len(n.origins), maxOrigins}, {"batches", len(n.stored), maxStoredBatches},
		{"batches by time", len(n.storedOrder), maxStoredBatches}, {"wants", len(n.repairs), maxRepairs}, {"children", len(n.tree.children), fanOut}, {"grafts", len(n.grafts), 8}, {"heard", len(n.lastSeen), 32},
	} {
		if b.is > b.max {
			t.Fatalf("%d %s, at most %d", b.is, b.what, b.max)
		}
	}
	if s := n.session; s != nil && (len(s.open) > maxOpenRequests || len(s.pending) > maxPendingRequests) {
		t.Fatalf("a session of %d and %d requests", len(s.open), len(s.pending))
	}
	items, minutes := 0, map[int64]purgeSum{}
	for sec, s := range n.kept.seconds {
		items += len(s.purges)
		m := minutes[sec/minute]
		for i, it := range s.purges {
			m = purgeSum{m.count + 1, m.ids + it.id}
			if i > 0 && s.purges[i-1].id > it.id {
				t.Fatalf("a second out of order")
			}
		}
		minutes[sec/minute] = m
	}
	if items != n.kept.count || len(minutes) != len(n.kept.minutes) {
		t.Fatalf("%d items counted as %d, %d minutes as %d", items, n.kept.count, len(minutes), len(n.kept.minutes))
	}
	for m, of := range minutes {
		if n.kept.minutes[m] != of {
			t.Fatalf("a minute's sum is wrong")
		}
	}
}
