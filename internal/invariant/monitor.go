package invariant

import "fmt"

// Monitor compares the activity of a router's processes with what discovery has said.
type Monitor struct {
	settings Settings
	checks   safetyChecks

	// What discovery has said (discovery.go).
	endpoints    map[string]*endpoint
	purges       []purge // by time
	disconnected bool
	drainsFrom   int64 // drains are judged again from then on
	drainsSeen   int
	purgesSeen   int

	processes map[uint64]*process

	Dropped int // activities and records that did not fit, here or in the processes
}

// process is one that reports its activity.
type process struct {
	pending    []pendingActivity
	violations [ruleCount]violationLog
}

type pendingActivity struct {
	receivedAt int64
	activity   *Activity
}

// New returns a monitor that knows nothing yet.
func New(settings Settings) *Monitor {
	return &Monitor{
		settings:  settings,
		checks:    defaultSafetyChecks(),
		endpoints: map[string]*endpoint{},
		processes: map[uint64]*process{},
	}
}

// Observe takes the report of a process, by an identifier of the caller's. It is judged
// by a later Tick.
func (m *Monitor) Observe(now int64, processID uint64, activity *Activity) {
	p := m.processes[processID]
	if p == nil {
		if len(m.processes) >= maxProcesses {
			m.Dropped++
			return
		}
		p = &process{}
		m.processes[processID] = p
	}
	m.Dropped += activity.Dropped
	if len(p.pending) >= maxPending {
		p.pending = p.pending[1:]
		m.Dropped++
	}
	p.pending = append(p.pending, pendingActivity{now, activity})
	// The endpoint's own age decides, which is known from the first: nothing to wait for.
	for i := range activity.Endpoints {
		m.checkBudget(now, p, &activity.Endpoints[i])
	}
}

// ProcessEnded forgets a process.
func (m *Monitor) ProcessEnded(processID uint64) { delete(m.processes, processID) }

// Tick checks activity that has settled. Call it some ten times a second.
func (m *Monitor) Tick(now int64) {
	for _, p := range m.processes {
		for len(p.pending) > 0 && m.checks.settled(now-p.pending[0].receivedAt) {
			a := p.pending[0].activity
			p.pending = p.pending[1:]
			m.check(now, p, a)
		}
		for r := range p.violations {
			p.violations[r].expire(now)
		}
	}
}

func (m *Monitor) check(now int64, p *process, a *Activity) {
	for range a.DuplicateAttempts {
		p.violations[RuleDuplicate].add(now, "an attempt beside one that may have been executed")
	}
	for i := range a.Endpoints {
		m.checkDrained(now, p, &a.Endpoints[i])
	}
	for i := range a.Responses {
		m.checkStale(p, &a.Responses[i])
	}
}

// checkDrained looks for use of an endpoint long after it began to drain or went.
func (m *Monitor) checkDrained(now int64, p *process, use *EndpointUse) {
	e := m.endpoints[use.Endpoint]
	if e == nil || e.outSince == 0 || !m.checks.drainsKnown(m.disconnected, now, m.drainsFrom) {
		return
	}
	action, at := "sent to", use.LastSentMicros
	if use.LastSourcedMicros > at {
		action, at = "filled from", use.LastSourcedMicros
	}
	if late := at - e.outSince; late > m.settings.DrainGraceMicros+maxDiscoverySkew {
		p.violations[RuleDrained].add(at,
			fmt.Sprintf("%s %s %d ms after it began to drain or had gone", action, use.Endpoint, late/millisecond))
	}
}

// checkStale looks for a copy older than a purge that was known long before the attempt.
func (m *Monitor) checkStale(p *process, r *Response) {
	for i := range m.purges {
		purge := &m.purges[i]
		late := r.SentMicros - purge.receivedAt
		if purge.covers(r) && r.IssuedMicros < purge.issuedAt && late > m.settings.PurgeGraceMicros+maxDiscoverySkew {
			p.violations[RuleStale].add(r.SentMicros,
				fmt.Sprintf("a copy %d ms older than a purge, requested %d ms after that was known",
					(purge.issuedAt-r.IssuedMicros)/millisecond, late/millisecond))
			return
		}
	}
}

// checkBudget adds the work that all processes of this router have sent to an endpoint in
// slow start. One attempt alone may exceed the allowance.
func (m *Monitor) checkBudget(now int64, p *process, use *EndpointUse) {
	e := m.endpoints[use.Endpoint]
	if e == nil || e.startedAt == 0 || use.WorkMicros == 0 {
		return
	}
	budget, known := m.settings.SlowStart[e.kind]
	at := m.checks.workTime(max(use.LastSentMicros, use.LastSourcedMicros), now)
	age := at - e.startedAt
	if !known || age >= budget.DurationMicros || age < 0 {
		e.work = nil
		return
	}
	total := e.addWork(workRecord{at, use.WorkMicros}, m.settings.WindowMicros)
	allowed := budget.allowance(age, e.weight, m.settings.WindowMicros)
	if total > allowed && total > use.WorkMicros {
		p.violations[RuleOverBudget].add(at,
			fmt.Sprintf("%s was sent %.2f s of work within the window, this router's share is %.2f s",
				use.Endpoint, total/1e6, allowed/1e6))
	}
}
