package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"

	"quilldoor/internal/cacheproto"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/loopback"
	"quilldoor/internal/simulation"
)

// place is where one router finds one server. Its books are the loop's.
type place struct {
	*process
	server   string
	addr     string
	listener net.Listener // nil: down, connections are refused
	conns    map[*lineConn]struct{}
}

// place finds a server's place, or makes it.
func (r *process) place(server string) (*place, error) {
	if p := r.places[server]; p != nil {
		return p, nil
	}
	// Reserved, as the server listens there again after it was down.
	addr, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	p := &place{process: r, server: server, addr: addr.String(), conns: map[*lineConn]struct{}{}}
	r.places[server] = p
	return p, p.open()
}

func (p *place) open() error {
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return fmt.Errorf("server %s: %w", p.server, err)
	}
	p.listener = l
	p.all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.all.Go(func() { p.serve(c, l) })
		}
	})
	p.all.Go(func() {
		<-p.ctx.Done()
		l.Close()
	})
	return nil
}

// turn follows the server's life: a dead one resets its connections and refuses
// new ones; a silent one keeps them and says nothing.
func (p *place) turn(up, silent bool) {
	if up || !silent {
		for c := range p.conns {
			c.reset()
		}
	}
	if !up && !silent && p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	if up && p.listener == nil {
		if err := p.open(); err != nil {
			p.failed(err)
		}
	}
}

// serve reads a router's commands.
func (p *place) serve(sock net.Conn, l net.Listener) {
	c := &lineConn{Conn: sock, place: p, hops: map[string]*lineHop{}, more: make(chan struct{}, 1)}
	defer sock.Close()
	stop := make(chan struct{})
	defer close(stop)
	p.all.Go(func() {
		select {
		case <-p.ctx.Done():
			sock.Close()
		case <-stop:
		}
	})
	p.send(func() {
		if p.listener == l {
			p.conns[c] = struct{}{}
		} else {
			c.reset()
		}
	})
	p.all.Go(c.write)
	defer func() {
		c.end()
		p.send(func() { p.leave(c) })
	}()
	r := bufio.NewReaderSize(sock, 16<<10)
	for {
		cmd, err := cacheproto.ReadCommand(r)
		if err != nil {
			return
		}
		switch {
		case cmd.Get != nil:
			body := make([]byte, cmd.Get.Length)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			if err := cacheproto.ReadBodyEnd(r); err != nil {
				return
			}
			p.send(func() { p.hop(c, cmd.Get, body) })
		case cmd.DropID != "":
			p.send(func() { p.drop(c, cmd.DropID) })
		default:
			c.put([]byte(cmd.PingID + " READY\r\n"))
		}
	}
}

// hop hands a hop to the world.
func (p *place) hop(c *lineConn, g *cacheproto.GetCommand, body []byte) {
	x := p.asks[g.ID]
	if x == nil {
		x = p.carried(g.ID)
	}
	if x == nil && p.conf.Guests {
		x = p.guest(g)
	}
	if x == nil { // its client has just left, or the id is none of ours
		c.put(cacheproto.AppendResponse(nil, &cacheproto.Response{ID: g.ID, Status: cacheproto.StatusSkipped}))
		c.put([]byte("\r\n"))
		return
	}
	h := &lineHop{conn: c, id: g.ID, n: x.hops, body: body}
	x.hops++
	c.hops[g.ID] = h
	p.world.Hop(&simulation.Hop{
		Router: p.id, Txn: g.ID, N: h.n, Server: p.server, Source: g.Source, Rank: g.Priority, FillMode: g.FillMode,
		Within: g.MaxAgeMillis * 1000, Rule: x.Rule, Object: x.Object, Part: x.Part, Group: x.Group, SizeKB: x.SizeKB, Write: x.Write, Tag: h,
	})
}

// guest makes a txn of somebody else's request, such as a person's by curl. The
// record has it as given up when its time is over.
func (p *place) guest(g *cacheproto.GetCommand) *asked {
	rule, group, kb, known := p.world.Object(g.Object, g.Part)
	if !known || p.world.RuleOf(rule).Name != g.Class {
		return nil
	}
	a := &simulation.Ask{Router: p.id, Txn: g.ID, Rule: rule, Object: g.Object, Part: g.Part, Group: group, SizeKB: kb}
	x := &asked{Ask: a, cancel: func() {}}
	p.asks[g.ID] = x
	now := p.world.Now()
	p.Note(&eventlog.Entry{
		Kind: eventlog.KindTaken, At: now, Router: p.id, Request: g.ID, Class: g.Class, Object: g.Object, Group: group,
		Deadline: now + g.BudgetMillis*1000,
	})
	time.AfterFunc(time.Duration(g.BudgetMillis)*time.Millisecond, func() {
		p.send(func() {
			if p.asks[g.ID] == x {
				delete(p.asks, g.ID)
				p.Note(&eventlog.Entry{Kind: eventlog.KindAnswered, At: p.world.Now(), Router: p.id, Request: g.ID, Outcome: "aborted"})
			}
		})
	})
	return x
}

func (p *place) drop(c *lineConn, id string) {
	if h := c.hops[id]; h != nil {
		delete(c.hops, id)
		p.world.Cancel(p.id, id, h.n)
	}
}

// leave gives up all that is open on a connection that has ended.
func (p *place) leave(c *lineConn) {
	delete(p.conns, c)
	for id := range c.hops {
		p.drop(c, id)
	}
}
