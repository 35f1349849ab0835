package main

import (
	"fmt"
	"hash/fnv"
	"time"
)

// pageName is the name of an object.
func pageName(n int) string { return fmt.Sprintf("7f3a9c21e0b4%04x", n) }

// office is a district office with caches, parents, the ledger and one router.
type office struct {
	caches []*server
	parent *server
	ledger *server
	board  *board
	router *router
}

const flowBytesPerSecond = 5_600_000

// sizeOf returns the length of an object in bytes, and how long it takes to send.
func sizeOf(class, object string, part int) (bytes int, sending time.Duration) {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s %d", object, part)
	spread := int(h.Sum32() % 1000)
	bytes = 4_000 + 24*spread // pages
	if class == classVideo {
		bytes = 60_000 + 170*spread
	}
	return bytes, time.Duration(bytes) * time.Second / flowBytesPerSecond
}

// calmAnswer is the answer of a server that has a fresh copy of everything.
func calmAnswer(a *attempt) answer {
	if a.class == classAccept {
		return answer{word: "ACK", delay: 40 * time.Millisecond, body: []byte("accepted")}
	}
	bytes, sending := sizeOf(a.class, a.object, a.part)
	body := make([]byte, bytes)
	copy(body, a.object)
	return answer{
		word: "ACK", tag: "t" + a.object, issued: time.Now().UnixMilli(), detail: "HIT", body: body,
		delay: 5*time.Millisecond + sending,
	}
}

// newOffice starts two caches, a parent, the ledger and a router, all of them calm.
func newOffice(s *stage, limits map[string]any) (*office, error) {
	if err := s.binaries(); err != nil {
		return nil, err
	}
	o := &office{}
	for i := range 4 {
		kind := []string{"small-box", "small-box", "parent", "origin"}[i]
		server, err := newServer(s.rec, fmt.Sprintf("s-%d", i), kind, calmAnswer)
		if err != nil {
			return nil, err
		}
		switch kind {
		case "parent":
			o.parent = server
		case "origin":
			o.ledger = server
		default:
			o.caches = append(o.caches, server)
		}
	}
	var err error
	if o.board, err = newBoard(o.targets()); err != nil {
		return nil, err
	}
	if o.router, err = newRouter(s.root, s.folder, "n1"); err != nil {
		return nil, err
	}
	if err := o.router.configure(o.board, limits, leaseSettings(), flowBytesPerSecond); err != nil {
		return nil, err
	}
	return o, o.router.start()
}

func (o *office) targets() []target {
	var list []target
	for _, cache := range o.caches {
		list = append(list, target{UID: cache.id, Endpoint: cache.addr, AZ: "edge-1", Model: cache.kind, State: "ready", Capacity: 6})
	}
	list = append(list,
		target{UID: o.parent.id, Endpoint: o.parent.addr, AZ: "trunk-a", Model: "parent", State: "ready", Capacity: 20},
		target{UID: o.ledger.id, Endpoint: o.ledger.addr, AZ: "trunk-a", Model: "origin", State: "ready", Capacity: 40})
	return list
}

// end ends all that the office has started.
func (o *office) end() {
	o.router.stop()
	o.board.close()
	for _, server := range append(o.caches, o.parent, o.ledger) {
		server.close()
	}
}
