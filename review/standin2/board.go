package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is an entry of the list of cache servers.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// board is the platform's notice board for one router.
type board struct {
	addr     string
	listener net.Listener
	http     *http.Server

	mu      sync.Mutex
	notices []json.RawMessage
	changed chan struct{}
}

// newBoard starts a notice board whose first event is the whole list.
func newBoard(targets []target) (*board, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &board{addr: listener.Addr().String(), listener: listener, changed: make(chan struct{})}
	b.post("pool", map[string]any{"all": true, "targets": targets})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /board/poll", b.poll)
	b.http = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = b.http.Serve(listener) }() // ends with close
	return b, nil
}

func (b *board) close() { b.http.Close() }

// post puts an event on the board.
func (b *board) post(kind string, content any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	text, err := json.Marshal(map[string]any{"rev": len(b.notices) + 1, kind: content})
	if err != nil {
		panic(err) // the content is the case's own
	}
	b.notices = append(b.notices, text)
	close(b.changed)
	b.changed = make(chan struct{})
}

// update is the form of an answer and of what a configuration knows.
type update struct {
	Rev     int               `json:"rev"`
	Notices []json.RawMessage `json:"notices"`
}

// since returns the events after a number.
func (b *board) since(rev int) (update, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rev = min(max(rev, 0), len(b.notices))
	return update{Rev: len(b.notices), Notices: append([]json.RawMessage{}, b.notices[rev:]...)}, b.changed
}

func (b *board) poll(w http.ResponseWriter, r *http.Request) {
	watch, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	linger, _ := strconv.Atoi(r.URL.Query().Get("linger"))
	timeout := time.After(time.Duration(min(linger, 5000)) * time.Millisecond)
	for {
		news, changed := b.since(watch)
		if len(news.Notices) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		text, err := json.Marshal(news)
		if err != nil {
			panic(err) // the content is the case's own
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text) // the router polls again if it is gone
		return
	}
}
