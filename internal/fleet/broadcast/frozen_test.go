package broadcast

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// Frames must be written byte for byte as released builds wrote them, and the stored frames must be readable.
func TestFrozenFramesKeepTheirBytes(t *testing.T) {
	purges := []Purge{{Object: "00112233445566ff", Issued: 1_764_576_000_001}, {Group: 17, Issued: 1_764_576_000_005},
		{Object: "a name", Issued: 1_764_576_000_009}, {Object: "another", Group: -1, Issued: 1_764_576_001_000}}
	sortByIssue(purges)
	batch, _ := encodeBatch(batchID{0x0102030405060708, 300}, siteHead, purges)
	part := pullRequest{second: 1_764_576_000, bits: 3, prefix: 5, ids: []uint32{1, 0xfffffffe}}
	complete, _ := encodePurges(pullRequest{second: 1_764_576_000}, true, purges[:1])
	partial, _ := encodePurges(part, false, nil)
	for name, written := range map[string][]byte{
		"batch.frame":          batch,
		"have.frame":           encodeLazyPush([]originProgress{{0x0102030405060708, 300, 5}, {7, 0, 1 << 63}}),
		"want.frame":           encodeRepairRequest([]batchID{{0x0102030405060708, 300}, {7, 1}}),
		"sum.frame":            encodeSum(span{1_764_570_000, 1_764_576_000}, purgeSum{1 << 20, 0x0102030405060708}),
		"sums.frame":           encodeSums(sums{1_764_576_000, minute, []purgeSum{{1, 2}, {0, 0}, {3, 0x0102030405060708}}}),
		"ask.frame":            encodeSumsRequest(1_764_576_000),
		"pull.frame":           encodePullRequest(part),
		"items-complete.frame": complete,
		"items-part.frame":     partial,
	} {
		frozen.Equal(t, name, written)
		frozen.Equal(t, name, rewritten(t, frozen.Read(t, name)))
	}
}

// rewritten decodes a frame and encodes the result again.
func rewritten(t *testing.T, frame []byte) (out []byte) {
	t.Helper()
	if frame[0] != Kind {
		t.Fatalf("the stored frame has kind %d, want Kind", frame[0])
	}
	r := frameReader{rest: frame[2:]}
	switch frame[1] {
	case frameBatch:
		id, originTier, purges := r.batchID(), r.tier(), r.purges()
		out, _ = encodeBatch(id, originTier, purges)
	case frameLazyPush:
		out = encodeLazyPush(r.lazyPush())
	case frameRepairRequest:
		out = encodeRepairRequest(r.repairRequest())
	case frameSum:
		s := span{int64(r.uvarint(maxSeconds)), int64(r.uvarint(maxSeconds))}
		out = encodeSum(s, r.sum())
	case frameSums:
		out = encodeSums(r.sums())
	case frameSumsRequest:
		out = encodeSumsRequest(int64(r.uvarint(maxSeconds)))
	case framePullRequest:
		out = encodePullRequest(r.pullRequest())
	case framePurges:
		header, complete := r.pullHeader(), r.uvarint(1) == 1
		out, _ = encodePurges(header, complete, r.purges())
	}
	if !r.isComplete() {
		t.Fatal("the stored frame cannot be read")
	}
	return out
}

func TestFrozenStatsKeepTheirKeys(t *testing.T) {
	frozen.JSON(t, "stats.json", new(Stats), false)
	frozen.JSON(t, "place.json", new(Locality), false)
}
