// Package checker judges a record by the five rules. It knows neither the router
// nor the model: only what was asked, sent, run, told and answered.
package checker

import (
	"fmt"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

const ms, second = int64(1000), int64(1_000_000)

// Figures are those of the rules. Times are microseconds.
type Figures struct {
	Rules       []policy.TrafficClass
	AnswerSlack int64
	DrainGrace  int64
	PurgeGrace  int64
	// ToldBy is when what the board has to tell counts as told at the latest.
	ToldBy int64
}

// Break is a broken rule, by its number in the operators' list.
type Break struct {
	Rule   int
	At     int64
	Router int
	Txn    string
	Server string
	Text   string
}

func (b Break) String() string {
	s := fmt.Sprintf("%.6f s: rule %d: router %d", float64(b.At)/1e6, b.Rule, b.Router)
	if b.Txn != "" {
		s += ", txn " + b.Txn
	}
	if b.Server != "" {
		s += ", server " + b.Server
	}
	return s + ": " + b.Text
}

// Referee takes a record's lines in order.
type Referee struct {
	figures Figures
	rules   map[string]policy.TrafficClass
	now     int64
	txns    map[id]*txn
	listed  map[string]listing       // by server
	told    map[int]map[string]state // by router
	purges  map[int][]purge          // by router
	lost    map[id]*txn              // of routers that have died: what they have handed over may still come
	done    []ended                  // txns to forget

	Breaks []Break // the first hundred
	Count  [6]int  // by rule; all
	Judged int     // txns

	// Of routers that stood still: txns that fell due while their router could not
	// run, or within the time it has to wake. They are told apart, not broken; what
	// it does after it has woken is judged in full.
	Excused int
	stops   map[int]stop
}

// stop is a router's last time of standing still.
type stop struct {
	from, until int64 // until 0: it stands
}

// wakeGrace is how long a router that has stood still may take to answer what fell
// due meanwhile: what waits in its sockets is read first.
const wakeGrace = 300 * ms

// stood tells whether a router could not run at a time, or had just woken.
func (r *Referee) stood(router int, at int64) bool {
	s, ever := r.stops[router]
	return ever && at >= s.from && (s.until == 0 || at <= s.until+wakeGrace)
}

// heard is when a router could know what came at a time: what came while it stood
// still is known when it has woken.
func (r *Referee) heard(router int, at int64) int64 {
	if s, ever := r.stops[router]; ever && at >= s.from && at < s.until {
		return s.until
	}
	return at
}

type id struct {
	router int
	txn    string
}

type listing struct {
	state string
	by    int64 // counts as told to everybody
}

type state struct {
	name string
	at   int64
}

type purge struct {
	object string
	group  int64
	made   int64
	told   int64
}

type ended struct {
	id id
	at int64
}

type txn struct {
	rule     policy.TrafficClass
	object   string
	group    int64
	deadline int64
	outcome  string
	left     bool
	excused  bool // a process that may have held it was killed
	hops     []hop
	runs     int
	carried  []int // other routers that have it
}

type hop struct {
	router int
	n      int
	sent   int64
	server string
	end    string
	ran    bool
}

// New makes a referee.
func New(f Figures) *Referee {
	r := &Referee{
		figures: f, rules: map[string]policy.TrafficClass{}, txns: map[id]*txn{}, listed: map[string]listing{},
		told: map[int]map[string]state{}, purges: map[int][]purge{}, lost: map[id]*txn{}, stops: map[int]stop{},
	}
	for _, k := range f.Rules {
		r.rules[k.Name] = k
	}
	return r
}

func (r *Referee) broken(rule int, e *eventlog.Entry, format string, args ...any) {
	const most = 100
	r.Count[rule]++
	if len(r.Breaks) < most {
		r.Breaks = append(r.Breaks, Break{rule, e.At, e.Router, e.Txn, e.Server, fmt.Sprintf(format, args...)})
	}
}

// Broken tells whether any rule was.
func (r *Referee) Broken() bool { return len(r.Breaks) > 0 }

// judges say what each kind of line means.
var judges = map[string]func(*Referee, *eventlog.Entry){
	"taken": (*Referee).taken, "sent": (*Referee).sent, "ran": (*Referee).ran, "end": (*Referee).end,
	"final": (*Referee).final, "left": (*Referee).left, "listed": (*Referee).list, "told": (*Referee).tell,
	"told_purge": (*Referee).tellPurge, "router_down": (*Referee).down, "router_up": (*Referee).up,
	// A txn that another router took runs here: all that is known of it is one.
	// Its home may have died while it was on its way.
	"carried": func(r *Referee, e *eventlog.Entry) {
		t := r.txns[id{e.Hop, e.Txn}]
		if t == nil {
			t = r.lost[id{e.Hop, e.Txn}]
		}
		if t != nil {
			r.txns[id{e.Router, e.Txn}] = t
			t.carried = append(t.carried, e.Router)
		}
	},
	"router_stopped": func(r *Referee, e *eventlog.Entry) { r.stops[e.Router] = stop{from: e.At} },
	"router_woken": func(r *Referee, e *eventlog.Entry) {
		if s := r.stops[e.Router]; s.until == 0 {
			r.stops[e.Router] = stop{s.from, e.At}
		}
	},
	// A process of the router was killed, another one goes on: what the one held is no
	// longer its duty.
	"crashed": func(r *Referee, e *eventlog.Entry) {
		for key, t := range r.txns {
			if key.router == e.Router {
				t.excused = true
			}
		}
	},
	"refused": func(r *Referee, e *eventlog.Entry) { delete(r.txns, id{e.Router, e.Txn}) },
	"wrong": func(r *Referee, e *eventlog.Entry) {
		r.broken(1, e, "served what no server made for it: %s", e.State)
	},
	"fell": func(r *Referee, e *eventlog.Entry) {
		r.broken(4, e, "sent %.2f s of work within the window while it was cold: it fell over", e.Work)
	},
}

// Note takes a line.
func (r *Referee) Note(e *eventlog.Entry) {
	r.now = e.At
	if judge := judges[e.Kind]; judge != nil {
		judge(r, e)
	}
	// A second answer, or work that begins after the first, may come for a while.
	for len(r.done) > 0 && r.done[0].at < r.now-10*second {
		key := r.done[0].id
		t := r.txns[key]
		if t == nil {
			t = r.lost[key]
		}
		if t != nil {
			for _, other := range t.carried {
				delete(r.txns, id{other, key.txn})
			}
		}
		delete(r.txns, key)
		delete(r.lost, key)
		r.done = r.done[1:]
	}
}

func (r *Referee) taken(e *eventlog.Entry) {
	key := id{e.Router, e.Txn}
	if r.txns[key] != nil {
		return // a client's mistake, not the router's
	}
	r.Judged++
	r.txns[key] = &txn{rule: r.rules[e.Rule], object: e.Object, group: e.Group, deadline: e.Deadline}
}

// proofs are the ends that prove that a hop never ran.
var proofs = map[string]bool{"busy": true, "enoent": true, "econnrefused": true, "skipped": true}

func (r *Referee) sent(e *eventlog.Entry) {
	t := r.txns[id{e.Router, e.Txn}]
	if t == nil {
		r.broken(1, e, "a hop for a txn that it has not taken")
		return
	}
	if t.outcome != "" {
		r.broken(1, e, "a hop after the final answer")
	}
	r.drained(e, e.Server, "sent to")
	if e.Source != e.Server {
		r.drained(e, e.Source, "named as source")
	}
	for _, h := range t.hops {
		if proofs[h.end] || t.rule.Effect == policy.EffectIdempotent {
			continue
		}
		switch {
		case t.rule.Effect == policy.EffectUnsafe:
			r.broken(2, e, "sent again while hop %d (%q) may have run", h.n, h.end)
		case t.rule.DedupWindow > 0 && e.At-h.sent >= t.rule.DedupWindow:
			r.broken(2, e, "a keyed txn sent again %d ms after hop %d, past the window", (e.At-h.sent)/ms, h.n)
		}
	}
	t.hops = append(t.hops, hop{router: e.Router, n: e.Hop, sent: e.At, server: e.Server})
}

func (t *txn) hop(e *eventlog.Entry) *hop {
	for i := range t.hops {
		if t.hops[i].router == e.Router && t.hops[i].n == e.Hop {
			return &t.hops[i]
		}
	}
	return nil
}

func (r *Referee) ran(e *eventlog.Entry) {
	t := r.txns[id{e.Router, e.Txn}]
	if t == nil {
		return
	}
	t.runs++
	if h := t.hop(e); h != nil {
		h.ran = true
	}
	if t.rule.Effect == policy.EffectUnsafe {
		if t.runs > 1 {
			r.broken(2, e, "run %d times", t.runs)
		}
		if t.outcome == "rejected" {
			r.broken(2, e, "run after it was rejected")
		}
	}
}

func (r *Referee) end(e *eventlog.Entry) {
	if t := r.txns[id{e.Router, e.Txn}]; t != nil {
		if h := t.hop(e); h != nil && h.end == "" {
			h.end = e.Outcome
		}
	}
}

func (r *Referee) final(e *eventlog.Entry) {
	key := id{e.Router, e.Txn}
	t := r.txns[key]
	switch {
	case t == nil:
		r.broken(1, e, "an answer to nothing that was taken")
		return
	case t.outcome != "":
		r.broken(1, e, "a second answer, %s after %s", e.Outcome, t.outcome)
		return
	case t.left:
		return // already told as unanswered
	case e.At > t.deadline+r.figures.AnswerSlack && r.stood(e.Router, t.deadline) && r.stood(e.Router, e.At):
		r.Excused++
	case e.At > t.deadline+r.figures.AnswerSlack:
		r.broken(1, e, "answered %d ms too late", (e.At-t.deadline)/ms)
	}
	t.outcome = e.Outcome
	r.done = append(r.done, ended{key, e.At})
	if e.Outcome == "rejected" && t.rule.Effect == policy.EffectUnsafe {
		for _, h := range t.hops {
			if h.ran || !proofs[h.end] {
				r.broken(2, e, "rejected while hop %d (%q) may have run", h.n, h.end)
			}
		}
	}
	if e.Outcome == "completed" && !t.rule.Write {
		r.stale(e, t)
	}
}

// stale judges rule 5: what was sent after a purge was known brings no older copy.
func (r *Referee) stale(e *eventlog.Entry, t *txn) {
	sent := int64(-1)
	for _, h := range t.hops {
		if h.end == "done" {
			sent = h.sent
			break
		}
	}
	for _, p := range r.purges[e.Router] {
		if (p.object == t.object || p.object == "" && p.group == t.group) && sent > r.heard(e.Router, p.told)+r.figures.PurgeGrace && e.Issued < p.made {
			r.broken(5, e, "a copy of %.3f s, sent for %d ms after the purge of %.3f s was told", float64(e.Issued)/1e6,
				(sent-p.told)/ms, float64(p.made)/1e6)
			return
		}
	}
}

func (r *Referee) left(e *eventlog.Entry) {
	if t := r.txns[id{e.Router, e.Txn}]; t != nil && t.outcome == "" {
		t.left = true
		if t.excused || r.stood(e.Router, t.deadline) {
			r.Excused++
		} else {
			r.broken(1, e, "no answer before the client's time was over")
		}
		r.done = append(r.done, ended{id{e.Router, e.Txn}, e.At})
	}
}

func (r *Referee) list(e *eventlog.Entry) {
	r.listed[e.Server] = listing{e.State, max(e.Until, e.At) + r.figures.ToldBy}
}

func (r *Referee) tell(e *eventlog.Entry) {
	if r.told[e.Router] == nil {
		r.told[e.Router] = map[string]state{}
	}
	if old := r.told[e.Router][e.Server]; old.name != "active" && old.name != "" && e.State != "active" {
		return // told of its end already: the earlier time counts
	}
	r.told[e.Router][e.Server] = state{e.State, e.At}
}

// drained judges rule 3.
func (r *Referee) drained(e *eventlog.Entry, server, what string) {
	if server == "" {
		return
	}
	told, known := r.told[e.Router][server]
	l := r.listed[server]
	at, by := r.heard(e.Router, told.at), r.heard(e.Router, l.by)
	if s := r.stops[e.Router]; s.until == 0 && s.from > 0 {
		return // it stands still: what comes now went out before
	}
	switch {
	case known && told.name != "active" && e.At > at+r.figures.DrainGrace:
		r.broken(3, e, "%s %s %d ms after it was told that this is %s", what, server, (e.At-at)/ms, told.name)
	case l.state != "" && l.state != "active" && (!known || told.name == "active") && e.At > by+r.figures.DrainGrace:
		r.broken(3, e, "%s %s %d ms after it counts as told that this is %s", what, server, (e.At-by)/ms, l.state)
	}
}

func (r *Referee) tellPurge(e *eventlog.Entry) {
	const keep = 120 * second // longer than any copy is told to be good
	list := r.purges[e.Router]
	for len(list) > 0 && list[0].told < e.At-keep {
		list = list[1:]
	}
	r.purges[e.Router] = append(list, purge{e.Object, e.Group, e.Until, e.At})
}

// down frees a router of what it held.
func (r *Referee) down(e *eventlog.Entry) {
	for key, t := range r.txns {
		if key.router != e.Router {
			continue
		}
		delete(r.txns, key)
		if _, twice := r.lost[key]; !twice {
			r.lost[key] = t
			r.done = append(r.done, ended{key, e.At})
		}
	}
	delete(r.told, e.Router)
	delete(r.purges, e.Router)
	delete(r.stops, e.Router)
}

// up tells a router the list as it is.
func (r *Referee) up(e *eventlog.Entry) {
	r.told[e.Router] = map[string]state{}
	for server, l := range r.listed {
		r.told[e.Router][server] = state{l.state, e.At}
	}
}
