// Package invariant decides whether a process of a router was seen to break a rule: by
// what that process tells of its hops and answers (acts.go), and by what the notice
// board has told somebody else. A program that is deaf to drains or purges, or greedy
// with cold servers, loses no worth by that and does not know it; the keeper beside it,
// which a change leaves as it is, can. No I/O and no clock: times are whole microseconds
// of the machine's Unix time, which both sides of it share.
package invariant

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quilldoor/internal/policy"
)

const ms, second = int64(1000), int64(1_000_000)

// Settings are the figures of the rules.
type Settings struct {
	DrainGraceMicros, PurgeGraceMicros int64
	WindowMicros                       int64 // of cold servers' budgets
	SlowStart                          map[string]SlowStartBudget
}

// SlowStartBudget is the budget of servers of a kind.
type SlowStartBudget struct {
	From, Multiple float64
	DurationMicros int64
	Routers        float64 // that share it
}

// SettingsFrom takes them from a router's.
func SettingsFrom(set *policy.Settings) Settings {
	c, f := &set.Contract, &set.Hierarchy
	s := Settings{DrainGraceMicros: c.DrainGrace, PurgeGraceMicros: f.PurgeGrace, WindowMicros: c.OverloadWindow, SlowStart: map[string]SlowStartBudget{}}
	near := max(set.Routers, 1)
	if i := slices.Index(set.Zones, set.Zone); i >= 0 && i < len(f.RoutersByZone) && f.RoutersByZone[i] > 0 {
		near = f.RoutersByZone[i]
	}
	for i, kind := range set.EndpointKinds {
		switch i {
		case f.OriginKind:
		case f.ParentKind:
			s.SlowStart[kind] = SlowStartBudget{f.ParentSlowStartFrom, f.ParentOverloadMultiple, f.ParentSlowStartFor, float64(max(set.Routers, 1))}
		default:
			s.SlowStart[kind] = SlowStartBudget{c.SlowStartFrom, c.OverloadMultiple, c.SlowStartFor, float64(near)}
		}
	}
	return s
}

// Rule is one of the five, by its number in the operators' list.
type Rule uint8

// Rules that can be seen from beside a router.
const (
	RuleDuplicate  Rule = 2 // a hop of an unrepeatable txn beside one that may have run
	RuleDrained    Rule = 3 // a hop to, or from, a server that was told to be out
	RuleOverBudget Rule = 4 // more to a cold server than this router's part of its budget
	RuleStale      Rule = 5 // an answer older than a purge
	rules          Rule = 6
)

var ruleNames = [rules]string{2: "an unrepeatable txn sent twice", 3: "sent to servers that drain or have gone", 4: "cold servers' budgets overspent", 5: "answers older than a purge"}

func (r Rule) String() string { return fmt.Sprintf("rule %d, %s", uint8(r), ruleNames[r]) }

// Bounds and waits.
const (
	// lateBy is how much later than the witness a process may hear of the same news:
	// two followers of one board, of which one gives a poll that hangs up after a second
	// and a half, and tries anew within a quarter.
	lateBy = 2 * second
	// waits is how long acts wait until they are judged, so that news which the process
	// had first has come here as well.
	waits = second
	// A process whose way to the board hangs is told 7 seconds late at the most
	// (PROTOCOL.md): it breaks rules for that long, and no longer. What goes on for
	// longer is the program's fault.
	hangs = 7 * second
	// leastBreaks of that are proof; an effect twice is, by itself.
	leastBreaks = 3
	// remember is how long a break counts.
	remember = 60 * second
	// keepGone and keepPurge are how long news is kept: copies are older than a purge
	// for as long as caches and disks may have them.
	keepGone, keepPurge = 120 * second, 120 * second
	mostServers         = 8192
	mostPurges          = 4096
	mostWaiting         = 128 // words of a process; a dozen come in a second
	mostProcesses       = 64
	mostTimes           = 256 // of breaks, by rule and process
)

// server is what was told of one.
type server struct {
	kind   string
	weight float64
	born   int64 // 0: long past
	out    int64 // when it was told to be draining or gone; 0: it may be used
	gone   bool
	spent  []spend
}

type spend struct {
	at   int64
	work float64
}

type purge struct {
	object     uint64 // 0: a group
	group      int64
	made, told int64
}

func (u *purge) covers(x *Response) bool {
	if u.object != 0 {
		return u.object == x.Object
	}
	return u.group == x.Group
}

// process is one that acts.
type process struct {
	waiting []held
	breaks  [rules][]int64 // when
	last    [rules]string
}

type held struct {
	at int64
	a  *Activity
}

// Monitor is the witness.
type Monitor struct {
	set       Settings
	servers   map[string]*server
	purges    []purge
	blind     bool
	sees      int64 // since when, again
	processes map[uint64]*process
	wrong     wrong

	drains, purged int // told of, ever
	Dropped        int // acts that found no room, here or there
}

// wrong switches guards off. Only tests set it.
type wrong struct {
	atOnce   bool // acts are judged as they come
	noHang   bool // a way that hangs counts as deafness
	seesAll  bool // what was told before the board was lost counts while it is
	byTheWay bool // work counts when its word comes, not when it was sent
}

// New witness, before the first news.
func New(set Settings) *Monitor {
	return &Monitor{set: set, servers: map[string]*server{}, processes: map[uint64]*process{}}
}

// EndpointsChanged takes changes of the list of servers, or a whole one.
func (j *Monitor) EndpointsChanged(now int64, whole bool, list []policy.Endpoint) {
	named := map[string]bool{}
	for _, e := range list {
		named[e.ID] = true
		s := j.servers[e.ID]
		if s == nil {
			if len(j.servers) >= mostServers {
				j.Dropped++
				continue
			}
			s = &server{}
			j.servers[e.ID] = s
		}
		if s.kind, s.weight = e.Kind, e.Weight; e.StartedAt != s.born {
			s.born, s.spent = e.StartedAt, nil
		}
		if e.State != policy.EndpointActive && s.out == 0 {
			j.drains++
		}
		s.told(now, e.State != policy.EndpointActive, e.State == policy.EndpointGone)
	}
	for id, s := range j.servers {
		if whole && !named[id] {
			s.told(now, true, true)
		}
		if s.gone && now-s.out > keepGone {
			delete(j.servers, id)
		}
	}
}

func (s *server) told(now int64, out, gone bool) {
	if s.gone = gone; !out {
		s.out = 0
	} else if s.out == 0 {
		s.out = now
	}
}

// Purged takes a purge of an object, or of a group where that is "".
func (j *Monitor) Purged(now int64, object string, group, made int64) {
	p := purge{group: group, made: made, told: now}
	if object != "" {
		p.object = hash(object)
	}
	for len(j.purges) > 0 && (now-j.purges[0].told > keepPurge || len(j.purges) >= mostPurges) {
		j.purges = j.purges[1:]
	}
	j.purges = append(j.purges, p)
	j.purged++
}

// EventCounts is how many servers were told to drain or to be gone, and how many purges there
// were.
func (j *Monitor) EventCounts() (drains, purges int) { return j.drains, j.purged }

func hash(object string) uint64 { return max(xxhash.Sum64String(object), 1) }

// SetBlind says that the board can't be reached, or is followed again. A server that came
// back meanwhile is not known to have: nothing is said of drains until some time after.
func (j *Monitor) SetBlind(now int64, on bool) {
	if j.blind && !on {
		j.sees = now + lateBy
	}
	j.blind = on
}

// ClockJumped says that the system's clock was moved by so much: times of before are moved
// along, and what acts say across the jump is not judged.
func (j *Monitor) ClockJumped(now, by int64) {
	for _, s := range j.servers {
		if s.out != 0 {
			s.out += by
		}
		s.spent = nil
	}
	for i := range j.purges {
		j.purges[i].told += by
	}
	for _, p := range j.processes {
		p.waiting = nil
		for r := range p.breaks {
			for i := range p.breaks[r] {
				p.breaks[r][i] += by
			}
		}
	}
	j.sees = now + lateBy
}

// Observe takes a word of a process.
func (j *Monitor) Observe(now int64, of uint64, a *Activity) {
	p := j.processes[of]
	if p == nil {
		if len(j.processes) >= mostProcesses {
			j.Dropped++
			return
		}
		p = &process{}
		j.processes[of] = p
	}
	if j.Dropped += a.Dropped; len(p.waiting) >= mostWaiting {
		p.waiting = p.waiting[1:]
		j.Dropped++
	}
	p.waiting = append(p.waiting, held{now, a})
	j.spend(now, p, a)
}

// ProcessEnded forgets a process.
func (j *Monitor) ProcessEnded(of uint64) { delete(j.processes, of) }

// Tick judges what has waited long enough. It wants to be called some ten times a second.
func (j *Monitor) Tick(now int64) {
	for _, p := range j.processes {
		for len(p.waiting) > 0 && (now-p.waiting[0].at >= waits || j.wrong.atOnce) {
			a := p.waiting[0].a
			p.waiting = p.waiting[1:]
			j.judge(now, p, a)
		}
		for r := range p.breaks {
			for len(p.breaks[r]) > 0 && now-p.breaks[r][0] > remember {
				p.breaks[r] = p.breaks[r][1:]
			}
		}
	}
}

func (j *Monitor) judge(now int64, p *process, a *Activity) {
	for range a.DuplicateAttempts {
		p.broke(RuleDuplicate, now, "a hop beside one that may have run")
	}
	for i := range a.Endpoints {
		x := &a.Endpoints[i]
		s := j.servers[x.Endpoint]
		if s == nil || s.out == 0 || (j.blind || now < j.sees) && !j.wrong.seesAll {
			continue
		}
		what := "sent to"
		at := x.LastSentMicros
		if x.LastSourcedMicros > at {
			what, at = "filled from", x.LastSourcedMicros
		}
		if past := at - s.out; past > j.set.DrainGraceMicros+lateBy {
			p.broke(RuleDrained, at, fmt.Sprintf("%s %s %d ms after it was told to be out", what, x.Endpoint, past/ms))
		}
	}
	for i := range a.Responses {
		x := &a.Responses[i]
		for _, u := range j.purges {
			if past := x.SentMicros - u.told; u.covers(x) && x.IssuedMicros < u.made && past > j.set.PurgeGraceMicros+lateBy {
				p.broke(RuleStale, x.SentMicros, fmt.Sprintf("a copy %d ms older than a purge, asked for %d ms after that was told", (u.made-x.IssuedMicros)/ms, past/ms))
				break
			}
		}
	}
}

// spend adds what was sent to cold servers by all processes of this router. The time is
// that of the hops: words may come late, and together.
func (j *Monitor) spend(now int64, p *process, a *Activity) {
	for i := range a.Endpoints {
		x := &a.Endpoints[i]
		s := j.servers[x.Endpoint]
		if s == nil || s.born == 0 || x.WorkMicros == 0 {
			continue
		}
		c, known := j.set.SlowStart[s.kind]
		at := max(x.LastSentMicros, x.LastSourcedMicros)
		if j.wrong.byTheWay {
			at = now
		}
		age := at - s.born
		if !known || age >= c.DurationMicros || age < 0 {
			s.spent = nil
			continue
		}
		s.spent = slices.DeleteFunc(s.spent, func(y spend) bool { return y.at <= at-j.set.WindowMicros })
		if s.spent = append(s.spent, spend{at, x.WorkMicros}); len(s.spent) > 4*mostWaiting {
			s.spent = s.spent[1:]
		}
		sum := 0.0
		for _, y := range s.spent {
			if y.at <= at {
				sum += y.work
			}
		}
		able := c.From + (1-c.From)*float64(age)/float64(max(c.DurationMicros, 1))
		if most := c.Multiple * able * s.weight * float64(j.set.WindowMicros) / max(c.Routers, 1); sum > most && sum > x.WorkMicros {
			p.broke(RuleOverBudget, at, fmt.Sprintf("%s was sent %.2f s of work within the window, %.2f is this router's part", x.Endpoint, sum/1e6, most/1e6))
		}
	}
}

func (p *process) broke(r Rule, at int64, text string) {
	if p.breaks[r] = append(p.breaks[r], at); len(p.breaks[r]) > mostTimes { // the first stays: it tells how long it goes on
		p.breaks[r] = append(p.breaks[r][:1], p.breaks[r][2:]...)
	}
	p.last[r] = text
}

// Violations is what a process was seen to break.
type Violations struct {
	Rules uint8  // a bit each, from the lowest: 1<<Rule
	Text  string // of the first
}

// Violations tells what is proven of a process within the last minute.
func (j *Monitor) Violations(of uint64) (s Violations) {
	p := j.processes[of]
	if p == nil {
		return s
	}
	for r := RuleDuplicate; r < rules; r++ {
		b := p.breaks[r]
		proven := false
		switch r {
		case RuleDuplicate:
			proven = len(b) > 0
		case RuleOverBudget:
			proven = len(b) >= leastBreaks
		default:
			proven = len(b) >= leastBreaks && (b[len(b)-1]-b[0] >= hangs || j.wrong.noHang)
		}
		if !proven {
			continue
		}
		if s.Rules |= 1 << r; s.Text == "" {
			s.Text = fmt.Sprintf("%v: %d times in %.1f s, last: %s", r, len(b), float64(b[len(b)-1]-b[0])/1e6, p.last[r])
		}
	}
	return s
}
