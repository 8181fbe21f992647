// Command testdata is the test of case 3: the bulletin moves to another address by SIGHUP, after operators have changed
// routes.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"foldslip/review/testdata/stand"
)

const (
	clients     = 8
	pause       = 100 * time.Millisecond
	objects     = 10
	drainedFor  = 2500 * time.Millisecond // before the cache is removed
	toldAfter   = 4 * time.Second         // from SIGHUP on, all that the bulletin told before counts as told
	clearsAfter = 5 * time.Second         // a cache drops older copies (the settings say within 6 s)
	grace       = 300 * time.Millisecond  // of purges at the site
	slack       = 50 * time.Millisecond   // on every time limit
)

func main() { stand.Case(run) }

// copies is what the caches hold, and what was purged.
type copies struct {
	mu     sync.Mutex
	record *stand.Record
	born   map[string]time.Time // by cache and object
	purged map[string]time.Time // by object, when it was purged; the bulletin has it at once
}

func (s *copies) answer(c *stand.Cache, do *stand.Do) stand.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	object := do.Fields["k"]
	key := c.ID + " " + object
	born, ok := s.born[key]
	if at := s.purged[object]; ok && !at.IsZero() && born.Before(at) && now.Sub(at) > clearsAfter {
		ok = false
	}
	if oldest, _ := strconv.Atoi(do.Fields["oldest"]); ok && oldest > 0 && now.Sub(born) > time.Duration(oldest)*time.Millisecond {
		ok = false
	}
	note := "hit"
	if !ok {
		if do.Fields["from"] == "" {
			return stand.Answer{Word: "NONE"}
		}
		born, note = now, "filled"
		s.born[key] = now
	}
	a := stand.Hit(do, fmt.Sprintf("b%d", born.UnixMicro()), born, 2000, note)
	a.After = 20 * time.Millisecond
	return a
}

func run(root string, trouble bool, record *stand.Record) (int, error) {
	held := &copies{record: record, born: map[string]time.Time{}, purged: map[string]time.Time{}}
	w, err := stand.Open(root, stand.Katalog(), 4, 1, held.answer)
	if err != nil {
		return 0, err
	}
	defer w.Close()
	g := w.Gateways[0]
	file, changed, socket, err := writeRoutes(w)
	if err != nil {
		return 0, err
	}
	g.Env = []string{"FOLDSLIP_SETTINGS=" + file}
	if err := w.Start(); err != nil {
		return 0, err
	}

	var mu sync.Mutex
	asked, satisfied, judged, stale := 0, 0, 0, 0
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				r := &stand.Request{ID: stand.NewID(), Kind: "video-parca", Object: object(n % objects), Part: 1, Group: 3, Allow: 2500 * time.Millisecond, KB: 20}
				held.mu.Lock()
				issued := held.purged[r.Object]
				held.mu.Unlock()
				isJudged := !issued.IsZero() && time.Since(issued) > grace+slack
				result := stand.Ask(g.Listen, r, time.Second)
				micros, _ := strconv.ParseInt(strings.TrimPrefix(result.ETag, "b"), 10, 64)
				isStale := result.Status == 200 && time.UnixMicro(micros).Before(issued)
				record.Line("lookup %s of %s: %v, copy %s", r.ID, r.Object, result, result.ETag)
				mu.Lock()
				asked++
				if result.Status == 200 {
					satisfied++
				}
				if isJudged {
					judged++
					if isStale {
						stale++
						record.Line("lookup %s of %s: a copy %d ms older than a purge told %d ms ago", r.ID, r.Object,
							issued.Sub(time.UnixMicro(micros)).Milliseconds(), time.Since(issued).Milliseconds())
					}
				}
				mu.Unlock()
			}
		}()
	}
	err = operate(w, g, held, changed, socket, trouble, record)
	close(stop)
	wg.Wait()
	if err != nil {
		return 0, err
	}
	if g.HasEnded() {
		return 0, fmt.Errorf("the gateway ended: %s", w.Log(g))
	}
	for _, line := range strings.Split(w.Log(g), "\n") {
		if strings.Contains(line, "reload") || strings.Contains(line, "route_change_step") {
			record.Line("the gateway's log: %s", line)
		}
	}
	record.Say("%d lookups, %d satisfied; %d sent over %v after a purge of their object was told, %d of these answered from a copy older than the purge",
		asked, satisfied, judged, grace+slack, stale)
	switch {
	case satisfied < asked*9/10 || judged < 50:
		return 0, fmt.Errorf("too little was satisfied")
	case stale > 0:
		return stand.Broken, nil
	}
	return stand.Held, nil
}

func object(n int) string { return fmt.Sprintf("7f3a9c21e0b4d6%02x", n) }

// writeRoutes writes the operators' settings and a change of their routes that leaves the last edge out.
func writeRoutes(w *stand.World) (file, changed, socket string, err error) {
	socket = filepath.Join(w.Dir, "operator")
	text := func(names string) []byte {
		return fmt.Appendf(nil, `{ routing: { folder: '%s', socket: '%s', pools: { store: { names: [%s] } }, routes: [{ name: 'all', to: [{ pool: 'store' }] }] } }
`, filepath.Join(w.Dir, "routes"), socket, names)
	}
	file, changed = filepath.Join(w.Dir, "settings.jsonnet"), filepath.Join(w.Dir, "changed.jsonnet")
	if err = os.WriteFile(file, text("'edge-a', 'edge-b', 'edge-c', 'edge-d'"), 0o644); err == nil {
		err = os.WriteFile(changed, text("'edge-a', 'edge-b', 'edge-c'"), 0o644)
	}
	return file, changed, socket, err
}

// operate is what operators, the platform and the origin do, one after another.
func operate(w *stand.World, g *stand.Gateway, held *copies, changed, socket string, trouble bool, record *stand.Record) error {
	time.Sleep(3 * time.Second)
	for _, step := range [][]string{
		{"propose", changed, "--author", "ada", "--reason", "edge-d goes"},
		{"apply", "2", "--within", "10m"},
		{"confirm", "2"},
	} {
		args := append(append([]string{"config"}, step...), "--socket", socket)
		out, err := exec.Command(filepath.Join(w.Root, "bin/foldslip"), args...).CombinedOutput()
		record.Line("foldslip config %s: %s", step[0], strings.TrimSpace(string(out)))
		if err != nil {
			return fmt.Errorf("foldslip config %s: %w: %s", step[0], err, out)
		}
	}
	last := w.Caches[3]
	record.Line("%s drains", last.ID)
	w.Bulletin.Change("draining", last)
	time.Sleep(drainedFor)
	record.Line("%s is removed", last.ID)
	w.Bulletin.Change("removed", last)
	last.Kill()
	time.Sleep(2 * time.Second)
	if trouble {
		leave, err := w.Bulletin.Next()
		if err != nil {
			return err
		}
		w.Configure(g)
		if err := g.WriteConfig(); err != nil {
			return err
		}
		record.Line("the configuration names the bulletin's next address: SIGHUP")
		g.Signal(syscall.SIGHUP)
		leave()
	}
	time.Sleep(toldAfter + time.Second)
	for n := range objects {
		held.mu.Lock()
		issued := time.Now()
		held.purged[object(n)] = issued
		w.Bulletin.Purge(object(n), issued)
		held.mu.Unlock()
		record.Line("%s is purged", object(n))
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second)
	return nil
}
