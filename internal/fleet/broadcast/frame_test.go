package broadcast

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawPurge draws a random purge of any shape.
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
		p.Object = strings.ToUpper(hexString(rapid.Uint64().Draw(t, "name"))) // 16 bytes that cannot be packed
	}
	return p
}

func TestBatchesReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		purges := rapid.SliceOfN(rapid.Custom(drawPurge), 1, 300).Draw(t, "purges")
		sortByIssue(purges)
		id := batchID{rapid.Uint64().Draw(t, "origin"), rapid.Uint64Range(1, maxSeq).Draw(t, "seq")}
		originTier := tier(rapid.IntRange(0, int(siteMember)).Draw(t, "tier"))
		for rest := purges; len(rest) > 0; {
			frame, fitting := encodeBatch(id, originTier, rest)
			if fitting == 0 || len(frame) > maxFrameBytes {
				t.Fatalf("encoded %d purges in %d bytes, want at least 1 in at most maxFrameBytes", fitting, len(frame))
			}
			r := frameReader{rest: frame[frameHeaderSize:]}
			got := r.batch(frame)
			if !r.isComplete() || got.id != id || got.originTier != originTier || !slices.Equal(got.purges, rest[:fitting]) {
				t.Fatalf("wrote batch %v of %v, read batch %v of %v", id, rest[:fitting], got.id, got.purges)
			}
			if cut := rapid.IntRange(2, len(frame)-1).Draw(t, "cut"); isReadable(frame[:cut]) {
				t.Fatalf("the first %d of %d bytes were accepted as a whole frame", cut, len(frame))
			}
			if isReadable(append(slices.Clone(frame), 0)) {
				t.Fatal("a frame with a byte too many was accepted")
			}
			rest = rest[fitting:]
		}
	})
}

func TestLazyPushesReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origins := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) originProgress {
			return originProgress{rapid.Uint64().Draw(t, "origin"), rapid.Uint64Range(0, maxSeq).Draw(t, "contiguous"), rapid.Uint64().Draw(t, "after")}
		}), 0, maxOriginsPerFrame).Draw(t, "origins")
		frame := encodeLazyPush(origins)
		r := frameReader{rest: frame[frameHeaderSize:]}
		if got := r.lazyPush(); !slices.Equal(got, origins) || !r.isComplete() || len(frame) > maxFrameBytes {
			t.Fatalf("wrote the progress of origins %v, read %v", origins, got)
		}
	})
}

func TestSumsReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := sums{from: minute * rapid.Int64Range(0, 1e9).Draw(t, "from"), step: minute}
		s.list = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) purgeSum {
			return purgeSum{rapid.Uint64Range(0, 1<<32).Draw(t, "count"), rapid.Uint64().Draw(t, "ids")}
		}), 0, maxSumsPerFrame).Draw(t, "sums")
		frame := encodeLatestSums(s)
		r := frameReader{rest: frame[frameHeaderSize:]}
		got := r.sums()
		if !r.isComplete() || len(frame) > maxFrameBytes || len(got.list) > len(s.list) || !slices.Equal(got.list, s.list[len(s.list)-len(got.list):]) {
			t.Fatalf("wrote the sums %v, read %v", s, got)
		}
	})
}

func TestPullRequestsReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		second := minute * rapid.Int64Range(0, 1e9).Draw(t, "minute")
		ids := rapid.SliceOfN(rapid.Uint32(), 0, maxIDsPerFrame).Draw(t, "ids")
		request := pullRequest{second: second, bits: 3, prefix: 5, ids: ids}
		frame := encodePullRequest(request)
		if len(frame) > maxFrameBytes {
			t.Fatalf("encoded a pull request of %d bytes, want at most maxFrameBytes", len(frame))
		}
		r := frameReader{rest: frame[frameHeaderSize:]}
		if got := r.pullRequest(); !r.isComplete() || !got.isSameAs(request) || !slices.Equal(got.ids, ids) {
			t.Fatalf("wrote the pull request %v, read %v", request, got)
		}
	})
}

// isReadable reports whether a node can read a frame.
func isReadable(frame []byte) bool {
	_, err := twoNodeSite().HandleFrame("gw-0001", frame, 0)
	return err == nil
}

// twoNodeSite returns one node of a site with two nodes.
func twoNodeSite() *Node {
	members := testMembers(2, 1, 1, 1)
	n := New(testSettings(), members[0], 1, rand.New(rand.NewPCG(1, 1)), 0)
	n.SetMembers(members, 0)
	return n
}

// TestBatchWithoutPurgesIsRefused guards against a panic with index -1, which occurred at a gateway that received a
// batch frame without purges.
func TestBatchWithoutPurgesIsRefused(t *testing.T) {
	frame := []byte{
		Kind, frameBatch,
		1, 2, 3, 4, 5, 6, 7, 8, // origin
		1, // sequence of the batch
		0, // tier of the origin
		0, // number of purges
	}
	node := twoNodeSite()
	if learned, err := node.HandleFrame("gw-0000", frame, 1); err == nil || len(learned) > 0 {
		t.Errorf("a batch without purges was accepted: learned %v, error %v", learned, err)
	}
	if node.stats.UnreadableFrames != 1 || len(node.stored) > 0 || len(node.TakeMessages()) > 0 {
		t.Errorf("an unreadable frame was not counted, or was stored or forwarded: %+v", node.stats)
	}
}

// TestLongestRepairRequest checks that a request for maxRepairsPerFrame batches fits a frame at its longest encoding.
func TestLongestRepairRequest(t *testing.T) {
	ids := make([]batchID, maxRepairsPerFrame)
	for i := range ids {
		ids[i] = batchID{1 << 63, maxSeq - uint64(i)}
	}
	if frame := encodeRepairRequest(ids); len(frame) > maxFrameBytes || !isReadable(frame) {
		t.Errorf("the longest repair request has %d bytes, or cannot be read", len(frame))
	}
}

// FuzzHandleFrame checks that no frame does harm: the learned purges are plausible, the frames sent in answer can be
// read, and the node keeps within its bounds.
func FuzzHandleFrame(f *testing.F) {
	purges := []Purge{{Object: "00112233445566ff", Issued: epoch}, {Group: 17, Issued: epoch + 5}, {Object: "a name", Group: -1, Issued: epoch + 9}}
	batch, _ := encodeBatch(batchID{7, 1}, root, purges)
	pulled, _ := encodePurges(pullRequest{second: epoch / 1000}, true, purges)
	for _, b := range [][]byte{batch, pulled, encodeLazyPush([]originProgress{{7, 3, 5}}), encodeRepairRequest([]batchID{{7, 1}}), encodeSum(span{0, 100}, purgeSum{1, 2}),
		encodeSums(sums{0, minute, []purgeSum{{1, 2}}}), encodeSumsRequest(epoch / 60000 * 60), encodePullRequest(pullRequest{second: epoch / 1000, ids: []uint32{1}})} {
		f.Add(b, uint8(0))
		f.Add(b, uint8(3))
	}
	f.Fuzz(func(t *testing.T, b []byte, flip uint8) {
		n := twoNodeSite()
		n.RecordOwn(purges, 0)
		for i, frame := range [][]byte{b, bytes.Repeat([]byte{flip}, len(b)%64), b} {
			learned, err := n.HandleFrame("gw-0000", frame, int64(i)*1_000_000)
			if err != nil && len(learned) > 0 {
				t.Fatal("purges were learned from an unreadable frame")
			}
			for _, p := range learned {
				if !p.isPlausible() || len(p.Object) > maxObjectNameBytes {
					t.Fatalf("learned the implausible or too long purge %v", p)
				}
			}
			n.Step(int64(i) * 1_000_000)
		}
		for _, m := range n.TakeMessages() {
			if len(m.Frame) > maxFrameBytes || !isReadable(m.Frame) {
				t.Fatalf("sent a frame that is too long or cannot be read: %x", m.Frame)
			}
		}
		checkBounds(t, n)
	})
}

// checkBounds checks that a node keeps within its bounds, and that its counts and sums match the kept purges.
func checkBounds(t interface{ Fatalf(string, ...any) }, n *Node) {
	for _, b := range []struct {
		name       string
		value, max int
	}{
		{"kept", n.kept.count, n.settings.MaxKept}, {"minutes", len(n.kept.minutes), maxMinutes}, {"long names", len(n.kept.longNames), maxLongNames},
		{"waiting", len(n.waiting), maxWaiting}, {"origins", len(n.origins), maxOrigins}, {"batches", len(n.stored), maxStoredBatches},
		{"batches by time", len(n.storedOrder), maxStoredBatches}, {"repairs", len(n.repairs), maxRepairs}, {"children", len(n.tree.children), fanOut}, {"grafts", len(n.grafts), 8}, {"last seen", len(n.lastSeen), 32},
	} {
		if b.value > b.max {
			t.Fatalf("the node holds %d %s, want at most %d", b.value, b.name, b.max)
		}
	}
	if s := n.session; s != nil && (len(s.open) > maxOpenRequests || len(s.pending) > maxPendingRequests) {
		t.Fatalf("the session has %d open and %d pending requests, which exceeds its bounds", len(s.open), len(s.pending))
	}
	count := 0
	minutes := map[int64]purgeSum{}
	for second, s := range n.kept.seconds {
		count += len(s.purges)
		sum := minutes[second/minute]
		for i, kept := range s.purges {
			sum = sum.plus(purgeSum{1, kept.id})
			if i > 0 && s.purges[i-1].id > kept.id {
				t.Fatalf("the purges of a second are not sorted by id")
			}
		}
		minutes[second/minute] = sum
	}
	if count != n.kept.count || len(minutes) != len(n.kept.minutes) {
		t.Fatalf("%d purges are counted as %d, and %d minutes as %d", count, n.kept.count, len(minutes), len(n.kept.minutes))
	}
	for m, sum := range minutes {
		if n.kept.minutes[m] != sum {
			t.Fatalf("the sum of a minute does not match its purges")
		}
	}
}
