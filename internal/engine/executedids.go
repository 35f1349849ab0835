package engine

import (
	"hash/fnv"
	"strconv"
)

// maxExecutedIDs bounds the ids that an engine remembers; beyond it the oldest is forgotten. They
// take about 0.7 MB.
const maxExecutedIDs = 1 << 14

// requestIDBits is the size of a client's request id, which is written in hexadecimal digits.
const requestIDBits = 64

// executedIDs remembers the latest requests that may have been executed and must not be executed
// again, by their ids.
type executedIDs struct {
	ring      []uint64       // in the order of their addition
	next      int            // index of the oldest entry, once the ring is full
	known     map[uint64]int // to the index in the ring
	forgotten int64          // ids that were forgotten for others
}

func newExecutedIDs() executedIDs { return executedIDs{known: map[uint64]int{}} }

// idNumber returns the number that a request's id denotes, or a hash if it denotes none.
func idNumber(id string) uint64 {
	if number, err := strconv.ParseUint(id, 16, requestIDBits); err == nil {
		return number
	}
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return hash.Sum64()
}

func (e *executedIDs) contains(id string) bool {
	_, known := e.known[idNumber(id)]
	return known
}

// add remembers an id.
func (e *executedIDs) add(number uint64) {
	if _, known := e.known[number]; known {
		return
	}
	if len(e.ring) < maxExecutedIDs {
		e.known[number] = len(e.ring)
		e.ring = append(e.ring, number)
		return
	}
	if oldest := e.ring[e.next]; e.isCurrent(oldest, e.next) {
		delete(e.known, oldest)
		e.forgotten++
	}
	e.known[number] = e.next
	e.ring[e.next] = number
	e.next = (e.next + 1) % maxExecutedIDs
}

// isCurrent reports whether the entry at an index of the ring stands for an id: it doesn't if
// the id was removed, or was added again later.
func (e *executedIDs) isCurrent(number uint64, index int) bool {
	current, known := e.known[number]
	return known && current == index
}

// remove forgets the id of a request that was not executed after all.
func (e *executedIDs) remove(id string) { delete(e.known, idNumber(id)) }

// all returns the known ids, the oldest first.
func (e *executedIDs) all() (numbers []uint64) {
	for i := range e.ring {
		index := (e.next + i) % len(e.ring)
		if number := e.ring[index]; e.isCurrent(number, index) {
			numbers = append(numbers, number)
		}
	}
	return numbers
}
