package scale

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"
)

func (d *Discovery) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				time.Sleep(10 * time.Millisecond) // out of descriptors
				continue
			}
			return
		}
		d.handshakes <- struct{}{} // at most askWithin until a place is free
		d.wait.Go(func() {
			d.serve(conn)
			conn.Close()
		})
	}
}

// readRequest reads the number of the last event that a watcher holds.
func readRequest(conn net.Conn) (after int64, n int, err error) {
	conn.SetReadDeadline(time.Now().Add(requestTimeout))
	buf := make([]byte, 0, maxRequestBytes)
	for {
		k, err := conn.Read(buf[len(buf):maxRequestBytes])
		buf = buf[:len(buf)+k]
		if line, _, whole := bytes.Cut(buf, []byte("\n")); whole {
			word, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("after "))
			if !ok {
				return 0, len(buf), fmt.Errorf("a watch began with %q", line)
			}
			after, err = strconv.ParseInt(string(word), 10, 64)
			return after, len(buf), err
		}
		if err == nil && len(buf) == maxRequestBytes {
			err = errors.New("a watch began with a line that is too long")
		}
		if err != nil {
			return 0, len(buf), err
		}
	}
}

func (d *Discovery) serve(conn net.Conn) {
	i := d.gatewayAt(conn.LocalAddr())
	after, asked, err := int64(0), 0, errors.New("nobody's address")
	if i >= 0 {
		after, asked, err = readRequest(conn)
	}
	<-d.handshakes
	if err != nil {
		return
	}
	w := d.watchers[i]
	d.mu.Lock()
	if d.closed || !w.joined || after < 0 || d.isRefused != nil && d.isRefused(i) {
		d.mu.Unlock()
		return
	}
	w.disconnect() // a gateway has one watch
	w.conn = conn
	base := w.basePosition
	d.mu.Unlock()
	w.counts.Connects.Add(1)
	w.counts.BytesIn.Add(int64(asked))
	d.watch(w, conn, base, after)
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.conn == conn {
		w.conn = nil
	}
}

// watch tells one watcher what it does not hold yet, for as long as it is the gateway's watch.
func (d *Discovery) watch(w *watcher, conn net.Conn, base, after int64) {
	pulse := time.NewTicker(d.heartbeat)
	defer pulse.Stop()
	var buf []byte
	var held [64][]byte // events of one turn
	for beat := false; ; {
		d.mu.Lock()
		if w.conn != conn {
			d.mu.Unlock()
			return
		}
		last := d.last() - base + 1 // as the gateway counts
		some := held[:0]
		behind := false
		for no := after + 1; no <= last && len(some) < len(held); no++ {
			switch pos := base + no - 1; {
			case no == 1:
				some = append(some, w.listEvent)
			case pos < d.first:
				behind = true
			default:
				some = append(some, d.events[pos-d.first])
			}
		}
		d.mu.Unlock()
		if behind {
			w.counts.DroppedBehind.Add(1)
			return
		}
		buf = buf[:0]
		from := after
		for _, e := range some { // all, or as many as the buffer takes
			after++
			buf = append(strconv.AppendInt(append(buf, `{"no":`...), after, 10), ',')
			buf = append(append(buf, e...), '\n')
			if len(buf) > maxWriteBytes {
				break
			}
		}
		told := after - from
		if beat && after >= last {
			buf = append(strconv.AppendInt(append(buf, `{"no":`...), after, 10), "}\n"...)
		}
		beat = false
		if len(buf) > 0 {
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			n, err := conn.Write(buf)
			w.counts.BytesOut.Add(int64(n))
			w.counts.Writes.Add(1)
			if err != nil {
				if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
					w.counts.DroppedSlow.Add(1)
				}
				return
			}
			w.counts.Events.Add(told)
			if cap(buf) > maxWriteBytes {
				buf = nil // after a whole list
			}
			if after < last {
				continue
			}
		}
		select {
		case <-w.wakeup:
		case <-pulse.C:
			beat = true
		}
	}
}

// TCPOverhead is what TCP over IPv4 adds to a watch, as arithmetic: 52 bytes (20 and 20, and 12 of timestamps) for each segment of up to 1,448
// bytes, and for each acknowledgement the other way, one for two segments. A write is one segment at least.
func TCPOverhead(payload, writes int64) (down, up int64) {
	segments := max(writes, (payload+1447)/1448)
	return payload + 52*segments, 52 * (segments + 1) / 2
}
