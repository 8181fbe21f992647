package retry

import "time"

// keptRecord is the record of an ended lookup.
type keptRecord struct {
	hash     uint64        // of Lookup.Key
	forgetAt time.Duration // since lookupRecords.startedAt
}

// chunkRecords is the number of records that a recordQueue allocates at once. A chunk takes 512 bytes.
const chunkRecords = 31

// recordQueue is a first-in, first-out queue of records. It allocates and frees them in chunks, so that neither a push
// nor a pop takes longer when the queue is long. The zero value is an empty queue.
type recordQueue struct {
	first, last *recordChunk // nil: no chunk
	head        int          // index of the oldest record in first
	tail        int          // number of records in last, including those that were removed
	length      int
}

// recordChunk begins with its pointer, so that the garbage collector does not scan the records.
type recordChunk struct {
	next    *recordChunk
	records [chunkRecords]keptRecord
}

func (q *recordQueue) push(record keptRecord) {
	if q.last == nil || q.tail == chunkRecords {
		q.addChunk()
	}
	q.last.records[q.tail] = record
	q.tail++
	q.length++
}

func (q *recordQueue) addChunk() {
	chunk := &recordChunk{}
	if q.last == nil {
		q.first = chunk
	} else {
		q.last.next = chunk
	}
	q.last = chunk
	q.tail = 0
}

// oldest returns the record that pop removes. The queue must not be empty.
func (q *recordQueue) oldest() keptRecord { return q.first.records[q.head] }

// pop removes the oldest record and returns it. The queue must not be empty.
func (q *recordQueue) pop() keptRecord {
	record := q.oldest()
	q.head++
	q.length--
	switch {
	case q.length == 0:
		*q = recordQueue{}
	case q.head == chunkRecords:
		q.first = q.first.next
		q.head = 0
	}
	return record
}
