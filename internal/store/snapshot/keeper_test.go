package snapshot

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/lab/simenv"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/wal"
)

// ground is the system's with another disk and a log that can be read.
type ground struct {
	env.Ground
	disk env.Disk
}

func (g ground) Folder(string) (env.Disk, error) { return g.disk, nil }

// sick is a disk that can be told to fail, and counts its syncs.
type sick struct {
	*simenv.Disk
	mu    sync.Mutex
	err   error
	syncs int
}

func (s *sick) Create(name string) (env.File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil, s.err
	}
	f, err := s.Disk.Create(name)
	return sickFile{f, s}, err
}

type sickFile struct {
	env.File
	s *sick
}

func (f sickFile) Write(b []byte) (int, error) {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	if f.s.err != nil {
		return 0, f.s.err
	}
	return f.File.Write(b)
}

func (f sickFile) Sync() error {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	f.s.syncs++
	return f.File.Sync()
}

func (s *sick) fail(err error) {
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()
}

// event is the change of a number: fifty caches that come up and drain in turn.
func event(n int64) endpoints.Change {
	c := endpoints.Change{Last: n, Bulletin: "10.7.0.1:8500"}
	phase := []endpoints.Phase{endpoints.Up, endpoints.Draining, endpoints.Gone}[n/50%3]
	c.Rows = []endpoints.Cache{{ID: fmt.Sprint("edge-", n%50), Addr: fmt.Sprint("10.1.0.1:", 1000+n%50), Zone: "town", Machine: "edge", Phase: phase}}
	return c
}

// after is what the list says after so many events.
func after(n int64) string {
	s := endpoints.New()
	for i := int64(1); i <= n; i++ {
		s.Apply(event(i))
	}
	return said(s)
}

func said(s *endpoints.State) string {
	text := fmt.Sprint(s.Last)
	for _, k := range s.Sorted() {
		text += fmt.Sprint(" ", k.ID, k.Phase)
	}
	for _, t := range s.SortedTombs() {
		text += fmt.Sprint(" ", t.ID, t.Gone)
	}
	return text
}

func start(t *testing.T, g env.Ground, terms Terms) (*Keeper, func()) {
	t.Helper()
	k, why, err := Open(g, "/list", terms)
	if err != nil || why != nil {
		t.Fatal(why, err)
	}
	life, ended := env.NewLife(nil), make(chan error)
	go func() { ended <- k.Run(life) }()
	return k, func() { life.End(); <-ended }
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 2000 {
		if done() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("waited in vain: ", what)
}

func TestKeeper(t *testing.T) {
	var log bytes.Buffer
	system := env.NewSystem(&log, slog.LevelInfo)
	t.Run("what was told is there at the next start", func(t *testing.T) {
		g := ground{system, simenv.NewDisk()}
		k, stop := start(t, g, Terms{1 << 20, 1000})
		for n := int64(1); n <= 170; n++ {
			k.Told(event(n))
		}
		stop()
		k, stop = start(t, g, Terms{1 << 20, 1000})
		defer stop()
		if got := said(k.State()); got != after(170) {
			t.Error(got)
		}
	})
	t.Run("a disk that fails is told once, and once when it is well again; nothing told is lost", func(t *testing.T) {
		log.Reset()
		d := &sick{Disk: simenv.NewDisk()}
		k, stop := start(t, ground{system, d}, Terms{1 << 20, 1000})
		k.Told(event(1))
		await(t, "the first event on disk", func() bool { return k.Kept() == 1 })
		d.fail(syscall.ENOSPC)
		for n := int64(2); n <= 60; n++ {
			k.Told(event(n))
			time.Sleep(100 * time.Microsecond)
		}
		d.fail(nil)
		await(t, "all on disk", func() bool { return k.Kept() == 60 })
		stop()
		if n := strings.Count(log.String(), "event=list_not_kept"); n != 1 || strings.Count(log.String(), "event=list_kept ") != 1 ||
			!strings.Contains(log.String(), "no space left") {
			t.Error(log.String())
		}
		k, stop = start(t, ground{system, d}, Terms{1 << 20, 1000})
		defer stop()
		if got := said(k.State()); got != after(60) {
			t.Error(got)
		}
	})
	t.Run("a disk that never works costs the list only, in bounded memory", func(t *testing.T) {
		d := &sick{Disk: simenv.NewDisk()}
		d.fail(syscall.EROFS)
		k, stop := start(t, ground{system, d}, Terms{1 << 20, 1000})
		defer stop()
		for n := int64(1); n <= 20000; n++ {
			k.Told(event(n))
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.bytes > mostPending || len(k.state.Caches) > 50 || k.state.Last != 20000 {
			t.Error(k.bytes, len(k.state.Caches), k.state.Last)
		}
	})
	t.Run("so many writes a second and no more, whatever is told", func(t *testing.T) {
		d := &sick{Disk: simenv.NewDisk()}
		k, stop := start(t, ground{system, d}, Terms{1 << 20, 20})
		began := time.Now()
		for n := int64(1); time.Since(began) < 300*time.Millisecond; n++ {
			k.Told(event(n))
			time.Sleep(time.Millisecond)
		}
		took := time.Since(began)
		d.mu.Lock()
		syncs := d.syncs
		d.mu.Unlock()
		stop()
		if most := burst + 2 + int(20*took.Seconds()); syncs > most || syncs < 2 {
			t.Errorf("%d syncs in %v, at most %d", syncs, took, most)
		}
	})
	t.Run("the record is compacted before it outgrows its bytes", func(t *testing.T) {
		d := simenv.NewDisk()
		k, stop := start(t, ground{system, d}, Terms{200 << 10, 1e6})
		for n := int64(1); n <= 6000; n++ {
			k.Told(event(n))
			if n%20 == 0 {
				await(t, "a write", func() bool { return k.Kept() == n })
			}
		}
		stop()
		names, _ := d.Names()
		for _, n := range names {
			if d.Size(n) > 200<<10 {
				t.Errorf("%s has %d bytes", n, d.Size(n))
			}
		}
		if len(names) > 3 || k.rec.Generation() < 3 {
			t.Error(names, k.rec.Generation())
		}
	})
	t.Run("a list that outgrows its bytes is told", func(t *testing.T) {
		log.Reset()
		k, stop := start(t, ground{system, simenv.NewDisk()}, Terms{64 << 10, 1000})
		many := endpoints.Change{Last: 1, Whole: true}
		for i := range 3000 {
			many.Rows = append(many.Rows, endpoints.Cache{ID: fmt.Sprint("edge-", i), Addr: "10.1.0.1:1", Zone: "town", Machine: "edge"})
		}
		k.Told(many)
		stop()
		if !strings.Contains(log.String(), "list.bytes allows 65536") {
			t.Error(log.String())
		}
	})
	t.Run("a second process on one folder says so", func(t *testing.T) {
		g := ground{system, simenv.NewDisk()}
		_, stop := start(t, g, Terms{1 << 20, 1000})
		defer stop()
		if _, _, err := Open(g, "/list", Terms{1 << 20, 1000}); !errors.Is(err, wal.ErrLocked) {
			t.Error(err)
		}
	})
	t.Run("what is out is kept when that changes, not each time", func(t *testing.T) {
		k, stop := start(t, ground{system, simenv.NewDisk()}, Terms{1 << 20, 1000})
		defer stop()
		k.Told(event(1))
		k.Learnt([]string{"edge-1"}, []string{"edge-1"})
		was := k.State().Caches["edge-1"].Ill
		k.Learnt(nil, []string{"edge-1"})
		if now := k.State().Caches["edge-1"].Ill; was == 0 || now != was {
			t.Error(was, now)
		}
		if k.Learnt(nil, nil); k.State().Caches["edge-1"].Ill != 0 {
			t.Error("it is in again")
		}
	})
}

// TestMain is the gateway that is killed, where it is told so.
func TestMain(m *testing.M) {
	path := os.Getenv("FOLDSLIP_LIST_IN")
	if path == "" {
		os.Exit(m.Run())
	}
	k, _, err := Open(env.NewSystem(io.Discard, slog.LevelInfo), path, Terms{64 << 10, 1e6})
	if err != nil {
		panic(err)
	}
	go k.Run(env.NewLife(nil))
	for n := k.State().Last + 1; ; n++ {
		k.Told(event(n))
		if n%3 == 0 {
			os.Stdout.WriteString(strconv.FormatInt(k.Kept(), 10) + "\n")
		}
	}
}

// A gateway killed at random points, again and again on one folder: the list is exactly that of some number of events, and
// of none fewer than were said to be on disk; so each drain that was, is there. FOLDSLIP_KILLS sets how often.
func TestKilled(t *testing.T) {
	kills, _ := strconv.Atoi(os.Getenv("FOLDSLIP_KILLS"))
	if kills == 0 {
		kills = 25
	}
	path := t.TempDir()
	chance := rand.New(rand.NewPCG(3, 4))
	moved, last, fresh := 0, int64(0), endpoints.New()
	for i := range kills {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "FOLDSLIP_LIST_IN="+path)
		out, err := cmd.StdoutPipe()
		if err != nil || cmd.Start() != nil {
			t.Fatal(err)
		}
		kept, span := int64(0), time.Duration(chance.IntN(8000))*time.Microsecond
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if n, err := strconv.ParseInt(lines.Text(), 10, 64); err == nil && n >= kept {
				kept = n
			}
			// It is at work: every other life is left until it has written something, so that a busy machine, on which the span may end
			// before the disk was reached once, has lives killed in their writing too.
			if span >= 0 && (i%2 == 0 || kept > last) {
				time.AfterFunc(span, func() { cmd.Process.Kill() })
				span = -1
			}
		}
		cmd.Wait()
		got, err := wal.Read(wal.Folder{Path: path}, Name)
		if err != nil {
			t.Fatal(err)
		}
		s, err := endpoints.Restore(got.Snapshot, got.Changes)
		if err != nil {
			t.Fatal(err)
		}
		if s.Last < kept || s.Last < last {
			t.Fatalf("kill %d: the list ends at %d, %d was said to be on disk", i, s.Last, max(kept, last))
		}
		if s.Last > last {
			moved++
		}
		for ; last < s.Last; last++ {
			fresh.Apply(event(last + 1))
		}
		if said(s) != said(fresh) {
			t.Fatalf("kill %d: not the list of %d events:\n%s\n%s", i, s.Last, said(s), said(fresh))
		}
	}
	if moved < kills/3 {
		t.Errorf("only %d of %d lives wrote anything", moved, kills)
	}
	t.Logf("%d kills, %d events", kills, last)
}
