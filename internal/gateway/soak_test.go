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

var soakSeeds = flag.Int("soak.seeds", 8, "number of seeds of the shutdown soak; 60 take about two minutes")

// Times of a planned restart as the platform documents them, measured from SIGTERM.
const (
	soakConnectPeriod = 400 * time.Millisecond  // how long new connections arrive
	soakRequestPeriod = 600 * time.Millisecond  // how long requests arrive on open connections, all of which must be answered
	soakKillDelay     = 3700 * time.Millisecond // time to SIGKILL if the longest deadline is 3 s or more
	soakLoadPeriod    = 500 * time.Millisecond  // time under load before SIGTERM
)

// soakPlan is the variant of the test that a seed selects.
type soakPlan struct {
	seed            uint64
	clients         int
	idle            int           // connections that send nothing
	noThinkTime     bool          // clients send each lookup as soon as they have the response to the one before
	drainsEdge      bool          // an edge drains before SIGTERM and returns cold after it
	hangsEdge       bool          // an edge stops responding at SIGTERM
	reloads         int           // number of SIGHUPs around SIGTERM
	secondTermDelay time.Duration // from the first SIGTERM to the second
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

// soak is a gateway that is terminated under load.
type soak struct {
	*testGateway
	plan         soakPlan
	terminatedAt time.Time     // valid once terminated is closed
	terminated   chan struct{} // closed when SIGTERM has been sent

	mu       sync.Mutex
	sent     int
	answered int
	refused  int // lookups after the platform's last request whose connection ended without a response
	failures []string
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// sinceTerm returns the time since SIGTERM was sent. The result is below 0 before that.
func (s *soak) sinceTerm() time.Duration {
	select {
	case <-s.terminated:
		return time.Since(s.terminatedAt)
	default:
		return -1
	}
}

// handle returns a handler for the requests of the edges, which respond as the plan says.
func (s *soak) handle(random *lockedRand) func(edge int, request standin.Request) {
	return func(edge int, request standin.Request) {
		if edge == 1 && s.plan.hangsEdge && s.sinceTerm() >= 0 {
			return
		}
		time.AfterFunc(time.Duration(random.intN(60))*time.Millisecond, func() { answerHit(edge, request) })
	}
}

// lockedRand is a source of random numbers for several goroutines.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// runClient sends lookups on a connection until it ends. Then it
// reconnects, for as long as the platform opens new connections.
func (s *soak) runClient(number int, random *lockedRand) {
	for count := 0; s.sinceTerm() < soakConnectPeriod; {
		conn, err := net.Dial("tcp", s.addr)
		if err != nil {
			s.fail("client %d cannot connect %v after SIGTERM: %v", number, s.sinceTerm(), err)
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

// doLookup sends a lookup and reads its response. It returns false if the connection has ended.
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
		s.fail("lookup %s, sent %v after SIGTERM, got an incomplete response that begins with %q: %v", id, sentAt, first, err)
		return false
	}
	s.mu.Lock()
	s.answered++
	s.mu.Unlock()
	if c.in.Buffered() > 0 {
		s.fail("lookup %s: bytes after the response", id)
	}
	return !response.Close
}

// endedUnanswered counts a lookup whose connection ended without a byte of a response. That is a failure
// while the platform still sends requests. For a later lookup the connection must be closed before the kill.
func (s *soak) endedUnanswered(id string, sentAt time.Duration, err error) {
	if sentAt < soakRequestPeriod {
		s.fail("lookup %s, sent %v after SIGTERM, got no response: %v", id, sentAt, err)
		return
	}
	if s.sinceTerm() >= soakKillDelay || errors.Is(err, os.ErrDeadlineExceeded) {
		s.fail("lookup %s, sent %v after SIGTERM, was still open at the kill: %v", id, sentAt, err)
		return
	}
	s.mu.Lock()
	s.refused++
	s.mu.Unlock()
}

// signals sends the plan's signals around SIGTERM and makes discovery announce the drain and the return of an edge.
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

// TestShutdownUnderLoadLosesNothing guards against lookups that do not get exactly one response,
// truncated responses, and connections that are still open at the kill. They can occur when a
// series of signals terminates a gateway while clients go on using their connections.
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
			t.Errorf("the gateway exited with %v", err)
		}
	case <-time.After(time.Until(s.terminatedAt.Add(soakKillDelay))):
		t.Error("the gateway is still running at the time of the kill")
		s.cmd.Process.Kill()
	}
	clients.Wait()
	for _, failure := range s.failures {
		t.Error(failure)
	}
	if s.answered < plan.clients {
		t.Errorf("%d responses to %d clients, expected at least one for each", s.answered, plan.clients)
	}
	t.Logf("%+v: %d lookups sent, %d answered, %d ended after the last request of the platform", plan, s.sent, s.answered, s.refused)
}
