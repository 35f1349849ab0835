package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"quilldoor/internal/cacheproto"
)

// The figures of ferry-cargo for bookings.
const (
	bookingTTL    = 3 * time.Second // given up after
	keyWindow     = 2 * time.Second // for which the archive drops a repeat
	bookings      = 60
	bookingPeriod = 400 * time.Millisecond
	troubledOneIn = 6
	resetAfter    = 2100 * time.Millisecond // from when the attempt came to the archive
)

// archive is the origin. It runs a booking unless it has seen its key within the window.
type archive struct {
	*run
	mu       sync.Mutex
	firstAt  map[string]time.Time // by key: when the window began
	runs     map[string]int       // by key: how often a booking was made
	troubled map[string]bool      // by key: the answer to its first attempt is lost
}

func (a *archive) handle(got *attempt) {
	key := got.IdempotencyKey
	a.mu.Lock()
	repeat := !a.firstAt[key].IsZero() && got.at.Sub(a.firstAt[key]) < keyWindow
	if !repeat {
		a.firstAt[key] = got.at
		a.runs[key]++
	}
	runs := a.runs[key]
	lost := a.troubled[key]
	delete(a.troubled, key)
	a.mu.Unlock()
	if repeat {
		a.add("archive: attempt of txn %s, key %s: a repeat, dropped", got.ID, key)
	} else {
		a.add("archive: attempt of txn %s, key %s: booked, the %d. time", got.ID, key, runs)
	}
	if lost {
		time.Sleep(resetAfter)
		a.add("network: answer to txn %s, key %s was lost, its connection is reset", got.ID, key)
		got.conn.reset()
		return
	}
	const work = 40 * time.Millisecond
	time.Sleep(work)
	got.answer(cacheproto.Response{Status: cacheproto.StatusOK}, "booked "+key)
}

// playKeyed books under keys. The answer to every sixth booking is lost, and its connection is reset 2.1 s after
// the attempt came. Clients follow what they are told: a refused request is tried once more, a failed one only
// while its key is remembered.
func playKeyed(r *run) (broken int, err error) {
	b, err := r.startBoard()
	if err != nil {
		return 0, err
	}
	a := &archive{run: r, firstAt: map[string]time.Time{}, runs: map[string]int{}, troubled: map[string]bool{}}
	origin, err := startEndpoint("o-1", a.handle)
	if err != nil {
		return 0, err
	}
	box, err := startEndpoint("b-1", func(got *attempt) { got.answer(cacheproto.Response{Status: cacheproto.StatusMiss}, "") })
	if err != nil {
		return 0, err
	}
	b.tell("pool", object{"rev": 1, "all": true, "targets": []object{
		target("b-1", box.addr, officeZone, "box", "ready", 5),
		target("o-1", origin.addr, hubZone, "origin", "ready", 5),
	}})
	router, err := r.startRouter("n1", b.addr, b.known(), ferryCargo().settings())
	if err != nil {
		return 0, err
	}
	defer r.keepLog("n1")
	defer router.stop()
	var clients sync.WaitGroup
	for i := range bookings {
		key := newID()
		if r.trouble && i%troubledOneIn == troubledOneIn-1 {
			a.mu.Lock()
			a.troubled[key] = true
			a.mu.Unlock()
		}
		clients.Go(func() { r.book(router.addr, key, "booking-"+strconv.Itoa(i)) })
		time.Sleep(bookingPeriod)
	}
	clients.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, runs := range a.runs {
		if runs > 1 {
			broken++
			r.add("broken: key %s was booked %d times", key, runs)
		}
	}
	return broken, nil
}

// book is a client with one booking. It tries at most once more.
func (r *run) book(addr, key, name string) {
	q := &request{
		method: http.MethodPut, target: "/rpc/booking/" + name, txn: newID(), ttl: bookingTTL, key: key, body: "book " + key,
	}
	sentAt := time.Now()
	r.add("client: %s txn %s key %s sent", name, q.txn, key)
	got := ask(addr, q, bookingTTL)
	r.add("client: %s txn %s key %s answered %d after %v (error: %v)", name, q.txn, key, got.status, got.took, got.err)
	refused := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests
	remembered := time.Since(sentAt) < keyWindow
	if got.status == http.StatusOK || !refused && !remembered {
		return
	}
	if wait, err := strconv.Atoi(got.throttle); err == nil {
		time.Sleep(time.Duration(wait) * time.Millisecond)
	}
	q.txn = newID()
	q.secondTry = true
	q.ttl = bookingTTL - time.Since(sentAt) // all tries together are given up after the class's time
	r.add("client: %s txn %s key %s sent, second try, ttl %v", name, q.txn, key, q.ttl)
	got = ask(addr, q, q.ttl)
	r.add("client: %s txn %s key %s answered %d after %v (error: %v)", name, q.txn, key, got.status, got.took, got.err)
}
