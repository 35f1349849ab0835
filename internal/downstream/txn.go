package downstream

import (
	"net"
	"strconv"
	"strings"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/cacheproto"
	"quilldoor/internal/diskcache/diskrunner"
	"quilldoor/internal/engine"
	"quilldoor/internal/http1"
	"quilldoor/internal/policy"
	"quilldoor/internal/upstream"
)

// ask is what a client asked for.
type ask struct {
	event policy.Event
	tag   string // of the client's copy, bare
	key   string // its mark against repeats, of a keyed rule
	body  *bufferpool.Body
	first time.Time // when the request began to come
	ttl   time.Duration
	// waited is how long it may have lain unread before that, as the process stood
	// still: its client counts that, too.
	waited time.Duration
}

// parse reads a txn's target and headers; the status answers one that is wrong.
// What passes must fit a cache server's line: it closes on what it can't read,
// over all hops that are out on the connection.
func (f *Server) parse(h *http1.Head) (*ask, int) {
	// /rpc/CLASS/OBJECT or /rpc/CLASS/OBJECT/n-PART
	part := strings.Split(strings.TrimPrefix(h.Target, "/rpc/"), "/")
	if !strings.HasPrefix(h.Target, "/rpc/") || len(part) < 2 || len(part) > 3 {
		return nil, 404
	}
	rule, known := f.core.Class(part[0])
	if !known {
		return nil, 404
	}
	if want := map[bool]string{true: "PUT", false: "GET"}[rule.Write]; h.Method != want {
		return nil, 405
	}
	if _, told := h.Get("content-length"); rule.Write && !told {
		return nil, 411
	}
	a := &ask{event: policy.Event{Class: rule.Name, Object: part[1], Write: rule.Write}}
	ok := cacheproto.IsPlain(part[1]) && (rule.Write || h.ContentLength == 0)
	only := func(name string) (string, bool) { // what stands twice is refused
		ok = ok && h.Count(name) <= 1
		return h.Get(name)
	}
	if len(part) == 3 {
		n, named := strings.CutPrefix(part[2], "n-")
		ok = number(n, 1<<31, &a.event.Part) && named && ok
	}
	id, _ := only("x-txn")
	ok = ok && txnID(id)
	a.event.Request = id
	var ttl int64
	left, _ := only("x-ttl-ms")
	ok = ok && number(left, f.limits.MaxRequestTimeout.Milliseconds()+1, &ttl) && ttl > 0
	a.ttl = min(time.Duration(ttl)*time.Millisecond, f.limits.MaxRequestTimeout)
	group, _ := only("x-shard")
	ok = ok && number(group, 255, &a.event.Group)
	if again, told := only("x-second-try"); told {
		ok = ok && (again == "1" || again == "0")
		a.event.ClientRetry = again == "1"
	}
	if tag, told := only("if-none-match"); told {
		a.tag = strings.Trim(strings.TrimPrefix(tag, "W/"), `"`)
		ok = ok && len(tag) <= cacheproto.MaxValueLen
		if !cacheproto.IsPlain(a.tag) {
			a.tag = "" // a list, or any copy at all: nothing that could be passed on
		}
	}
	if key, told := only("x-txn-key"); told {
		a.key = key
		ok = ok && cacheproto.IsPlain(key)
	}
	if rule.Effect == policy.EffectIdempotencyKey && a.key == "" {
		return nil, 400 // a repeat of it could not be told from another
	}
	if !ok {
		return nil, 400
	}
	return a, 0
}

// txnID tells whether text is a txn's id: 16 hex digits.
func txnID(id string) bool { return len(id) == 16 && strings.Trim(id, "0123456789abcdefABCDEF") == "" }

// number reads a whole number of digits only, as a cache server is told it.
func number(text string, most int64, to *int64) bool {
	v, err := strconv.ParseUint(text, 10, 63)
	*to = int64(v)
	return err == nil && *to <= most && (text[0] != '0' || len(text) == 1)
}

// txn is the life of a txn, from the request to its answer. The module is asked
// when it comes, when a hop ends, when a timer falls due and when the client
// leaves; what it decides comes to the mailbox. False: the connection must end.
func (f *Server) txn(c *client, a *ask, last bool) bool {
	if a.waited >= a.ttl { // nothing has run: trying again is harmless
		return f.plain(c, 503, last)
	}
	limit := a.first.Add(a.ttl - a.waited)
	kept, served := f.fromShelf(a, limit)
	defer kept.Release()
	if served {
		return f.give(c, kept, a, limit, last)
	}
	tag := a.tag
	if kept != nil && tag == "" {
		tag = kept.Tag // its proof spares the bytes their way
	}
	now := time.Now()
	a.event.Remaining = limit.Sub(now).Microseconds()
	if a.event.Remaining <= 0 { // it waited in our buffers for all of its time
		return f.plain(c, 504, last)
	}
	if c.left() { // nothing is begun for nobody
		return false
	}
	arrived := make(chan struct{}, 1)
	t, err := f.core.Open(now.UnixMicro(), a.event, func() {
		select {
		case arrived <- struct{}{}:
		default:
		}
		c.SetReadDeadline(now) // wakes the wait below
	})
	switch err {
	case engine.ErrFull:
		f.ends[endRejected].Add(1)
		f.earn(a, false, 0, 0)
		return f.plain(c, 503, last)
	case engine.ErrDuplicate:
		return f.plain(c, 400, last)
	}
	for here := true; ; {
		final := f.orders(t, a, tag)
		if final != nil || !here {
			for _, o := range t.Detach() {
				f.leave(o)
			}
			if !here {
				f.ends[endLeft].Add(1)
				f.earn(a, false, 0, t.Attempts())
				if final != nil {
					f.leave(*final) // it came as the client left
				}
				return false
			}
			if gate := f.gate.Load(); gate != nil && a.key == "" { // its frames carry no mark
				gate.ObserveLocal(final.Kind == engine.CommandReject)
				if final.Kind == engine.CommandReject && !f.across(c, gate, a, final, limit, arrived) {
					f.ends[endLeft].Add(1)
					f.earn(a, false, 0, t.Attempts())
					return false // it left meanwhile
				}
			}
			if time.Since(limit) > f.limits.ResponseGrace/2 {
				f.late.Add(1)
				f.ends[endLate].Add(1)
			}
			f.ends[endOf[final.Kind]].Add(1)
			f.earn(a, final.Kind == engine.CommandRespond, size(final), t.Attempts())
			f.answered(a, final)
			if f.shelf.Load() != nil {
				if out := f.settle(a, kept, tag, final, limit); out != nil {
					f.leave(*final)
					return f.give(c, out, a, limit, last)
				}
			}
			return f.answer(c, final, limit, last)
		}
		if here = f.wait(c, arrived); !here {
			f.core.ClientGone(time.Now().UnixMicro(), t)
		}
	}
}

// answered tells who looks on of a read's answer.
func (f *Server) answered(a *ask, o *engine.Command) {
	if r, ok := o.Response.(*upstream.Response); ok && f.acts != nil && o.Attempt != nil && !a.event.Write {
		took := 0.0
		if f.flow > 0 {
			took = float64(r.Len()) / f.flow * 1e6
		}
		f.acts.RecordResponse(a.event.Class, a.event.Object, a.event.Group, o.Attempt.DecidedAt, r.IssuedMillis*1000, took)
	}
}

// size of a completed txn's answer.
func size(o *engine.Command) int {
	if r, ok := o.Response.(*upstream.Response); ok {
		return r.Len()
	}
	return 0
}

// endOf counts a final order.
var endOf = map[engine.CommandKind]int{engine.CommandRespond: endCompleted, engine.CommandReject: endRejected, engine.CommandFail: endAborted}

// orders carries out what the module has decided for a txn, up to its final answer.
func (f *Server) orders(t *engine.Request, a *ask, tag string) (final *engine.Command) {
	for _, o := range t.TakeCommands() {
		switch o.Kind {
		case engine.CommandSend:
			flight := &upstream.Call{
				Attempt: o.Attempt, Class: a.event.Class, Object: a.event.Object,
				Part: a.event.Part, Tag: tag, IdempotencyKey: a.key, Body: a.body, Write: a.event.Write,
			}
			o.Attempt.Transport = flight
			f.acts.RecordAttempt(o.Attempt.DecidedAt, o.Attempt.Endpoint.ID, o.Attempt.Source, a.event.Class, o.Attempt.Unsafe)
			f.up.Send(flight)
		case engine.CommandDrop:
			f.leave(o)
		default:
			final = &o
		}
	}
	return final
}

// fromShelf looks for a copy of the router's own, and tells whether that is the
// answer. Else the module decides as ever, and a copy may be proven or stand in.
func (f *Server) fromShelf(a *ask, limit time.Time) (kept *diskrunner.Copy, served bool) {
	own := f.shelf.Load()
	if own == nil || a.event.Write {
		return nil, false
	}
	kept = own.Get(a.onShelf(limit))
	if kept == nil || !kept.Fresh {
		return kept, false
	}
	now := time.Now()
	if !now.Before(limit) || !kept.Serve(a.tag == kept.Tag) { // a purge came while it was read
		kept.Release()
		return nil, false
	}
	f.ends[endCompleted].Add(1)
	f.earn(a, true, kept.Len(), 0)
	f.core.LocalHit(now.UnixMicro(), a.event)
	return kept, true
}

func (a *ask) onShelf(limit time.Time) *diskrunner.Request {
	return &diskrunner.Request{
		Class: a.event.Class, Object: a.event.Object, Part: a.event.Part, Group: uint8(a.event.Group),
		Remaining: time.Until(limit),
	}
}

// settle does what the module's final order means for the router's own copies:
// bytes are offered to the shelf, a copy is proven, or stands in for no answer.
// It returns the copy that is to be given in place of what the order says.
func (f *Server) settle(a *ask, kept *diskrunner.Copy, tag string, final *engine.Command, limit time.Time) *diskrunner.Copy {
	if final.Kind != engine.CommandRespond {
		if kept != nil && time.Now().Before(limit) && kept.ServeStale(a.tag == kept.Tag) {
			return kept
		}
		return nil
	}
	r := final.Response.(*upstream.Response)
	switch {
	case !r.NotModified && !a.event.Write:
		if own := f.shelf.Load(); own != nil {
			own.Offer(a.onShelf(limit), r.Tag, r.IssuedMillis, r.Body)
		}
	case kept != nil && r.NotModified && tag == kept.Tag && r.Tag == tag:
		kept.Revalidated(r.IssuedMillis, a.tag == "")
		if a.tag == "" {
			return kept
		}
	case r.NotModified && a.tag == "": // of another tag than was sent: nothing that the client could use
		r.Release()
		*final = engine.Command{Kind: engine.CommandFail}
	}
	return nil
}

// give answers with a copy of the router's own.
func (f *Server) give(c *client, kept *diskrunner.Copy, a *ask, limit time.Time, last bool) bool {
	if a.tag == kept.Tag {
		return f.copied(c, 304, kept.Tag, nil, limit, last)
	}
	return f.copied(c, 200, kept.Tag, kept.Body, limit, last)
}

// leave does what is left to do of an order that nobody waits for.
func (f *Server) leave(o engine.Command) {
	if o.Kind == engine.CommandDrop {
		o.Attempt.Drop(o.Silent)
	}
	if o.Response != nil {
		o.Response.Release()
	}
}

// wait returns when the mailbox has something, or false once the client has
// left. It sees both by one read that the mailbox's bell cuts short.
func (f *Server) wait(c *client, arrived <-chan struct{}) bool {
	c.SetReadDeadline(time.Time{})
	select {
	case <-arrived: // the bell may have rung before the deadline was taken away
		return true
	default:
	}
	if !c.watch(arrived) {
		return false
	}
	select {
	case <-arrived:
	default:
	}
	return true
}

// answer writes the final answer.
func (f *Server) answer(c *client, o *engine.Command, limit time.Time, last bool) bool {
	switch o.Kind {
	case engine.CommandRespond:
		r := o.Response.(*upstream.Response)
		defer r.Release()
		status := 200
		if r.NotModified {
			status = 304
		}
		return f.copied(c, status, r.Tag, r.Body, limit, last)
	case engine.CommandReject:
		if o.RetryAfter > 0 {
			return f.final(c, 503, nil, limit, last,
				http1.Field{Name: "X-Throttle-Ms", Value: strconv.FormatInt(o.RetryAfter/1000, 10)})
		}
		return f.final(c, 503, nil, limit, last)
	}
	return f.final(c, 504, nil, limit, last)
}

// copied answers with a copy and its tag.
func (f *Server) copied(c *client, status int, tag string, body *bufferpool.Body, limit time.Time, last bool) bool {
	if tag == "" {
		return f.final(c, status, body, limit, last)
	}
	return f.final(c, status, body, limit, last, http1.Field{Name: "ETag", Value: `"` + tag + `"`})
}

func (f *Server) final(c *client, status int, body *bufferpool.Body, limit time.Time, last bool, fields ...http1.Field) bool {
	bufs := body.AppendBuffers(net.Buffers{nil})
	bufs[0] = http1.AppendResponse(nil, status, body.Len(), last, fields...)
	return f.write(c, limit.Add(f.limits.ResponseGrace), bufs...) == nil
}
