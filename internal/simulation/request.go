package simulation

import (
	"fmt"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// Ask is one try of a client.
type Ask struct {
	Router   int
	Txn      string
	Rule     int
	Object   string
	Group    int64
	Part     int64
	SizeKB   float64
	Limit    int64 // how long the client waits
	Again    bool  // marked as a client's retry
	Write    bool
	client   *client
	deadline int64
	sent     int64
	open     bool
}

// Deadline is when the client's time is over.
func (a *Ask) Deadline() int64 { return a.deadline }

// client is one request with all its tries.
type client struct {
	office, rule int
	object, part int64
	tries        int
	first        int64
	view         *view // of which it is a part
	phase        string
	patience     int64
	honours      bool
}

// try sends a request to one of the office's routers that the front knows as up.
func (w *World) try(c *client) {
	const noticed = 1 * second // a dead router gets clients for so long
	f := &w.set.Fleet
	var up []*router
	for _, r := range w.routers[c.office*f.Routers : (c.office+1)*f.Routers] {
		if r.up || w.now-r.downAt < noticed {
			up = append(up, r)
		}
	}
	c.tries++
	if len(up) == 0 {
		w.again(c, 0, true)
		return
	}
	r := up[w.dice.IntN(len(up))]
	w.clients.n++
	a := &Ask{
		Router: r.id, Txn: fmt.Sprintf("%016x", w.clients.n), Rule: c.rule, Object: w.cat.name(c.object),
		Group: w.cat.group(c.object), Part: c.part, SizeKB: w.cat.size(c.object, c.part), Limit: c.patience,
		Again: c.tries > 1, Write: w.rules[c.rule].Write, client: c, sent: w.now, deadline: w.now + c.patience,
	}
	if a.Write {
		a.SizeKB = 1
	}
	way := w.jitter(f.ClientMS * 500)
	w.after(way, func() {
		if !r.up { // refused: it never ran
			w.after(way, func() { w.again(c, 0, true) })
			return
		}
		a.open = true
		r.open[a.Txn] = a
		r.openSeq = append(r.openSeq, a.Txn)
		if len(r.openSeq) > 64 && len(r.openSeq) > 2*len(r.open) {
			r.compact()
		}
		w.Result.Taken++
		w.note(Entry{
			Kind: eventlog.KindTaken, Router: r.id, Request: a.Txn, Class: w.rules[a.Rule].Name, Object: a.Object, Group: a.Group,
			Deadline: a.deadline,
		})
		// What the router is told is how long the client waits from when it sent.
		a.Limit = a.deadline - w.now
		w.driver.Ask(a)
	})
	w.after(c.patience+2*way+w.Slack, func() { w.lost(r, a) })
}

// lost is a client whose time is over without an answer.
func (w *World) lost(r *router, a *Ask) {
	if !a.open {
		return
	}
	a.open = false
	delete(r.open, a.Txn)
	w.note(Entry{Kind: eventlog.KindLeft, Router: r.id, Request: a.Txn})
	w.Result.Lost++
	w.driver.Leave(r.id, a.Txn)
	w.again(a.client, 0, a.client.rule != scenario.ClassAccept)
}

// Refused takes that a router's machine refused the connection: it has taken
// nothing. Only sockets can tell; here a router that is up takes all.
func (w *World) Refused(router int, txn string) {
	r := w.routers[router]
	a := r.open[txn]
	if a == nil {
		return
	}
	a.open = false
	delete(r.open, txn)
	w.note(Entry{Kind: eventlog.KindRefused, Router: router, Request: txn})
	w.again(a.client, 0, true)
}

// Final takes a router's answer to a txn: "completed", "rejected" or "aborted".
// Issued is that of the copy.
func (w *World) Final(router int, txn, outcome string, issued, stay int64) {
	r := w.routers[router]
	a := r.open[txn]
	e := Entry{Kind: eventlog.KindAnswered, Router: router, Request: txn, Outcome: outcome, Issued: issued}
	if a != nil {
		e.Class, e.Object, e.Group, e.Deadline = w.rules[a.Rule].Name, a.Object, a.Group, a.deadline
	}
	w.note(e)
	if a == nil {
		return
	}
	a.open = false
	delete(r.open, txn)
	c := a.client
	w.after(w.jitter(w.set.Fleet.ClientMS*500), func() {
		if w.now > a.deadline+50*ms+w.Slack {
			outcome = "late"
		}
		if outcome == "completed" {
			w.live--
			w.Result.completed(w, c, issued)
			return
		}
		w.again(c, stay, outcome == "rejected" || w.rules[c.rule].Effect == policy.EffectIdempotent)
	})
}

// again is a client that got no answer it can use. It tries again where that is
// harmless, after a wait.
func (w *World) again(c *client, stay int64, harmless bool) {
	l := &w.set.Load
	if !harmless || c.tries > l.Retries {
		w.live--
		w.Result.failed(w, c, harmless)
		return
	}
	wait := int64(0)
	if l.RetryWaitMS > 0 {
		wait = w.jitter(l.RetryWaitMS * 1000 * float64(int64(1)<<min(c.tries-1, 6)))
	}
	if c.honours {
		wait = max(wait, stay)
	}
	w.after(wait, func() { w.try(c) })
}
