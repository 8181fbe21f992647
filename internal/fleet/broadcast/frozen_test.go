package broadcast

import (
	"testing"

	"foldslip/internal/lab/frozen"
)

// Frames that released builds sent are read, and written to the same bytes.
func TestFrozenFramesKeepTheirBytes(t *testing.T) {
	purges := []Purge{{Object: "00112233445566ff", Issued: 1_764_576_000_001}, {Group: 17, Issued: 1_764_576_000_005},
		{Object: "a name", Issued: 1_764_576_000_009}, {Object: "another", Group: -1, Issued: 1_764_576_001_000}}
	byIssue(purges)
	batch, _ := writeBatch(batchID{0x0102030405060708, 300}, siteHead, purges)
	part := pull{second: 1_764_576_000, bits: 3, prefix: 5, ids: []uint32{1, 0xfffffffe}}
	complete, _ := writeItems(pull{second: 1_764_576_000}, true, purges[:1])
	some, _ := writeItems(part, false, nil)
	for name, written := range map[string][]byte{
		"batch.frame":          batch,
		"have.frame":           writeHave([]have{{0x0102030405060708, 300, 5}, {7, 0, 1 << 63}}),
		"want.frame":           writeWant([]batchID{{0x0102030405060708, 300}, {7, 1}}),
		"sum.frame":            writeSum(span{1_764_570_000, 1_764_576_000}, sum{1 << 20, 0x0102030405060708}),
		"sums.frame":           writeSums(sums{1_764_576_000, minute, []sum{{1, 2}, {0, 0}, {3, 0x0102030405060708}}}),
		"ask.frame":            writeAsk(1_764_576_000),
		"pull.frame":           writePull(part),
		"items-complete.frame": complete,
		"items-part.frame":     some,
	} {
		frozen.Equal(t, name, written)
		frozen.Equal(t, name, rewritten(t, frozen.Read(t, name)))
	}
}

// rewritten reads a frame and writes what it read.
func rewritten(t *testing.T, frame []byte) (out []byte) {
	t.Helper()
	if frame[0] != Kind {
		t.Fatalf("a frame of kind %d", frame[0])
	}
	r := reader{b: frame[2:]}
	switch frame[1] {
	case wordBatch:
		id, by, purges := r.id(), r.tier(), r.purges()
		out, _ = writeBatch(id, by, purges)
	case wordHave:
		out = writeHave(r.haves())
	case wordWant:
		out = writeWant(r.wants())
	case wordSum:
		s := span{int64(r.number(mostSeconds)), int64(r.number(mostSeconds))}
		out = writeSum(s, r.sum())
	case wordSums:
		out = writeSums(r.sums())
	case wordAsk:
		out = writeAsk(int64(r.number(mostSeconds)))
	case wordPull:
		out = writePull(r.pull())
	case wordItems:
		of, complete := r.pullHead(), r.number(1) == 1
		out, _ = writeItems(of, complete, r.purges())
	}
	if err := r.done(); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestFrozenStatsKeepTheirKeys(t *testing.T) {
	frozen.JSON(t, "stats.json", new(Stats), false)
	frozen.JSON(t, "place.json", new(Place), false)
}
