package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"foldslip/example/standin"
)

const (
	floodDescriptors = 400
	floodDuration    = 4 * time.Second
	floodClients     = 100 // clients that send refused requests at full speed
	floodAhead       = 300 // requests that such a client has sent without an answer
	floodCaches      = 20  // caches that send stray responses at full speed
	adminClients     = 8   // connections that send admin requests at full speed
	usualClients     = 20
	usualPause       = 100 * time.Millisecond // between the lookups of a usual client
	usualAllowed     = 500 * time.Millisecond // time that a usual client allows for a lookup
	segmentObjective = 400 * time.Millisecond // latency objective of the object kind in the example's configuration
	// lostAfter is the time past a lookup's own time at which the platform counts it as lost.
	lostAfter = 500 * time.Millisecond
)

// Lookups beside clients that pipeline refused requests without a pause: each lookup is answered before it counts as
// lost, and most are satisfied. Guards against goroutines that answer one client's pipelined requests and never let those of lookups run.
func TestLookupsBesidePipelinedRefusals(t *testing.T) {
	for name, refused := range map[string]refusedRequest{
		"unknown object kind": {
			format:   "GET /call/nokind/o/part-1 HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\n\r\n",
			statuses: []int{http.StatusNotFound},
		},
		"the same lookup again, with hardly any time": {
			format:   "GET /call/segment/o/part-1 HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\nX-Allow-Ms: 2\r\n\r\n",
			sameID:   true,
			statuses: []int{http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusConflict, http.StatusOK},
		},
	} {
		t.Run(name, func(t *testing.T) { testLookupsBeside(t, refused) })
	}
}

// refusedRequest is a request that is refused, if not always then mostly.
type refusedRequest struct {
	format   string // with a verb for the lookup's id
	sameID   bool   // a client always sends the same id
	statuses []int  // possible statuses of the response
}

// text returns the text of the next floodAhead requests of a client.
func (r refusedRequest) text(firstID uint64) string {
	var b strings.Builder
	for n := range uint64(floodAhead) {
		if r.sameID {
			n = 0
		}
		fmt.Fprintf(&b, r.format, firstID+n)
	}
	return b.String()
}

// testLookupsBeside starts a gateway and checks the lookups of usual clients beside clients that send refused requests.
func testLookupsBeside(t *testing.T, refused refusedRequest) {
	g := startGatewayWith(t, floodDescriptors, nil, func(edge int, request standin.Request) {
		time.AfterFunc(40*time.Millisecond, func() { answerHit(edge, request) })
	})
	discardCancellations(t, g.edges)
	until := time.Now().Add(floodDuration)
	var clients sync.WaitGroup
	var refusals atomic.Int64
	for i := range floodClients {
		clients.Go(func() { refusals.Add(pipelineRequests(t, g.addr, refused, uint64(i)<<16, until)) })
	}
	seen := sendUsualLookups(t, g.addr, until)
	clients.Wait()
	t.Logf("%+v beside %d refused requests", seen, refusals.Load())
	if seen.satisfied == 0 || 2*seen.satisfied < seen.sent {
		t.Error("expected that most lookups are satisfied")
	}
}

// discardCancellations receives the cancellations that caches report, until the end of the test. A stand-in whose
// cancellations are not received reads nothing more once it has reported a hundred.
func discardCancellations(t *testing.T, caches []*standin.Cache) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	for _, cache := range caches {
		go func() {
			for {
				select {
				case <-cache.Cancelled:
				case <-ended:
					return
				}
			}
		}()
	}
}

// pipelineRequests sends floodAhead requests, and a further one as soon as one is answered, until a time. It checks that
// each of them is answered, and its status. It returns the number of answers.
func pipelineRequests(t *testing.T, addr string, refused refusedRequest, firstID uint64, until time.Time) (answers int64) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(until.Add(2 * waitTimeout))
	answered := make(chan struct{}, floodAhead)
	defer close(answered)
	go sendAhead(conn, refused.text(firstID), answered)
	in := bufio.NewReaderSize(conn, 64<<10)
	for sent := int64(floodAhead); answers < sent; answers++ {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("%d of %d pipelined requests were answered: %v", answers, sent, err)
			return answers
		}
		if !slices.Contains(refused.statuses, response.StatusCode) {
			t.Errorf("status %d to a pipelined request, expected one of %v", response.StatusCode, refused.statuses)
			return answers
		}
		io.Copy(io.Discard, response.Body)
		if time.Now().Before(until) {
			answered <- struct{}{}
			sent++
		}
	}
	return answers
}

// sendAhead sends floodAhead requests, and as many further ones as it receives from answered, until the channel is
// closed. The text has floodAhead requests of equal length, which are sent in turn.
func sendAhead(to io.Writer, text string, answered <-chan struct{}) {
	io.WriteString(to, text)
	size := len(text) / floodAhead
	twice := text + text
	next := 0
	for range answered {
		n := 1 + receivePending(answered)
		io.WriteString(to, twice[next*size:(next+n)*size])
		next = (next + n) % floodAhead
	}
}

// receivePending receives the elements that wait in a channel, fewer than floodAhead, and returns their number.
func receivePending(from <-chan struct{}) (n int) {
	for n < floodAhead-1 {
		select {
		case _, ok := <-from:
			if !ok {
				return n
			}
			n++
		default:
			return n
		}
	}
	return n
}

// usualLookups is what usual clients saw of their lookups.
type usualLookups struct {
	sent      int
	satisfied int
	longest   time.Duration // from a lookup to its answer
}

// sendUsualLookups sends the lookups of the usual clients until a time.
func sendUsualLookups(t *testing.T, addr string, until time.Time) (all usualLookups) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	for i := range usualClients {
		clients.Go(func() {
			seen := sendLookupsInTime(t, addr, uint64(i+1)<<32, until)
			mu.Lock()
			defer mu.Unlock()
			all.sent += seen.sent
			all.satisfied += seen.satisfied
			all.longest = max(all.longest, seen.longest)
		})
	}
	clients.Wait()
	return all
}

// sendLookupsInTime sends lookups one at a time until a time and checks that each is answered before it counts as lost.
func sendLookupsInTime(t *testing.T, addr string, firstID uint64, until time.Time) (seen usualLookups) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return seen
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for id := firstID; time.Now().Before(until); id++ {
		sentAt := time.Now()
		seen.sent++
		conn.SetDeadline(sentAt.Add(usualAllowed + lostAfter))
		fmt.Fprintf(conn, "GET /call/segment/o%d/part-1 HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\nX-Allow-Ms: %d\r\nX-Group: 1\r\nX-Ram-Kb: 20\r\n\r\n",
			id%60, id, usualAllowed.Milliseconds())
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("no answer %v after a lookup that allows %v: %v", time.Since(sentAt).Round(time.Millisecond), usualAllowed, err)
			return seen
		}
		seen.longest = max(seen.longest, time.Since(sentAt))
		io.Copy(io.Discard, response.Body)
		if response.StatusCode == http.StatusOK {
			seen.satisfied++
		}
		time.Sleep(usualPause)
	}
	return seen
}

// Lookups beside caches that send responses to no attempt without a pause: each lookup is answered before it counts as
// lost. Guards against goroutines that read one cache's stray responses and never let others run.
func TestLookupsBesideStrayResponses(t *testing.T) {
	answer := func(edge int, request standin.Request) {
		time.AfterFunc(40*time.Millisecond, func() { answerHit(edge, request) })
	}
	g := startGatewayWith(t, floodDescriptors, nil, answer)
	until := time.Now().Add(floodDuration)
	var flooding sync.Map // by connection
	var floods sync.WaitGroup
	var endpoints []standin.Endpoint
	for i := range floodCaches {
		cache := must(standin.NewCache("127.0.0.1:0", func(request standin.Request) {
			if _, isFlooding := flooding.LoadOrStore(request.Conn, true); !isFlooding {
				floods.Go(func() { sendStrays(request.Conn, until) })
			}
			answer(0, request)
		}))
		defer cache.Close()
		endpoints = append(endpoints, standin.Endpoint{ID: fmt.Sprint("flood", i), HostPort: cache.Addr, Locality: "town", Flavor: "edge", Phase: "up", Size: 1})
	}
	g.discovery.Announce(standin.EndpointList(false, endpoints...))
	seen := sendUsualLookups(t, g.addr, until)
	floods.Wait()
	t.Logf("%+v", seen)
	if seen.satisfied == 0 {
		t.Error("expected satisfied lookups")
	}
}

// sendStrays sends responses to no attempt until a time.
func sendStrays(conn *standin.Conn, until time.Time) {
	strays := strings.Repeat("00000000000000ff NONE - 0\r\n\r\n", 100)
	conn.SetWriteDeadline(until)
	for time.Now().Before(until) {
		conn.Send(strays)
	}
}

// Lookups beside admin connections that send requests without a pause: each lookup is answered within its latency
// objective. Guards against goroutines that answer one operator's requests and never let others run.
func TestLookupsBesideAdminRequests(t *testing.T) {
	dir := t.TempDir()
	socket := filepath.Join(dir, "admin")
	writeOperatorConfig(t, fmt.Sprintf(`{ routing: { folder: %q, socket: %q, pools: { all: { names: ['c0', 'c1'] } },
routes: [{ name: 'all', to: [{ pool: 'all' }] }] } }`, filepath.Join(dir, "versions"), socket))
	g := startGatewayWith(t, floodDescriptors, nil, func(edge int, request standin.Request) {
		time.AfterFunc(40*time.Millisecond, func() { answerHit(edge, request) })
	})
	until := time.Now().Add(floodDuration)
	var clients sync.WaitGroup
	var answers atomic.Int64
	for range adminClients {
		clients.Go(func() { answers.Add(pipelineAdminRequests(t, socket, until)) })
	}
	lag := make(chan time.Duration, 1)
	go func() { lag <- measureLag(until) }()
	seen := sendUsualLookups(t, g.addr, until)
	clients.Wait()
	limit := segmentObjective + <-lag
	t.Logf("%+v beside %d admin requests", seen, answers.Load())
	if seen.satisfied == 0 || seen.longest > limit || answers.Load() < adminClients {
		t.Errorf("expected satisfied lookups, none slower than %v, and answers to admin requests", limit)
	}
}

// pipelineAdminRequests sends requests to an admin socket without waiting for the answers, until a time. It returns the
// number of answers.
func pipelineAdminRequests(t *testing.T, socket string, until time.Time) (answers int64) {
	conn, err := net.Dial("unix", socket)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(until)
	requests := strings.Repeat(`{"do":"text","no":1}`+"\n", 100)
	go func() {
		for err := error(nil); err == nil; {
			_, err = io.WriteString(conn, requests)
		}
	}()
	in := bufio.NewReader(conn)
	for {
		if _, err := in.ReadSlice('\n'); err != nil {
			return answers
		}
		answers++
	}
}

// measureLag returns the longest time by which a timer of this process was late until a time. A busy machine delays the
// stand-ins of the test by as much.
func measureLag(until time.Time) (longest time.Duration) {
	const interval = 5 * time.Millisecond
	for time.Now().Before(until) {
		startedAt := time.Now()
		time.Sleep(interval)
		longest = max(longest, time.Since(startedAt)-interval)
	}
	return longest
}
