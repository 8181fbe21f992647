package scale

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"time"
)

// accept accepts and serves connections until Close.
func (d *Discovery) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				time.Sleep(10 * time.Millisecond) // the process is out of file descriptors
				continue
			}
			return
		}
		d.handshakes <- struct{}{} // blocks until a slot is free, for at most requestTimeout
		d.wait.Go(func() {
			d.serve(conn)
			conn.Close()
		})
	}
}

// readRequest reads a watcher's request. It returns the number of the last event that the watcher has and the number
// of bytes read.
func readRequest(conn net.Conn) (after int64, n int, err error) {
	conn.SetReadDeadline(time.Now().Add(requestTimeout))
	buf := make([]byte, 0, maxRequestBytes)
	for {
		k, err := conn.Read(buf[len(buf):maxRequestBytes])
		buf = buf[:len(buf)+k]
		if line, _, complete := bytes.Cut(buf, []byte("\n")); complete {
			number, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("after "))
			if !ok {
				return 0, len(buf), &watchRequestError{line}
			}
			after, err = strconv.ParseInt(string(number), 10, 64)
			return after, len(buf), err
		}
		if err == nil && len(buf) == maxRequestBytes {
			err = errRequestTooLong
		}
		if err != nil {
			return 0, len(buf), err
		}
	}
}

// serve serves a gateway's watch on a connection and ends the watch that the gateway may have on an earlier one.
func (d *Discovery) serve(conn net.Conn) {
	i := d.gatewayAt(conn.LocalAddr())
	after, requestBytes := int64(0), 0
	err := errUnknownAddress
	if i >= 0 {
		after, requestBytes, err = readRequest(conn)
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
	w.disconnect() // a gateway has at most one connection
	w.conn = conn
	base := w.basePosition
	d.mu.Unlock()
	w.counts.Connects.Add(1)
	w.counts.BytesIn.Add(int64(requestBytes))
	d.watch(w, conn, base, after)
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.conn == conn {
		w.conn = nil
	}
}

// watchBatch is the next part of the events that a watch has to send.
type watchBatch struct {
	events   [][]byte // encoded, without their numbers
	last     int64    // number of the gateway's last event; later batches hold the events up to it that are not in this one
	replaced bool     // the gateway has another connection or none, so that this watch ends
	behind   bool     // an event that the watcher lacks is no longer kept
}

// nextBatch returns the events after a number, as many as fit into the capacity of buffer.
func (d *Discovery) nextBatch(w *watcher, conn net.Conn, base, after int64, buffer [][]byte) watchBatch {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.conn != conn {
		return watchBatch{replaced: true}
	}
	next := watchBatch{events: buffer[:0], last: d.lastPosition() - base + 1}
	for number := after + 1; number <= next.last && len(next.events) < cap(buffer); number++ {
		switch position := base + number - 1; {
		case number == 1:
			next.events = append(next.events, w.listEvent)
		case position < d.firstPosition:
			next.behind = true
		default:
			next.events = append(next.events, d.events[position-d.firstPosition])
		}
	}
	return next
}

// appendEvents appends the lines of events, which are numbered from after+1, until lines exceed maxWriteBytes. It
// returns the lines and the number of the last event appended.
func appendEvents(lines []byte, events [][]byte, after int64) ([]byte, int64) {
	for _, event := range events {
		after++
		lines = append(strconv.AppendInt(append(lines, `{"no":`...), after, 10), ',')
		lines = append(append(lines, event...), '\n')
		if len(lines) > maxWriteBytes {
			break
		}
	}
	return lines, after
}

// appendHeartbeat appends a line with only the number of the last event.
func appendHeartbeat(lines []byte, last int64) []byte {
	return append(strconv.AppendInt(append(lines, `{"no":`...), last, 10), "}\n"...)
}

// write sends lines and counts them. It reports whether the watch can continue.
func (w *watcher) write(conn net.Conn, lines []byte) bool {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := conn.Write(lines)
	w.counts.BytesOut.Add(int64(n))
	w.counts.Writes.Add(1)
	if err == nil {
		return true
	}
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		w.counts.DroppedSlow.Add(1)
	}
	return false
}

// watch sends a watcher the events that it lacks, and heartbeats. It returns when the gateway has another connection
// or none, when a write fails, or when an event that the watcher lacks is no longer kept.
func (d *Discovery) watch(w *watcher, conn net.Conn, base, after int64) {
	heartbeat := time.NewTicker(d.heartbeat)
	defer heartbeat.Stop()
	var lines []byte
	var events [maxBatchEvents][]byte
	heartbeatDue := false
	for {
		next := d.nextBatch(w, conn, base, after, events[:0])
		if next.replaced {
			return
		}
		if next.behind {
			w.counts.DroppedBehind.Add(1)
			return
		}
		from := after
		lines, after = appendEvents(lines[:0], next.events, after)
		if heartbeatDue && after >= next.last {
			lines = appendHeartbeat(lines, after)
		}
		heartbeatDue = false
		if len(lines) > 0 {
			if !w.write(conn, lines) {
				return
			}
			w.counts.Events.Add(after - from)
			if cap(lines) > maxWriteBytes {
				lines = nil // do not keep a buffer that has grown to hold a whole list
			}
			if after < next.last {
				continue
			}
		}
		select {
		case <-w.wakeup:
		case <-heartbeat.C:
			heartbeatDue = true
		}
	}
}

// TCPOverhead estimates the bytes that a watch transfers with TCP over IPv4, down to the gateway and up from it. Each
// segment of up to 1,448 bytes has 52 bytes of headers: 20 of IPv4, 20 of TCP and 12 of timestamps. Each write is at
// least one segment. An acknowledgement of 52 bytes is sent up for every two segments.
func TCPOverhead(payload, writes int64) (down, up int64) {
	segments := max(writes, (payload+1447)/1448)
	return payload + 52*segments, 52 * (segments + 1) / 2
}
