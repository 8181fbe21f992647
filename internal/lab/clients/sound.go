package clients

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"foldslip/client"
)

const (
	soundPerSecond   = 50
	maxSoundClients  = 10 * soundPerSecond // more than can be open at once
	soundAllowed     = 2 * time.Second
	answerSlack      = 50 * time.Millisecond // past the time allowed, as for every limit of the protocol
	soundAddr        = "127.0.0.9"           // apart from the address of the clients of the play
	maxLatencyMicros = 60_000_000
	objectsOfSound   = 40
)

// soundLoad sends lookups as a client does that keeps to the protocol, and measures their answers. The latency counts
// from when a lookup is due, so that slow answers do not hide the latency of later lookups.
type soundLoad struct {
	mu        sync.Mutex
	counts    SoundCounts
	latencies *hdrhistogram.Histogram // in microseconds
	random    *rand.Rand
}

// SoundCounts counts the sound lookups of a play.
type SoundCounts struct {
	Sent      int `json:"sent"`
	Satisfied int `json:"satisfied"`
	Rejected  int `json:"rejected"` // answered with 503
	Failed    int `json:"failed"`   // answered with another status
	Lost      int `json:"lost"`     // no answer in time, or none at all
}

func newSoundLoad(seed uint64) *soundLoad {
	return &soundLoad{latencies: hdrhistogram.New(1, maxLatencyMicros, 3), random: rand.New(rand.NewPCG(seed, 1))}
}

// newID returns a new lookup id.
func (l *soundLoad) newID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%016x", l.random.Uint64())
}

// newLookFunc opens what makes lookups one after the other. stop closes it.
type newLookFunc func() (look lookFunc, stop func(), err error)

// run sends lookups at a steady rate until ctx is cancelled, and waits for their answers. A lookup does not wait for
// earlier ones.
func (l *soundLoad) run(ctx context.Context, newLook newLookFunc) {
	var group sync.WaitGroup
	idle := make(chan *soundClient, maxSoundClients)
	ticker := time.NewTicker(time.Second / soundPerSecond)
	defer ticker.Stop()
	for lookup := 0; ctx.Err() == nil; lookup++ {
		select {
		case <-ctx.Done():
			continue
		case <-ticker.C:
		}
		dueAt := time.Now()
		group.Go(func() {
			c, err := takeClient(idle, newLook)
			if err != nil {
				l.record(0, 0, err)
				return
			}
			status, err := c.look(l.newID(), fmt.Sprintf("sound%02d", lookup%objectsOfSound))
			l.record(status, time.Since(dueAt), err)
			idle <- c
		})
	}
	group.Wait()
	for len(idle) > 0 {
		(<-idle).stop()
	}
}

// soundClient is a client that makes one lookup at a time.
type soundClient struct {
	look lookFunc
	stop func()
}

// takeClient returns an idle client, or a new one if there is none.
func takeClient(idle chan *soundClient, newLook newLookFunc) (*soundClient, error) {
	select {
	case c := <-idle:
		return c, nil
	default:
		look, stop, err := newLook()
		return &soundClient{look, stop}, err
	}
}

// lookFunc makes one lookup and returns the status of its answer.
type lookFunc func(id, object string) (status int, err error)

func (l *soundLoad) record(status int, latency time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Sent++
	switch {
	case err != nil || latency > soundAllowed+answerSlack:
		l.counts.Lost++
		return
	case status == http.StatusOK:
		l.counts.Satisfied++
	case status == http.StatusServiceUnavailable:
		l.counts.Rejected++
	default:
		l.counts.Failed++
	}
	l.latencies.RecordValue(latency.Microseconds())
}

// requestText returns the text of a lookup's request.
func requestText(id, kind, object string, allowed time.Duration) string {
	return fmt.Sprintf("GET /call/%s/%s/part-0 HTTP/1.1\r\nHost: x\r\nX-Job-Id: %s\r\nX-Allow-Ms: %d\r\nX-Group: 1\r\nX-Ram-Kb: 40\r\n\r\n",
		kind, object, id, allowed.Milliseconds())
}

// dialFrom connects from an address on loopback.
func dialFrom(ctx context.Context, from, to string) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: soundAllowed}
	return dialer.DialContext(ctx, "tcp", to)
}

// newHTTPLook returns a lookFunc on a connection that is kept open, and opened again after an error.
func newHTTPLook(addr string) (lookFunc, func(), error) {
	var conn net.Conn
	var in *bufio.Reader
	closeConn := func() {
		if conn != nil {
			conn.Close()
			conn = nil
		}
	}
	look := func(id, object string) (int, error) {
		if conn == nil {
			var err error
			if conn, err = dialFrom(context.Background(), soundAddr, addr); err != nil {
				conn = nil
				return 0, err
			}
			in = bufio.NewReader(conn)
		}
		conn.SetDeadline(time.Now().Add(soundAllowed + answerSlack))
		io.WriteString(conn, requestText(id, "segment", object, soundAllowed))
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			closeConn()
			return 0, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil || response.Close {
			closeConn()
		}
		return response.StatusCode, err
	}
	return look, closeConn, nil
}

// attemptFunc carries out an attempt of a caller of the external processor and returns the word of its outcome.
type attemptFunc func() string

// newProcessorLook returns a lookFunc of a caller of the external processor, that carries out its attempts with attempt.
func newProcessorLook(addr, from string, attempt attemptFunc) (lookFunc, func(), error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, to string) (net.Conn, error) { return dialFrom(ctx, from, to) }))
	if err != nil {
		return nil, nil, err
	}
	caller := client.New(conn)
	look := func(id, object string) (int, error) {
		ctx, cancel := context.WithTimeout(context.Background(), soundAllowed+answerSlack)
		defer cancel()
		header := http.Header{"X-Job-Id": {id}, "X-Group": {"1"}, "X-Ram-Kb": {"40"}, "X-Allow-Ms": {strconv.FormatInt(soundAllowed.Milliseconds(), 10)}}
		result, err := caller.Lookup(ctx, client.Request{Path: "/call/segment/" + object + "/part-0", Header: header},
			func(context.Context, client.Decision) client.AttemptOutcome {
				return client.AttemptOutcome{Word: attempt(), CreatedAt: time.Now()}
			})
		return result.Status, err
	}
	return look, func() { conn.Close() }, nil
}
