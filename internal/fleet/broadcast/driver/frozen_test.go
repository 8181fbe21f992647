package driver

import (
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foldslip/internal/fleet/broadcast"
	"foldslip/internal/fleet/view"
	"foldslip/internal/lab/frozen"
)

// twoGateways is a Fleet with the members n1 and n2 that records the datagrams sent through it.
type twoGateways struct {
	mu   sync.Mutex
	sent [][]byte
}

func (f *twoGateways) Send(to string, b []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, slices.Clone(b))
	return nil
}

func (f *twoGateways) LiveIDs() ([]view.ID, uint64) {
	return []view.ID{{Name: "n1", Addr: "10.0.0.1:7946", Incarnation: 1}, {Name: "n2", Addr: "10.0.0.2:7946", Incarnation: 2}}, 1
}

func (f *twoGateways) Version() uint64 { return 1 }

// A datagram with a batch must be written byte for byte as released builds wrote it, and the stored datagram of a
// released build must be readable.
func TestFrozenDatagramKeepsTheSameBytes(t *testing.T) {
	const name = "batch.datagram"
	synctest.Test(t, func(t *testing.T) {
		purge := broadcast.Purge{Object: "segment-1", Group: 3, Issued: time.Now().UnixMilli()}
		fleet := &twoGateways{}
		sender := New("n1", view.Locality{}, func([]broadcast.Purge) {}, slog.New(slog.DiscardHandler), 7, time.Now)
		sender.SetFleet(fleet)
		stop := make(chan struct{})
		var wait sync.WaitGroup
		wait.Go(func() { sender.Run(stop) })
		time.Sleep(time.Second)
		sender.RecordPurges([]broadcast.Purge{purge})
		time.Sleep(5 * time.Second)
		close(stop)
		wait.Wait()
		frozen.Equal(t, name, firstBatch(t, fleet.sent))

		receiver := New("n2", view.Locality{}, nil, slog.New(slog.DiscardHandler), 8, time.Now)
		receiver.SetFleet(fleet)
		receiver.turn()
		receiver.HandleMessage(frozen.Read(t, name))
		if got := receiver.turn().learned; !slices.Equal(got, []broadcast.Purge{purge}) {
			t.Errorf("read %+v from the stored datagram, want %+v", got, purge)
		}
	})
}

// firstBatch returns the first datagram whose frame is a batch of purges.
func firstBatch(t *testing.T, sent [][]byte) []byte {
	t.Helper()
	for _, b := range sent {
		if len(b) > headerSize+1 && b[headerSize] == broadcast.Kind && b[headerSize+1] == 0 {
			return b
		}
	}
	t.Fatalf("none of %d datagrams carries a batch", len(sent))
	return nil
}

func TestFrozenReportsKeepTheirKeys(t *testing.T) {
	frozen.JSON(t, "report.json", new(Report), false)
	frozen.JSON(t, "report-empty.json", new(Report), false)
}
