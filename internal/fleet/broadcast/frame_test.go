package broadcast

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawPurge draws a purge of any shape.
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
				t.Fatalf("%d purges in %d bytes", fitting, len(frame))
			}
			r := frameReader{rest: frame[frameHeaderSize:]}
			got := r.batch(frame)
			if !r.isComplete() || got.id != id || got.originTier != originTier || !slices.Equal(got.purges, rest[:fitting]) {
				t.Fatalf("wrote %v %v, read %v %v", id, rest[:fitting], got.id, got.purges)
			}
			if cut := rapid.IntRange(2, len(frame)-1).Draw(t, "cut"); isReadable(frame[:cut]) {
				t.Fatalf("the first %d of %d bytes are read as a frame", cut, len(frame))
			}
			if isReadable(append(slices.Clone(frame), 0)) {
				t.Fatal("read a frame with a byte too many")
			}
			rest = rest[fitting:]
		}
	})
}

func TestLazyPushesReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origins := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) originProgress {
			return originProgress{rapid.Uint64().Draw(t, "origin"), rapid.Uint64Range(0, maxSeq).Draw(t, "top"), rapid.Uint64().Draw(t, "after")}
		}), 0, maxOriginsPerFrame).Draw(t, "origins")
		frame := encodeLazyPush(origins)
		r := frameReader{rest: frame[frameHeaderSize:]}
		if got := r.lazyPush(); !slices.Equal(got, origins) || !r.isComplete() || len(frame) > maxFrameBytes {
			t.Fatalf("%v read as %v", origins, got)
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
			t.Fatalf("%v read as %v", s, got)
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
			t.Fatalf("a pull of %d bytes", len(frame))
		}
		r := frameReader{rest: frame[frameHeaderSize:]}
		if got := r.pullRequest(); !r.isComplete() || !got.isSameAs(request) || !slices.Equal(got.ids, ids) {
			t.Fatalf("%v read as %v", request, got)
		}
	})
}

// isReadable reports whether a node can read a frame.
func isReadable(frame []byte) bool {
	_, err := twoNodeSite().HandleFrame("gw-0001", frame, 0)
	return err == nil
}

// twoNodeSite is a node of a site of two.
func twoNodeSite() *Node {
	members := testMembers(2, 1, 1, 1)
	n := New(testSettings(), members[0], 1, rand.New(rand.NewPCG(1, 1)), 0)
	n.SetMembers(members, 0)
	return n
}

// TestBatchWithoutPurgesIsRefused guards against the panic of a gateway that received a batch frame without purges (index -1).
func TestBatchWithoutPurgesIsRefused(t *testing.T) {
	frame := []byte{
		Kind, frameBatch,
		1, 2, 3, 4, 5, 6, 7, 8, // origin
		1, // number of the batch
		0, // tier
		0, // number of purges
	}
	node := twoNodeSite()
	if learned, err := node.HandleFrame("gw-0000", frame, 1); err == nil || len(learned) > 0 {
		t.Errorf("the frame is taken: learned %v, error %v", learned, err)
	}
	if node.stats.UnreadableFrames != 1 || len(node.stored) > 0 || len(node.TakeMessages()) > 0 {
		t.Errorf("an unreadable frame is kept or forwarded: %+v", node.stats)
	}
}

// TestLongestRepairRequest expects a request for maxRepairsPerFrame batches to fit a frame.
func TestLongestRepairRequest(t *testing.T) {
	ids := make([]batchID, maxRepairsPerFrame)
	for i := range ids {
		ids[i] = batchID{1 << 63, maxSeq - uint64(i)}
	}
	if frame := encodeRepairRequest(ids); len(frame) > maxFrameBytes || !isReadable(frame) {
		t.Errorf("%d bytes", len(frame))
	}
}

// FuzzHandleFrame expects that no frame does harm: learned purges are plausible, sent frames can be read, and bounds hold.
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
				t.Fatal("purges are learned from an unreadable frame")
			}
			for _, p := range learned {
				if !p.isPlausible() || len(p.Object) > maxObjectNameBytes {
					t.Fatalf("learned %v", p)
				}
			}
			n.Step(int64(i) * 1_000_000)
		}
		for _, m := range n.TakeMessages() {
			if len(m.Frame) > maxFrameBytes || !isReadable(m.Frame) {
				t.Fatalf("sends %x", m.Frame)
			}
		}
		checkBounds(t, n)
	})
}

// checkBounds expects a node to hold its bounds, and its sums to be right.
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
			t.Fatalf("%d %s, at most %d", b.value, b.name, b.max)
		}
	}
	if s := n.session; s != nil && (len(s.open) > maxOpenRequests || len(s.pending) > maxPendingRequests) {
		t.Fatalf("a session of %d and %d requests", len(s.open), len(s.pending))
	}
	count := 0
	minutes := map[int64]purgeSum{}
	for second, s := range n.kept.seconds {
		count += len(s.purges)
		sum := minutes[second/minute]
		for i, kept := range s.purges {
			sum = sum.plus(purgeSum{1, kept.id})
			if i > 0 && s.purges[i-1].id > kept.id {
				t.Fatalf("the purges of a second are not in order")
			}
		}
		minutes[second/minute] = sum
	}
	if count != n.kept.count || len(minutes) != len(n.kept.minutes) {
		t.Fatalf("%d purges counted as %d, %d minutes as %d", count, n.kept.count, len(minutes), len(n.kept.minutes))
	}
	for m, sum := range minutes {
		if n.kept.minutes[m] != sum {
			t.Fatalf("the sum of a minute is wrong")
		}
	}
}
