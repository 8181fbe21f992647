package gateway

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
)

var soakSeeds = flag.Int("soak.seeds", 8, "seeds of the shutdown soak; 60 take some two minutes")

// What the platform's page says of a planned restart, from SIGTERM on.
const (
	soakConnectPeriod = 400 * time.Millisecond  // new connections come up to so long
	soakRequestPeriod = 600 * time.Millisecond  // requests on open connections, all of which are answered
	soakKillDelay     = 3700 * time.Millisecond // SIGKILL, with deadlines of 3 s and more
	soakLoadPeriod    = 500 * time.Millisecond  // before SIGTERM
)

// soakPlan is what a seed draws.
type soakPlan struct {
	seed            uint64
	clients         int
	idle            int  // connections that send nothing
	noThinkTime     bool // clients that send each lookup as soon as they have the answer before
	drainsEdge      bool // an edge drains before SIGTERM and comes back cold after it
	hangsEdge       bool // an edge answers nothing from SIGTERM on
	reloads         int  // SIGHUPs around SIGTERM
	secondTermDelay time.Duration
}

func drawSoakPlan(seed uint64) soakPlan {
	random := rand.New(rand.NewPCG(seed, 51))
	return soakPlan{
		seed:            seed,
		clients:         4 + random.IntN(20),
		idle:            random.IntN(2) * random.IntN(40),
		noThinkTime:     random.IntN(2) == 0,
		drainsEdge:      random.IntN(3) == 0,
		hangsEdge:       random.IntN(3) == 0,
		reloads:         random.IntN(3),
		secondTermDelay: time.Duration(random.IntN(900)) * time.Millisecond,
	}
}

// soak is one gateway that is ended under load.
type soak struct {
	*testGateway
	plan         soakPlan
	terminatedAt time.Time     // valid once terminated is closed
	terminated   chan struct{} // SIGTERM was sent

	mu       sync.Mutex
	sent     int
	answered int
	refused  int // lookups past the platform's last, whose connection ended unread
	failures []string
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// sinceTerm is how long ago SIGTERM was sent, below 0 before it.
func (s *soak) sinceTerm() time.Duration {
	select {
	case <-s.terminated:
		return time.Since(s.terminatedAt)
	default:
		return -1
	}
}

// handle answers as a cache of the plan.
func (s *soak) handle(random *lockedRand) func(edge int, request standin.Request) {
	return func(edge int, request standin.Request) {
		if edge == 1 && s.plan.hangsEdge && s.sinceTerm() >= 0 {
			return
		}
		time.AfterFunc(time.Duration(random.intN(60))*time.Millisecond, func() { answerHit(edge, request) })
	}
}

// lockedRand draws for many goroutines.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// runClient sends lookups on its connection until that ends, and connects anew as long as the platform does.
func (s *soak) runClient(number int, random *lockedRand) {
	for count := 0; s.sinceTerm() < soakConnectPeriod; {
		conn, err := net.Dial("tcp", s.addr)
		if err != nil {
			s.fail("client %d: %v after SIGTERM: %v", number, s.sinceTerm(), err)
			return
		}
		conn.SetDeadline(time.Now().Add(clientTimeout))
		c := &client{conn, bufio.NewReader(conn)}
		for {
			count++
			if !s.doLookup(c, fmt.Sprintf("%08x%08x", number+1, count)) {
				break
			}
			if !s.plan.noThinkTime {
				time.Sleep(time.Duration(random.intN(30)) * time.Millisecond)
			}
		}
		conn.Close()
	}
}

// doLookup sends a lookup and reads its answer; false: the connection has ended.
func (s *soak) doLookup(c *client, id string) bool {
	text := fmt.Sprintf("GET /call/segment/o%s/part-3 HTTP/1.1\r\nHost: x\r\nX-Job-Id: %s\r\nX-Group: 17\r\nX-Ram-Kb: 40.5\r\n\r\n", id, id)
	sentAt := s.sinceTerm()
	if _, err := io.WriteString(c, text); err != nil {
		s.endedUnanswered(id, sentAt, err)
		return false
	}
	s.mu.Lock()
	s.sent++
	s.mu.Unlock()
	first, err := c.in.Peek(1)
	if err != nil {
		s.endedUnanswered(id, sentAt, err)
		return false
	}
	response, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	if err != nil {
		s.fail("%s, sent %v after SIGTERM, got a part of its answer (%q): %v", id, sentAt, first, err)
		return false
	}
	s.mu.Lock()
	s.answered++
	s.mu.Unlock()
	if c.in.Buffered() > 0 {
		s.fail("%s: bytes after its answer", id)
	}
	return !response.Close
}

// endedUnanswered counts a lookup whose connection ended with no byte of an answer: a loss while the platform still sends requests. Later ones
// must find the connection closed, and not be left to the kill.
func (s *soak) endedUnanswered(id string, sentAt time.Duration, err error) {
	if sentAt < soakRequestPeriod {
		s.fail("%s, sent %v after SIGTERM, has no answer: %v", id, sentAt, err)
		return
	}
	if s.sinceTerm() >= soakKillDelay || errors.Is(err, os.ErrDeadlineExceeded) {
		s.fail("%s, sent %v after SIGTERM, was open at the kill: %v", id, sentAt, err)
		return
	}
	s.mu.Lock()
	s.refused++
	s.mu.Unlock()
}

// signals plays the series of signals around SIGTERM.
func (s *soak) signals() {
	time.Sleep(soakLoadPeriod)
	drained := s.endpoints[0]
	if s.plan.drainsEdge {
		drained.Phase = "draining"
		s.discovery.Announce(standin.EndpointList(false, drained))
	}
	if s.plan.reloads > 0 {
		s.signal(syscall.SIGHUP)
	}
	s.terminatedAt = time.Now()
	s.signal(syscall.SIGTERM)
	close(s.terminated)
	if s.plan.reloads > 1 {
		s.signal(syscall.SIGHUP)
	}
	time.Sleep(s.plan.secondTermDelay)
	s.signal(syscall.SIGTERM)
	if s.plan.drainsEdge {
		drained.Phase = "up"
		drained.UpSince = time.Now().UnixMilli()
		s.discovery.Announce(standin.EndpointList(false, drained))
	}
}

// TestShutdownUnderLoadLosesNothing guards against lookups without their one answer, answers cut short and connections left to the kill, when a
// gateway is ended by a series of signals while clients go on using their connections.
func TestShutdownUnderLoadLosesNothing(t *testing.T) {
	for seed := range uint64(*soakSeeds) {
		plan := drawSoakPlan(seed + 1)
		t.Run(fmt.Sprint("seed ", plan.seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, plan)
		})
	}
}

func runSoak(t *testing.T, plan soakPlan) {
	t.Helper()
	random := &lockedRand{random: rand.New(rand.NewPCG(plan.seed, 52))}
	s := &soak{plan: plan, terminated: make(chan struct{})}
	s.testGateway = startGateway(t, s.handle(random))
	for range plan.idle {
		s.dial()
	}
	var clients sync.WaitGroup
	for number := range plan.clients {
		clients.Go(func() { s.runClient(number, random) })
	}
	s.signals()
	select {
	case err := <-s.ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(time.Until(s.terminatedAt.Add(soakKillDelay))):
		t.Error("still running at the kill")
		s.cmd.Process.Kill()
	}
	clients.Wait()
	for _, failure := range s.failures {
		t.Error(failure)
	}
	if s.answered < plan.clients {
		t.Errorf("%d answers to %d clients", s.answered, plan.clients)
	}
	t.Logf("%+v: %d lookups sent, %d answered, %d past the last that the platform sends", plan, s.sent, s.answered, s.refused)
}
