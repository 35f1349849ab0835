package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is a GET line that a router has sent to a server.
type attempt struct {
	id, class, object, tag, key string
	part                        int
	source                      string // of a miss; "": none
	within                      time.Duration
	budget                      time.Duration
	body                        []byte
	at                          time.Time // when it had come whole
	ctx                         context.Context
	fields                      string
}

// answer is what a server says to an attempt.
type answer struct {
	word    string // ACK, NOMOD, NOENT, AGAIN, EIO, STALE
	tag     string
	issued  int64 // Unix milliseconds
	detail  string
	body    []byte
	delay   time.Duration // until it is written: waiting and sending
	unheard bool          // nothing is ever answered
}

// server is a cache server, a parent or the origin.
type server struct {
	id, kind string
	listener net.Listener
	addr     string
	handle   func(*attempt) answer
	rec      *record
	silent   atomic.Bool // neither answers nor resets

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// newServer starts a server on a free loopback port.
func newServer(rec *record, id, kind string, handle func(*attempt) answer) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, kind: kind, listener: listener, addr: listener.Addr().String(), handle: handle, rec: rec,
		conns: map[net.Conn]bool{},
	}
	go s.accept()
	return s, nil
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// close ends the server's process: connections are reset, new ones are refused.
func (s *server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// serve reads the commands of one connection.
func (s *server) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		conn.Close()
	}()
	var mu sync.Mutex // of the writes and the open attempts
	open := map[string]context.CancelFunc{}
	reader := bufio.NewReaderSize(conn, 16<<10)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Split(strings.TrimSuffix(line, "\r\n"), " ")
		switch {
		case s.silent.Load() && words[0] != "GET":
		case len(words) == 2 && words[0] == "PING":
			mu.Lock()
			_, err = conn.Write([]byte(words[1] + " READY\r\n"))
			mu.Unlock()
			if err != nil {
				return
			}
		case len(words) == 2 && words[0] == "DROP":
			mu.Lock()
			if drop := open[words[1]]; drop != nil {
				drop()
				delete(open, words[1])
			}
			mu.Unlock()
		case len(words) == 4 && words[0] == "GET":
			a, err := readAttempt(reader, words)
			if err != nil {
				return
			}
			attemptCtx, drop := context.WithCancel(ctx)
			a.ctx = attemptCtx
			mu.Lock()
			open[a.id] = drop
			mu.Unlock()
			go s.answerAttempt(conn, &mu, open, a)
		default:
			s.rec.note("%s: cannot read %q", s.id, line)
			return
		}
	}
}

// answerAttempt runs an attempt and writes its answer unless it was given up.
func (s *server) answerAttempt(conn net.Conn, mu *sync.Mutex, open map[string]context.CancelFunc, a *attempt) {
	reply := s.handle(a)
	if reply.unheard || s.silent.Load() {
		return
	}
	select {
	case <-a.ctx.Done():
		return
	case <-time.After(reply.delay):
	}
	fields := make([]string, 0, 4)
	if reply.tag != "" {
		fields = append(fields, "entity="+reply.tag)
	}
	if reply.issued > 0 {
		fields = append(fields, "issued="+strconv.FormatInt(reply.issued, 10))
	}
	if reply.detail != "" {
		fields = append(fields, "detail="+reply.detail)
	}
	text := "-"
	if len(fields) > 0 {
		text = strings.Join(fields, ",")
	}
	head := fmt.Sprintf("%s %s %s %d\r\n", a.id, reply.word, text, len(reply.body))
	mu.Lock()
	defer mu.Unlock()
	if a.ctx.Err() != nil {
		return
	}
	delete(open, a.id)
	if _, err := conn.Write(append(append([]byte(head), reply.body...), '\r', '\n')); err != nil {
		s.rec.note("%s: answer to %s not written: %v", s.id, a.id, err)
	}
}

// readAttempt reads the fields and the body of a GET line.
func readAttempt(reader *bufio.Reader, words []string) (*attempt, error) {
	length, err := strconv.Atoi(words[3])
	if err != nil {
		return nil, err
	}
	a := &attempt{id: words[1], fields: words[2]}
	for field := range strings.SplitSeq(words[2], ",") {
		name, value, _ := strings.Cut(field, "=")
		number, _ := strconv.Atoi(value) // 0 for a field that is no number
		switch name {
		case "queue":
			a.class = value
		case "path":
			a.object = value
		case "blk":
			a.part = number
		case "miss":
			a.source = value
		case "mine":
			a.tag = value
		case "uniq":
			a.key = value
		case "within":
			a.within = time.Duration(number) * time.Millisecond
		case "budget":
			a.budget = time.Duration(number) * time.Millisecond
		}
	}
	a.body = make([]byte, length)
	if _, err := io.ReadFull(reader, a.body); err != nil {
		return nil, err
	}
	if _, err := reader.Discard(len("\r\n")); err != nil {
		return nil, err
	}
	a.at = time.Now()
	return a, nil
}
