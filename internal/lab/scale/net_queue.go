package scale

import (
	"time"
)

type eventKind uint8

const (
	datagramArrives eventKind = iota
	timerFires
	callIsDue
)

type networkEvent struct {
	at       time.Duration
	sequence uint64
	kind     eventKind
	index    int32 // slot of the datagram, index of the node whose timer fires, or slot of the call
}

func (n *Network) push(at time.Duration, kind eventKind, index int32) {
	n.sequence++
	n.queue.push(networkEvent{at, n.sequence, kind, index})
}

// eventHeap is a heap of events, ordered by time and then by order of insertion. Each element has four children. The
// heap therefore has fewer levels than a binary heap, and the four children lie in two cache lines.
type eventHeap []networkEvent

func (a *networkEvent) before(b *networkEvent) bool {
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

func (h *eventHeap) push(e networkEvent) {
	q := append(*h, e)
	i := len(q) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&q[up]) {
			break
		}
		q[i] = q[up]
		i = up
	}
	q[i] = e
	*h = q
}

func (h *eventHeap) pop() networkEvent {
	q := *h
	first, last := q[0], q[len(q)-1]
	q = q[:len(q)-1]
	*h = q
	if len(q) == 0 {
		return first
	}
	i := 0
	for {
		least := 4*i + 1
		if least >= len(q) {
			break
		}
		for c := least + 1; c < min(4*i+5, len(q)); c++ {
			if q[c].before(&q[least]) {
				least = c
			}
		}
		if !q[least].before(&last) {
			break
		}
		q[i] = q[least]
		i = least
	}
	q[i] = last
	return first
}
