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
func (f *Front) parse(h *http1.Head) (*ask, int) {
	// /rpc/CLASS/OBJECT or /rpc/CLASS/OBJECT/n-PART
	part := strings.Split(strings.TrimPrefix(h.Target, "/rpc/"), "/")
	if !strings.HasPrefix(h.Target, "/rpc/") || len(part) < 2 || len(part) > 3 {
		return nil, 404
	}
	rule, known := f.core.Rule(part[0])
	if !known {
		return nil, 404
	}
	if want := map[bool]string{true: "PUT", false: "GET"}[rule.Write]; h.Method != want {
		return nil, 405
	}
	if _, told := h.Get("content-length"); rule.Write && !told {
		return nil, 411
	}
	a := &ask{event: policy.Event{Rule: rule.Name, Object: part[1], Write: rule.Write}}
	ok := cacheproto.Plain(part[1]) && (rule.Write || h.Length == 0)
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
	a.event.Txn = id
	var ttl int64
	left, _ := only("x-ttl-ms")
	ok = ok && number(left, f.limits.LongestTxn.Milliseconds()+1, &ttl) && ttl > 0
	a.ttl = min(time.Duration(ttl)*time.Millisecond, f.limits.LongestTxn)
	group, _ := only("x-shard")
	ok = ok && number(group, 255, &a.event.Group)
	if again, told := only("x-second-try"); told {
		ok = ok && (again == "1" || again == "0")
		a.event.Repeat = again == "1"
	}
	if tag, told := only("if-none-match"); told {
		a.tag = strings.Trim(strings.TrimPrefix(tag, "W/"), `"`)
		ok = ok && len(tag) <= cacheproto.MostWord
		if !cacheproto.Plain(a.tag) {
			a.tag = "" // a list, or any copy at all: nothing that could be passed on
		}
	}
	if key, told := only("x-txn-key"); told {
		a.key = key
		ok = ok && cacheproto.Plain(key)
	}
	if rule.Effect == "keyed" && a.key == "" {
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
func (f *Front) txn(c *client, a *ask, last bool) bool {
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
	case engine.ErrTwin:
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
				f.earn(a, false, 0, t.Hops())
				if final != nil {
					f.leave(*final) // it came as the client left
				}
				return false
			}
			if gate := f.gate.Load(); gate != nil && a.key == "" { // its frames carry no mark
				gate.Home(final.Kind == engine.Rejected)
				if final.Kind == engine.Rejected && !f.across(c, gate, a, final, limit, arrived) {
					f.ends[endLeft].Add(1)
					f.earn(a, false, 0, t.Hops())
					return false // it left meanwhile
				}
			}
			if time.Since(limit) > f.limits.ReplySlack/2 {
				f.late.Add(1)
				f.ends[endLate].Add(1)
			}
			f.ends[endOf[final.Kind]].Add(1)
			f.earn(a, final.Kind == engine.Completed, size(final), t.Hops())
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
			f.core.Leave(time.Now().UnixMicro(), t)
		}
	}
}

// answered tells who looks on of a read's answer.
func (f *Front) answered(a *ask, o *engine.Order) {
	if r, ok := o.Reply.(*upstream.Reply); ok && f.acts != nil && o.Hop != nil && !a.event.Write {
		took := 0.0
		if f.flow > 0 {
			took = float64(r.Len()) / f.flow * 1e6
		}
		f.acts.Answered(a.event.Rule, a.event.Object, a.event.Group, o.Hop.Decided, r.Issued*1000, took)
	}
}

// size of a completed txn's answer.
func size(o *engine.Order) int {
	if r, ok := o.Reply.(*upstream.Reply); ok {
		return r.Len()
	}
	return 0
}

// endOf counts a final order.
var endOf = map[engine.OrderKind]int{engine.Completed: endCompleted, engine.Rejected: endRejected, engine.Aborted: endAborted}

// orders carries out what the module has decided for a txn, up to its final answer.
func (f *Front) orders(t *engine.Txn, a *ask, tag string) (final *engine.Order) {
	for _, o := range t.Take() {
		switch o.Kind {
		case engine.Send:
			flight := &upstream.Flight{Hop: o.Hop, Class: a.event.Rule, Object: a.event.Object,
				Part: a.event.Part, Tag: tag, Key: a.key, Body: a.body, Write: a.event.Write}
			o.Hop.Carrier = flight
			f.acts.Hop(o.Hop.Decided, o.Hop.Server.Server, o.Hop.Source, a.event.Rule, o.Hop.Twice)
			f.up.Send(flight)
		case engine.Drop:
			f.leave(o)
		default:
			final = &o
		}
	}
	return final
}

// fromShelf looks for a copy of the router's own, and tells whether that is the
// answer. Else the module decides as ever, and a copy may be proven or stand in.
func (f *Front) fromShelf(a *ask, limit time.Time) (kept *diskrunner.Copy, served bool) {
	own := f.shelf.Load()
	if own == nil || a.event.Write {
		return nil, false
	}
	kept = own.Get(a.onShelf(limit))
	if kept == nil || !kept.Sure {
		return kept, false
	}
	now := time.Now()
	if !now.Before(limit) || !kept.Serve(a.tag == kept.Tag) { // a purge came while it was read
		kept.Release()
		return nil, false
	}
	f.ends[endCompleted].Add(1)
	f.earn(a, true, kept.Len(), 0)
	f.core.Kept(now.UnixMicro(), a.event)
	return kept, true
}

func (a *ask) onShelf(limit time.Time) *diskrunner.Ask {
	return &diskrunner.Ask{Rule: a.event.Rule, Object: a.event.Object, Part: a.event.Part, Group: uint8(a.event.Group),
		Left: time.Until(limit)}
}

// settle does what the module's final order means for the router's own copies:
// bytes are offered to the shelf, a copy is proven, or stands in for no answer.
// It returns the copy that is to be given in place of what the order says.
func (f *Front) settle(a *ask, kept *diskrunner.Copy, tag string, final *engine.Order, limit time.Time) *diskrunner.Copy {
	if final.Kind != engine.Completed {
		if kept != nil && time.Now().Before(limit) && kept.StandIn(a.tag == kept.Tag) {
			return kept
		}
		return nil
	}
	r := final.Reply.(*upstream.Reply)
	switch {
	case !r.Same && !a.event.Write:
		if own := f.shelf.Load(); own != nil {
			own.Keep(a.onShelf(limit), r.Tag, r.Issued, r.Body)
		}
	case kept != nil && r.Same && tag == kept.Tag && r.Tag == tag:
		kept.Proven(r.Issued, a.tag == "")
		if a.tag == "" {
			return kept
		}
	case r.Same && a.tag == "": // of another tag than was sent: nothing that the client could use
		r.Release()
		*final = engine.Order{Kind: engine.Aborted}
	}
	return nil
}

// give answers with a copy of the router's own.
func (f *Front) give(c *client, kept *diskrunner.Copy, a *ask, limit time.Time, last bool) bool {
	if a.tag == kept.Tag {
		return f.copied(c, 304, kept.Tag, nil, limit, last)
	}
	return f.copied(c, 200, kept.Tag, kept.Body, limit, last)
}

// leave does what is left to do of an order that nobody waits for.
func (f *Front) leave(o engine.Order) {
	if o.Kind == engine.Drop {
		o.Hop.Drop(o.Silent)
	}
	if o.Reply != nil {
		o.Reply.Release()
	}
}

// wait returns when the mailbox has something, or false once the client has
// left. It sees both by one read that the mailbox's bell cuts short.
func (f *Front) wait(c *client, arrived <-chan struct{}) bool {
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
func (f *Front) answer(c *client, o *engine.Order, limit time.Time, last bool) bool {
	switch o.Kind {
	case engine.Completed:
		r := o.Reply.(*upstream.Reply)
		defer r.Release()
		status := 200
		if r.Same {
			status = 304
		}
		return f.copied(c, status, r.Tag, r.Body, limit, last)
	case engine.Rejected:
		if o.Stay > 0 {
			return f.final(c, 503, nil, limit, last,
				http1.Field{Name: "X-Throttle-Ms", Value: strconv.FormatInt(o.Stay/1000, 10)})
		}
		return f.final(c, 503, nil, limit, last)
	}
	return f.final(c, 504, nil, limit, last)
}

// copied answers with a copy and its tag.
func (f *Front) copied(c *client, status int, tag string, body *bufferpool.Body, limit time.Time, last bool) bool {
	if tag == "" {
		return f.final(c, status, body, limit, last)
	}
	return f.final(c, status, body, limit, last, http1.Field{Name: "ETag", Value: `"` + tag + `"`})
}

func (f *Front) final(c *client, status int, body *bufferpool.Body, limit time.Time, last bool, fields ...http1.Field) bool {
	bufs := body.Append(net.Buffers{nil})
	bufs[0] = http1.AppendResponse(nil, status, body.Len(), last, fields...)
	return f.write(c, limit.Add(f.limits.ReplySlack), bufs...) == nil
}
