package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"foldslip/client"
	"foldslip/example/standin"
)

const (
	playAddr      = "127.0.0.1"
	manyClients   = 300
	aheadBytes    = 64 << 10 // requests that a client sends ahead
	bodyBytes     = 239_000  // near the largest object of the protocol
	slowHeadBytes = 15 << 10
	objectBytes   = 20 << 10
	requestsEach  = 200
)

// plays are all plays, by the operators' pictures: (a) memory, (b) floods, (c) clients that leave.
var plays = []play{
	{name: "sent-ahead", picture: "a", help: "300 clients that each send 64 KB of requests ahead; caches take 1 s",
		caches: CacheBehavior{ServedIn: time.Second, BodyBytes: 100}, run: (*stage).sendAhead},
	{name: "answers-unread", picture: "a", help: "300 clients that each send 200 requests and read no answer",
		caches: CacheBehavior{ServedIn: 20 * time.Millisecond, BodyBytes: objectBytes}, run: (*stage).readNoAnswers},
	{name: "endless-fields", picture: "a", help: "300 clients that send short header fields without end",
		caches: CacheBehavior{ServedIn: 20 * time.Millisecond, BodyBytes: 100}, run: (*stage).sendEndlessFields},
	{name: "slow-heads", picture: "a", help: "300 clients that send a head of 15 KB slowly",
		caches: CacheBehavior{ServedIn: 20 * time.Millisecond, BodyBytes: 100}, run: (*stage).sendSlowHeads},
	{name: "half-bodies", picture: "a", help: "300 clients that stop half way through a body of 239 KB",
		caches: CacheBehavior{ServedIn: 20 * time.Millisecond, BodyBytes: 100}, run: (*stage).sendHalfBodies},
	{name: "shed-bodies", picture: "a", help: "60 clients that send bodies of 239 KB again and again; caches shed them after 0.3 s",
		caches: CacheBehavior{ServedIn: 300 * time.Millisecond, ShedAll: true}, run: (*stage).sendShedBodies},
	{name: "flood-valid", picture: "b", help: "one client that sends lookups of ever new objects at full speed",
		caches: CacheBehavior{ServedIn: 20 * time.Millisecond, BodyBytes: 100}, run: func(s *stage) {
			s.flood(1, func(n int64) string {
				return requestText(s.id(n), "segment", fmt.Sprint("new", n), soundAllowed)
			})
		}},
	{name: "flood-unknown", picture: "b", help: "four clients that send requests of ever new object kinds at full speed",
		caches: CacheBehavior{ServedIn: 20 * time.Millisecond, BodyBytes: 100}, run: func(s *stage) {
			s.flood(4, func(n int64) string { return requestText(s.id(n), fmt.Sprint("kind", n), "o", soundAllowed) })
		}},
	{name: "flood-unsound", picture: "b", help: "four clients that send what is no HTTP, each time on a new connection, at full speed",
		caches: CacheBehavior{ServedIn: 20 * time.Millisecond, BodyBytes: 100}, run: func(s *stage) { s.floodNewConns(4, "\x00 unsound\r\n\r\n") }},
	{name: "leaves-and-repeats", picture: "c", help: "clients that leave after 0.1 s and send the same lookup with side effects again 20 ms later",
		caches: CacheBehavior{ServedIn: 300 * time.Millisecond, BodyBytes: 100}, run: (*stage).leaveAndRepeat},
	{name: "leaves-unread", picture: "c", help: "clients that send 600 lookups with side effects ahead and leave after 0.45 s; caches take 0.3 s",
		caches: CacheBehavior{ServedIn: 300 * time.Millisecond, BodyBytes: 100}, run: (*stage).leaveUnread},
	{name: "cache-replaced", picture: "d", help: "a cache's machine vanishes, and a new process of the same id takes its address; discovery removes the old one and adds the new one",
		caches: CacheBehavior{ServedIn: 20 * time.Millisecond, BodyBytes: 100}, run: func(s *stage) { s.replaceCaches(true) }},
	{name: "cache-restarted", picture: "d", help: "as cache-replaced, but discovery only announces the new start time",
		caches: CacheBehavior{ServedIn: 20 * time.Millisecond, BodyBytes: 100}, run: func(s *stage) { s.replaceCaches(false) }},
	{name: "drain-sent-ahead", picture: "9", ends: true, help: "SIGTERM, and 50 clients that each send 4 requests at once 0.4 s later; caches take 0.3 s",
		caches: CacheBehavior{ServedIn: 300 * time.Millisecond, BodyBytes: 100}, run: (*stage).drainSentAhead},
	{name: "slow-discovery", picture: "8", isSlow: true, help: "discovery tells a drain or a purge while what it writes arrives 0.3 to 6.9 s late, as the seed draws it; 13 to 18 s",
		caches: CacheBehavior{ServedIn: 20 * time.Millisecond, BodyBytes: 100, HasOldCopies: true}, run: (*stage).slowDiscovery},
	{name: "processor-drain", picture: "9", ends: true, processor: true, help: "SIGTERM, while one attempt in four of the callers is reset after 0.55 s and the others take 0.6 s",
		attempt: resetOneInFour(), run: (*stage).drain},
	{name: "processor-half-messages", picture: "a", processor: true, help: "300 callers that stop half way through a message of 64 KB on each of 8 streams",
		run: (*stage).sendHalfMessages},
	{name: "processor-short-fields", picture: "a", processor: true, help: "300 callers that send messages of 64 KB of short fields",
		run: (*stage).sendShortFields},
	{name: "processor-flood", picture: "b", processor: true, help: "a caller that opens streams for ever new lookups at full speed and breaks them off",
		run: (*stage).floodStreams},
	{name: "processor-flood-unsound", picture: "b", processor: true, help: "a caller that sends messages out of order at full speed on one stream after the other",
		run: (*stage).floodUnsoundStreams},
	{name: "processor-leaves-and-repeats", picture: "c", processor: true, help: "callers whose streams end during an attempt with side effects, and that request the same lookup again 20 ms later",
		run: (*stage).leaveStreamsAndRepeat},
}

// id returns the id of the nth lookup of a play.
func (s *stage) id(n int64) string {
	return fmt.Sprintf("%08x%08x", uint32(s.report.MemoryMB)+0x5eed0000, uint32(n))
}

// eachClient connects a number of clients and runs act for each in a goroutine of its own, until all have returned. The
// connections are closed when the play ends.
func (s *stage) eachClient(count int, act func(n int, conn net.Conn)) {
	s.report.Clients = count
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			conn, err := dialFrom(s.ctx, playAddr, s.gateway.addr)
			if err != nil {
				return
			}
			defer conn.Close()
			deadline, _ := s.ctx.Deadline()
			conn.SetDeadline(deadline)
			act(n, conn)
		})
	}
	group.Wait()
}

// count counts requests of the play.
func (s *stage) count(n int) { atomic.AddInt64(&s.report.Sent, int64(n)) }

// hold waits until the play ends.
func (s *stage) hold() { <-s.ctx.Done() }

func (s *stage) sendAhead() {
	s.eachClient(manyClients, func(n int, conn net.Conn) {
		text := ""
		for m := 0; len(text) < aheadBytes; m++ {
			text += requestText(s.id(int64(n*requestsEach*2+m)), "segment", fmt.Sprintf("ahead%d-%d", n, m), 5*time.Second)
			s.count(1)
		}
		io.WriteString(conn, text)
		io.Copy(io.Discard, conn)
	})
}

func (s *stage) readNoAnswers() {
	s.eachClient(manyClients, func(n int, conn net.Conn) {
		conn.(*net.TCPConn).SetReadBuffer(4096)
		for m := range requestsEach {
			if _, err := io.WriteString(conn, requestText(s.id(int64(n*requestsEach+m)), "segment", fmt.Sprintf("unread%d", n), 5*time.Second)); err != nil {
				break
			}
			s.count(1)
		}
		s.hold()
	})
}

func (s *stage) sendEndlessFields() {
	s.eachClient(manyClients, func(n int, conn net.Conn) {
		io.WriteString(conn, "GET /call/segment/o/part-0 HTTP/1.1\r\nHost: x\r\n")
		const fieldsAtOnce = 50
		fields := strings.Repeat("a: b\r\n", fieldsAtOnce)
		for {
			if _, err := io.WriteString(conn, fields); err != nil {
				return
			}
			s.count(fieldsAtOnce)
			time.Sleep(time.Millisecond)
		}
	})
}

func (s *stage) sendSlowHeads() {
	s.eachClient(manyClients, func(n int, conn net.Conn) {
		io.WriteString(conn, "GET /call/segment/o/part-0 HTTP/1.1\r\nHost: x\r\nX-Long: ")
		const step = slowHeadBytes / 20
		for range 20 {
			if _, err := io.WriteString(conn, strings.Repeat("a", step)); err != nil {
				return
			}
			s.count(1)
			time.Sleep(90 * time.Millisecond)
		}
		s.hold()
	})
}

// bodyRequest returns the head of a request with a body of bodyBytes.
func (s *stage) bodyRequest(n int64) string {
	return fmt.Sprintf("PUT /call/order/body%d/part-0 HTTP/1.1\r\nHost: x\r\nX-Job-Id: %s\r\nX-Ram-Kb: 234\r\nContent-Length: %d\r\n\r\n", n, s.id(n), bodyBytes)
}

func (s *stage) sendHalfBodies() {
	s.eachClient(manyClients, func(n int, conn net.Conn) {
		io.WriteString(conn, s.bodyRequest(int64(n))+strings.Repeat("x", bodyBytes/2))
		s.count(1)
		s.hold()
	})
}

func (s *stage) sendShedBodies() {
	var number atomic.Int64
	body := strings.Repeat("x", bodyBytes)
	s.eachClient(60, func(_ int, first net.Conn) {
		first.Close()
		for s.ctx.Err() == nil {
			conn, err := dialFrom(s.ctx, playAddr, s.gateway.addr)
			if err != nil {
				return
			}
			conn.SetDeadline(time.Now().Add(5 * time.Second))
			io.WriteString(conn, s.bodyRequest(number.Add(1)))
			io.WriteString(conn, body)
			s.count(1)
			http.ReadResponse(bufio.NewReader(conn), nil)
			conn.Close()
		}
	})
}

// flood sends requests on each of a number of connections as fast as the gateway reads them, and reads the answers.
func (s *stage) flood(conns int, text func(n int64) string) {
	var number atomic.Int64
	s.eachClient(conns, func(_ int, conn net.Conn) {
		go io.Copy(io.Discard, conn)
		out := bufio.NewWriterSize(conn, 16<<10)
		for s.ctx.Err() == nil {
			if _, err := out.WriteString(text(number.Add(1))); err != nil {
				return
			}
			s.count(1)
		}
	})
}

// floodNewConns sends a text on ever new connections.
func (s *stage) floodNewConns(clients int, text string) {
	s.eachClient(clients, func(_ int, first net.Conn) {
		first.Close()
		for s.ctx.Err() == nil {
			conn, err := dialFrom(s.ctx, playAddr, s.gateway.addr)
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			conn.SetDeadline(time.Now().Add(time.Second))
			io.WriteString(conn, text)
			s.count(1)
			io.Copy(io.Discard, conn)
			conn.Close()
		}
	})
}

// leaveAndRepeat lets clients leave during an attempt with side effects and send the same lookup again.
func (s *stage) leaveAndRepeat() {
	s.report.Clients = 1
	for n := int64(1); s.ctx.Err() == nil; n++ {
		text := requestText(s.id(n), "order", fmt.Sprint("order", n), soundAllowed)
		s.sendAndLeave(text, 100*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		s.sendAndLeave(text, 150*time.Millisecond)
		s.count(2)
		if len(s.caches.sendsOf(s.id(n))) > 1 {
			s.report.Duplicates++
		}
	}
}

// sendAndLeave sends a text on a new connection and closes it after some time.
func (s *stage) sendAndLeave(text string, after time.Duration) (leftAt time.Time) {
	conn, err := dialFrom(s.ctx, playAddr, s.gateway.addr)
	if err != nil {
		return time.Now()
	}
	go io.WriteString(conn, text)
	time.Sleep(after)
	conn.Close()
	return time.Now()
}

// maxSendDelay is the time after a close at which no attempt for the client may begin any more.
const maxSendDelay = 100 * time.Millisecond

// leaveUnread lets clients leave behind many requests that have not been read.
func (s *stage) leaveUnread() {
	s.report.Clients = 1
	const requests = 600
	for first := int64(0); s.ctx.Err() == nil; first += requests {
		text := ""
		for n := range int64(requests) {
			text += requestText(s.id(first+n), "order", fmt.Sprint("order", first+n), 5*time.Second)
		}
		s.count(requests)
		leftAt := s.sendAndLeave(text, 450*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		for n := range int64(requests) {
			for _, at := range s.caches.sendsOf(s.id(first + n)) {
				if at.Sub(leftAt) > maxSendDelay {
					s.report.Duplicates++
				}
			}
		}
	}
}

// replaceCaches replaces the first two edges one after the other, a third of the play apart.
func (s *stage) replaceCaches(isRemoved bool) {
	for edge := range 2 {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(s.duration / 3):
		}
		endpoint := s.caches.endpoints[edge]
		if err := s.caches.replace(edge); err != nil {
			s.report.violate("the cache could not be replaced: %v", err)
			return
		}
		if isRemoved {
			endpoint.Phase = "removed"
			s.caches.discovery.Announce(standin.EndpointList(false, endpoint))
		}
		endpoint.Phase, endpoint.UpSince = "up", time.Now().UnixMilli()
		s.caches.discovery.Announce(standin.EndpointList(false, endpoint))
		s.count(1)
	}
	s.hold()
}

// lastLookupAfter is the time after SIGTERM at which the platform sends the last request.
const lastLookupAfter = 600 * time.Millisecond

// drain ends the gateway with SIGTERM after a third of the play, and the sound load a little later.
func (s *stage) drain() {
	time.Sleep(s.duration / 3)
	s.count(1)
	s.gateway.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(lastLookupAfter)
	s.endSound()
	<-s.gateway.ended
}

// drainSentAhead is drain beside clients that send several requests at once.
func (s *stage) drainSentAhead() {
	const requests = 4
	s.endSound() // its clients keep connections that the drain closes
	connected := make(chan bool, 1)
	var unanswered atomic.Int64
	go func() {
		<-connected
		s.drain()
	}()
	s.eachClient(50, func(n int, conn net.Conn) {
		select {
		case connected <- true:
		default:
		}
		time.Sleep(s.duration/3 + 400*time.Millisecond)
		text := ""
		for m := range requests {
			text += requestText(s.id(int64(n*requests+m)), "segment", fmt.Sprintf("ahead%d", n), soundAllowed)
		}
		conn.SetDeadline(time.Now().Add(soundAllowed + 2*answerSlack)) // the play may be shorter
		io.WriteString(conn, text)
		s.count(requests)
		in := bufio.NewReader(conn)
		for range requests {
			response, err := http.ReadResponse(in, nil)
			if err != nil {
				unanswered.Add(1)
				continue
			}
			io.Copy(io.Discard, response.Body)
		}
	})
	<-s.gateway.ended
	if unanswered.Load() > 0 {
		s.report.violate("%d requests sent ahead got no answer", unanswered.Load())
	}
}

// resetOneInFour returns attempts of which one in four is reset.
func resetOneInFour() attemptFunc {
	var number atomic.Int64
	return func() string {
		if number.Add(1)%4 == 0 {
			time.Sleep(550 * time.Millisecond)
			return client.WordReset
		}
		time.Sleep(600 * time.Millisecond)
		return client.WordHit
	}
}
