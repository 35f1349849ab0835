package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// board is the notice board: numbered events, asked for by long polls.
type board struct {
	addr   string
	record *record
	server *http.Server

	mu     sync.Mutex
	events []json.RawMessage
	added  chan struct{} // closed and replaced with each event
	delay  time.Duration // from when an answer is due until it is sent
	polls  []time.Time   // when each poll came
}

func (r *run) startBoard() (*board, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &board{addr: listener.Addr().String(), record: r.record, added: make(chan struct{})}
	b.server = &http.Server{Handler: http.HandlerFunc(b.poll)}
	go func() { _ = b.server.Serve(listener) }() // until the end of the case
	return b, nil
}

// tell adds an event, and returns when.
func (b *board) tell(key string, content object) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	text, err := json.Marshal(object{"rev": len(b.events) + 1, key: content})
	if err != nil {
		panic(err) // the contents are maps of plain values
	}
	b.events = append(b.events, text)
	close(b.added)
	b.added = make(chan struct{})
	now := time.Now()
	b.record.add("board: event %d: %s", len(b.events), text)
	return now
}

// known returns the events up to now, in the form of the configuration.
func (b *board) known() object {
	b.mu.Lock()
	defer b.mu.Unlock()
	return object{"rev": len(b.events), "notices": b.events}
}

// setDelay sets how late answers are from now on.
func (b *board) setDelay(delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = delay
	b.record.add("board: answers are %v late from now on", delay)
}

// firstPollAfter returns the time of the first poll that came at t or later.
func (b *board) firstPollAfter(t time.Time) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, poll := range b.polls {
		if !poll.Before(t) {
			return poll, true
		}
	}
	return time.Time{}, false
}

// poll answers when there are events behind the one named, or after the time asked for.
func (b *board) poll(w http.ResponseWriter, r *http.Request) {
	watch, err := strconv.Atoi(r.URL.Query().Get("watch"))
	linger, lingerErr := strconv.Atoi(r.URL.Query().Get("linger"))
	if r.URL.Path != "/board/poll" || err != nil || lingerErr != nil {
		http.NotFound(w, r)
		return
	}
	b.mu.Lock()
	b.polls = append(b.polls, time.Now())
	delay := b.delay
	b.mu.Unlock()
	waited := time.After(min(time.Duration(linger)*time.Millisecond, 5*time.Second))
	for waiting := true; waiting; {
		b.mu.Lock()
		added, news := b.added, len(b.events) > watch
		b.mu.Unlock()
		if news {
			break
		}
		select {
		case <-added:
		case <-waited:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	time.Sleep(delay)
	b.mu.Lock()
	text, err := json.Marshal(object{"rev": len(b.events), "notices": b.events[min(watch, len(b.events)):]})
	b.mu.Unlock()
	if err != nil {
		panic(err) // the events are JSON already
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := fmt.Fprintf(w, "%s", text); err == nil && r.Context().Err() == nil {
		b.record.add("board: answered watch=%d: %s", watch, text)
	} else {
		b.record.add("board: watch=%d was given up before its answer", watch)
	}
}

// target is an entry of the endpoint list.
func target(uid, addr, zone, model, state string, capacity int) object {
	return object{
		"uid": uid, "endpoint": addr, "az": zone, "model": model, "pod_group": 0, "state": state,
		"capacity_hint": capacity, "boot_ms": 0,
	}
}
