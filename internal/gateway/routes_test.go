package gateway

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
)

// A gateway with routes: they say where lookups go, SIGHUP changes them, a restart finds what was confirmed.
func TestRoutes(t *testing.T) {
	dir := t.TempDir()
	own := filepath.Join(dir, "own.jsonnet")
	write := func(cache string) {
		text := fmt.Sprintf(`{ routing: { folder: '%s/kept', pools: { some: { names: ['%s'], limits: { lookups_a_second: 1000 } } },
routes: [{ name: 'all', to: [{ pool: 'some' }] }] } }`, dir, cache)
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var mu sync.Mutex
	var at [2]int
	handle := func(edge int, d standin.Request) {
		mu.Lock()
		at[edge]++
		mu.Unlock()
		d.Hit(time.Now(), "hit", "x")
	}
	write("c0")
	t.Setenv("FOLDSLIP_SETTINGS", own)
	s := startGateway(t, handle)
	asked := func(s *testGateway, want int) {
		t.Helper()
		mu.Lock()
		at = [2]int{}
		mu.Unlock()
		for i := range 20 {
			got, _ := s.sendLookup("segment", fmt.Sprint("object", i))
			s.expect(200, got)
		}
		mu.Lock()
		defer mu.Unlock()
		if at[want] != 20 {
			t.Errorf("%v, expected all at %d\n%s", at, want, s.out.String())
		}
	}
	logged := func(s *testGateway, what string) {
		t.Helper()
		s.waitFor(what, func() bool { return strings.Contains(s.out.String(), what) })
	}
	asked(s, 0)
	write("c1")
	s.cmd.Process.Signal(syscall.SIGHUP)
	logged(s, "version=2 stage=applied")
	asked(s, 1)
	write("c7") // nobody has it
	s.cmd.Process.Signal(syscall.SIGHUP)
	logged(s, "c7 is not in the list")
	asked(s, 1) // the change that waits is left alone
	write("c1")
	s.cmd.Process.Signal(syscall.SIGHUP)
	logged(s, "version=2 stage=confirmed")
	s.cmd.Process.Kill()
	<-s.ended
	write("c0") // the record goes before the file: what was confirmed is in force
	again := startGateway(t, handle)
	asked(again, 1)
}
