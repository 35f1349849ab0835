package rollout

import (
	"fmt"

	"quilldoor/internal/canary"
)

// lead is what the router that leads knows beside the register. A new one learns it
// anew; watching begins again with it.
type lead struct {
	term    uint64
	state   State // that is being decided
	decided State // that a majority holds
	known   bool  // something was decided in this term
	round   uint64
	sentAt  map[uint64]int64 // rounds, when they were sent
	seqAt   map[uint64]uint64
	acks    map[uint64]Set
	lease   int64
	beat    int64

	told    int64 // when a router was last told that it may go forward
	turning bool  // nobody is told any more, since all are to go back
	after   finding
	turnWhy string

	reports []heard
	watch   int64 // since when all of the stage have changed; 0: they have not
	judge   *canary.Analyzer
	fleet   []float64 // loss of worth of all routers together, by moments of this watch
	before  []float64 // of the one before; none: another led then
	moment  int64
	say     canary.Verdict
	why     string
}

// heard is what was heard of a router last.
type heard struct {
	at      int64 // 0: never
	r       Report
	since   int64 // when OnNew last became what it is
	counts  canary.Counts
	counted int64
	memory  float64 // of the old generation, when it changed
	drains  int     // it had been told of when the watch began
	purges  int
	starts  int
}

func newLead(n *Node, s State) *lead {
	l := &lead{term: n.term, state: s, decided: s, sentAt: map[uint64]int64{}, seqAt: map[uint64]uint64{}, acks: map[uint64]Set{}, reports: make([]heard, len(n.plan.Routers))}
	l.state.Seq++ // decided anew in this term, whatever it was
	for i := range l.reports {
		l.reports[i].at = n.now // who has never been heard counts from now
		l.reports[i].since = n.now
	}
	l.report(n.now, n.me, &n.report)
	return l
}

// holds tells whether a majority has answered lately enough.
func (l *lead) holds(now int64) bool { return l.known && now < l.lease }

// closed tells whether nobody is told to go forward any more: all are to go back, and
// that is not decided yet.
func (l *lead) closed() bool {
	return l.turning || l.state.Phase == PhaseRollingBack && l.decided.Phase != PhaseRollingBack
}

func (l *lead) report(now int64, at int, r *Report) {
	h := &l.reports[at]
	if r.Upgraded != h.r.Upgraded {
		h.since = now
		if r.Upgraded {
			h.memory, h.starts = h.r.MemoryMB, r.Restarts
		}
		h.counted = 0
	}
	h.at, h.r = now, *r
}

// tick sends the next round, and goes on once the last step is decided.
func (l *lead) tick(n *Node) {
	if l.holds(n.now) && l.decided.Seq == l.state.Seq {
		l.observe(n)
		next := l.step(n)
		if next.Seq != l.state.Seq {
			l.state, l.beat = next, 0
		}
	}
	if n.now-l.beat < beatEvery || l.term < n.PromisedTerm && !n.wrong.leadsOn {
		return // what was promised to another is kept
	}
	l.beat = n.now
	l.round++
	l.sentAt[l.round], l.seqAt[l.round], l.acks[l.round] = n.now, l.state.Seq, Set(nil).With(n.me)
	const keep = 16
	delete(l.sentAt, l.round-keep)
	delete(l.seqAt, l.round-keep)
	delete(l.acks, l.round-keep)
	n.Durable.AcceptedTerm, n.State = l.term, l.state
	n.stuck = n.now + stickFor
	s := l.state
	n.toAll(Message{Kind: KindAccept, Term: l.term, Round: l.round, State: &s})
	l.settle(n, l.round)
}

func (l *lead) accepted(n *Node, at int, m *Message) {
	if _, open := l.sentAt[m.Round]; !open || l.seqAt[m.Round] != m.Nonce {
		return
	}
	l.acks[m.Round] = l.acks[m.Round].With(at)
	l.settle(n, m.Round)
}

// settle takes a round that a majority has answered.
func (l *lead) settle(n *Node, round uint64) {
	if l.acks[round].Count() < n.majority() {
		return
	}
	l.lease = max(l.lease, l.sentAt[round]+leaseFor)
	if l.seqAt[round] == l.state.Seq && (!l.known || l.decided.Seq != l.state.Seq) {
		l.decided, l.known = l.state, true
		l.watch, l.judge = 0, nil
	}
	if l.known && !l.closed() { // who leads hears itself
		if l.decided.Batch.Has(n.me) && l.decided.Phase != PhaseRollingBack {
			l.told = n.now
		}
		n.view, n.viewAt = l.decided, max(n.viewAt, l.sentAt[round])
	}
}

// ---- What comes next ----

// row of the table: in a way, what is found, and where that leads.
type row struct {
	way   Phase
	found finding
	next  Phase
	do    func(*lead, *Node, *State)
}

// finding is what is found of the fleet, the first that fits.
type finding uint8

const (
	toldBack  finding = iota // by the operator
	toldHold                 //
	toldGo                   //
	toldStart                //
	harmed                   // a guard that needs no statistics
	arrived                  // one of the batch has changed, failed or is silent
	moving                   // the batch is on its way
	left                     // some of the stage have not changed
	worse                    // the judge says so
	good                     //
	unsure                   // the time is over, and the judge can't tell
	nothing
)

var stepTable = []row{
	{PhaseNone, toldStart, PhaseForward, (*lead).begin},
	{PhaseRolledBack, toldStart, PhaseForward, (*lead).begin},
	{PhaseDone, toldStart, PhaseForward, (*lead).begin},
	{PhaseForward, toldBack, PhaseRollingBack, (*lead).turn},
	{PhasePaused, toldBack, PhaseRollingBack, (*lead).turn},
	{PhaseDone, toldBack, PhaseRollingBack, (*lead).turn},
	{PhaseForward, toldHold, PhasePaused, nil},
	{PhasePaused, toldGo, PhaseForward, nil},
	{PhaseForward, harmed, PhaseRollingBack, (*lead).turn},
	{PhasePaused, harmed, PhaseRollingBack, (*lead).turn},
	{PhaseForward, arrived, PhaseForward, (*lead).arrive},
	{PhaseDone, arrived, PhaseDone, (*lead).arrive},
	{PhaseRollingBack, arrived, PhaseRollingBack, (*lead).arrive},
	{PhasePaused, arrived, PhasePaused, (*lead).arrive},
	{PhaseForward, left, PhaseForward, (*lead).batch},
	{PhaseDone, left, PhaseDone, (*lead).batch},
	{PhaseRollingBack, left, PhaseRollingBack, (*lead).batch},
	{PhaseForward, worse, PhaseRollingBack, (*lead).turn},
	{PhaseForward, unsure, PhasePaused, nil},
	{PhaseForward, good, PhaseForward, (*lead).pass},
	{PhaseRollingBack, good, PhaseRolledBack, nil},
}

// step works out the state that follows the decided one; the same Seq: nothing does.
func (l *lead) step(n *Node) State {
	s := l.decided
	found, why := l.after, l.turnWhy
	if !l.turning {
		found, why = l.find(n)
	}
	for _, r := range stepTable {
		if r.way != s.Phase || r.found != found {
			continue
		}
		next := s
		next.Phase = r.next
		if why != "" {
			next.Reason = why
		}
		if found == worse && n.plan.OnWorse == "hold" {
			next.Phase = PhasePaused
		} else if found == unsure && n.plan.OnInconclusive == "back" {
			next.Phase = PhaseRollingBack
			l.turn(n, &next)
		} else if r.do != nil {
			r.do(l, n, &next)
		}
		// Who was told forward a moment ago may still begin: that time is waited out.
		if next.Phase == PhaseRollingBack && s.Phase != PhaseRollingBack && n.now-l.told < actWithin*6/5 && !n.wrong.turnsAtOnce {
			l.turning, l.after, l.turnWhy = true, found, why
			return s
		}
		l.turning = false
		next.Seq++
		return next
	}
	return s
}

// find looks at the fleet.
func (l *lead) find(n *Node) (finding, string) {
	s := &l.decided
	if len(n.orders) > 0 {
		c := n.orders[0]
		n.orders = n.orders[1:]
		if f, known := map[Command]finding{CommandStart: toldStart, CommandPause: toldHold, CommandResume: toldGo, CommandRollBack: toldBack}[c]; known {
			return f, map[finding]string{toldHold: "held by the operator", toldBack: "turned back by the operator", toldGo: "gone on by the operator"}[f]
		}
	}
	if s.Phase == PhaseNone || s.Phase == PhaseRolledBack {
		return nothing, ""
	}
	silent := int64(n.plan.SilentSeconds * 1e6)
	both := l.brokenByOld(s)
	for i := range l.reports {
		h := &l.reports[i]
		name := n.plan.Routers[i].Name
		gone := n.now-h.at > silent
		fails := h.r.RunID == s.RunID && h.r.FailureReason != ""
		switch {
		case s.Phase == PhaseRollingBack || s.Phase == PhaseDone:
		case fails:
			return harmed, fmt.Sprintf("%s did not change, or went back by itself: %s", name, h.r.FailureReason)
		case s.Changed.Has(i) && h.r.Upgraded && h.r.Restarts > h.starts:
			return harmed, fmt.Sprintf("%s has died and was started again", name)
		case s.Changed.Has(i) && h.r.Upgraded && h.memory > 0 && h.r.MemoryMB > n.plan.Guardrails.MemoryRatio*h.memory+16:
			return harmed, fmt.Sprintf("%s takes %.0f MB, %.0f before", name, h.r.MemoryMB, h.memory)
		case s.Changed.Has(i) && h.r.Upgraded && h.r.ViolatedRules&^both != 0 && !n.wrong.trusts:
			return harmed, fmt.Sprintf("%s breaks %s", name, h.r.FirstViolation)
		case s.Batch.Has(i) && gone, s.Changed.Has(i) && gone && !s.Skipped.Has(i):
			return arrived, ""
		}
	}
	for i := range l.reports {
		if l.lost(n, s, i) || s.Batch.Has(i) && (l.there(s, i) || n.now-l.reports[i].at > silent) || s.Skipped.Has(i) && n.now-l.reports[i].at < second {
			return arrived, ""
		}
	}
	if s.Batch.Count() > 0 {
		return moving, ""
	}
	if s.Phase == PhasePaused {
		return nothing, ""
	}
	if l.next(n, s).Count() > 0 {
		return left, ""
	}
	if l.open(n, s) {
		return nothing, "" // some can't be asked to change yet
	}
	if s.Phase != PhaseForward {
		return good, ""
	}
	if l.watch == 0 {
		l.watch, l.judge, l.moment = n.now, canary.New(n.plan.CanarySettings(), len(n.plan.Stages)), n.now
		l.say, l.why, l.fleet = canary.VerdictInconclusive, "", nil
		for i := range l.reports {
			l.reports[i].drains, l.reports[i].purges = l.reports[i].r.DrainsSeen, l.reports[i].r.PurgesSeen
		}
		return nothing, ""
	}
	stage := &n.plan.Stages[s.Stage]
	// The last stage leaves nobody to compare with: guards are all there is.
	last := l.old(n, s) == 0
	over := n.now-l.watch > int64(stage.MaxWatchSeconds*1e6)
	untried := l.untried(n, s, stage)
	switch {
	case l.say == canary.VerdictWorse:
		return worse, l.why
	case n.now-l.watch < int64(stage.MinWatchSeconds*1e6):
	case l.say == canary.VerdictPass && untried == "":
		return good, l.why
	case over && last && untried == "" && l.fell(n) != "":
		return unsure, l.fell(n)
	case over && last && untried == "":
		return good, "nobody is left to compare with, no guard has struck"
	case over && untried != "":
		return unsure, "can't tell: " + untried
	case over:
		return unsure, "can't tell: " + l.why
	}
	return nothing, ""
}

// fell tells whether all routers together lose more since all have changed: a defect may
// show only then. That it began with the change proves nothing, so nobody turns back.
func (l *lead) fell(n *Node) string {
	if by, fell := canary.FleetRegressed(n.plan.CanarySettings(), len(n.plan.Stages), l.before, l.fleet); fell {
		return fmt.Sprintf("can't tell: all are new, and lose at least %.4f more than while some were old", by)
	}
	return ""
}

// untried tells what the stage wants its routers to have been told of, and one was not.
func (l *lead) untried(n *Node, s *State, stage *Stage) string {
	for i := range l.reports {
		h := &l.reports[i]
		if !s.Changed.Has(i) || s.Skipped.Has(i) {
			continue
		}
		if d, p := h.r.DrainsSeen-h.drains, h.r.PurgesSeen-h.purges; d < stage.MinDrains || p < stage.MinPurges {
			return fmt.Sprintf("%s was told of %d drains and %d purges, %d and %d are wanted", n.plan.Routers[i].Name, max(d, 0), max(p, 0), stage.MinDrains, stage.MinPurges)
		}
	}
	return ""
}

// brokenByOld are rules that some router breaks which still has the old generation: they
// are not the change's fault.
func (l *lead) brokenByOld(s *State) (rules uint8) {
	for i := range l.reports {
		if r := &l.reports[i].r; !s.Changed.Has(i) && !s.Batch.Has(i) && !r.Upgraded && !r.Changing {
			rules |= r.ViolatedRules
		}
	}
	return rules
}

// lost tells whether one that had changed is back at the old generation, as after a
// start from nothing: it changes once more.
func (l *lead) lost(n *Node, s *State, i int) bool {
	h := &l.reports[i]
	return s.Phase != PhaseRollingBack && s.Changed.Has(i) && n.now-h.at < second && !h.r.Upgraded && !h.r.Changing
}

// there tells whether one of the batch is what it shall be.
func (l *lead) there(s *State, i int) bool {
	r := &l.reports[i].r
	return !r.Changing && r.Upgraded == (s.Phase != PhaseRollingBack) && (r.RunID == s.RunID || s.Phase == PhaseRollingBack)
}

// old counts routers that still have the old generation, and are there.
func (l *lead) old(n *Node, s *State) (c int) {
	for i := range l.reports {
		if !s.Changed.Has(i) && !s.Skipped.Has(i) {
			c++
		}
	}
	return c
}

// due are who must change for the stage, or go back.
func (l *lead) due(n *Node, s *State) Set {
	if s.Phase == PhaseRollingBack {
		return s.Changed
	}
	stage := s.Stage
	if s.Phase == PhaseDone {
		stage = len(n.plan.Stages) - 1
	}
	return n.plan.ChangedThrough(stage)
}

// open tells whether somebody is still to change.
func (l *lead) open(n *Node, s *State) bool {
	due := l.due(n, s)
	for i := range l.reports {
		if due.Has(i) && !s.Skipped.Has(i) && s.Changed.Has(i) == (s.Phase == PhaseRollingBack) {
			return true
		}
	}
	return false
}

// next is the batch to come: so many of an office as the plan says, of those that are
// there, able and not on some way already.
func (l *lead) next(n *Node, s *State) (b Set) {
	most := n.plan.MaxConcurrent
	if s.Phase == PhaseRollingBack {
		most = n.plan.MaxConcurrentRollback
	}
	due := l.due(n, s)
	busy := map[string]int{}
	for i := range l.reports {
		if l.reports[i].r.Changing {
			busy[n.plan.Routers[i].Office]++
		}
	}
	for i := range l.reports {
		h, office := &l.reports[i], n.plan.Routers[i].Office
		fit := due.Has(i) && !s.Skipped.Has(i) && s.Changed.Has(i) == (s.Phase == PhaseRollingBack) && n.now-h.at < 2*second && !h.r.Changing &&
			(h.r.Capable || s.Phase == PhaseRollingBack)
		if fit && busy[office] < most {
			b = b.With(i)
			busy[office]++
		}
	}
	return b
}

func (l *lead) begin(n *Node, s *State) {
	*s = State{Seq: s.Seq, Plan: n.plan.Digest, Phase: PhaseForward, RunID: n.dice.Uint64() | 1}
	l.watch = 0
}

// turn sends all that have changed, or may be changing, back.
func (l *lead) turn(n *Node, s *State) {
	for i := range l.reports {
		if s.Batch.Has(i) {
			s.Changed = s.Changed.With(i)
		}
	}
	s.Batch = nil
}

func (l *lead) batch(n *Node, s *State) { s.Batch = l.next(n, s) }

// pass goes on to the next stage, or ends.
func (l *lead) pass(n *Node, s *State) {
	l.before = l.fleet
	if s.Stage+1 >= len(n.plan.Stages) {
		s.Phase = PhaseDone
		return
	}
	s.Stage++
}

// arrive takes who has changed out of the batch, and passes over who is silent.
func (l *lead) arrive(n *Node, s *State) {
	silent := int64(n.plan.SilentSeconds * 1e6)
	for i := range l.reports {
		gone := n.now-l.reports[i].at > silent
		switch {
		case s.Skipped.Has(i) && n.now-l.reports[i].at < second: // it is back
			s.Skipped = s.Skipped.Without(i)
			if l.reports[i].r.Upgraded && l.reports[i].r.RunID == s.RunID {
				s.Changed = s.Changed.With(i)
			} else {
				s.Changed = s.Changed.Without(i)
			}
		case s.Batch.Has(i) && gone, s.Changed.Has(i) && gone:
			s.Batch, s.Skipped = s.Batch.Without(i), s.Skipped.With(i)
		case l.lost(n, &l.decided, i):
			s.Changed = s.Changed.Without(i)
		case s.Batch.Has(i) && l.there(&l.decided, i):
			s.Batch = s.Batch.Without(i)
			if s.Phase == PhaseRollingBack {
				s.Changed = s.Changed.Without(i)
			} else {
				s.Changed = s.Changed.With(i)
			}
		}
	}
}

// observe hands the judge what routers have done since it was last asked, while the
// stage is watched.
func (l *lead) observe(n *Node) {
	if l.judge == nil || l.watch == 0 || n.now-l.moment < second {
		return
	}
	l.moment = n.now
	var all canary.Counts
	for i := range l.reports {
		h := &l.reports[i]
		if n.now-h.at > 2*second || h.r.Changing || n.now-h.since < l.judge.SkipMicros() {
			h.counted = 0
			continue
		}
		c := h.r.Counts.Minus(h.counts)
		if h.counted > 0 && c.Requests >= 0 {
			l.judge.Observe(n.plan.Routers[i].Office, h.r.Upgraded, c)
			all.Requests, all.WeightOffered, all.WeightEarned = all.Requests+c.Requests, all.WeightOffered+c.WeightOffered, all.WeightEarned+c.WeightEarned
		}
		h.counts, h.counted = h.r.Counts, n.now
	}
	set := n.plan.CanarySettings()
	const mostFleet = 20_000
	if loss, enough := set.LossOf(all); enough && len(l.fleet) < mostFleet {
		l.fleet = append(l.fleet, loss)
	}
	l.judge.EndSample()
	l.say, l.why = l.judge.Verdict()
}
