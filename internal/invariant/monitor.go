package invariant

import "fmt"

// Monitor compares the activity of a router's processes with the endpoint list and the
// purges received from discovery.
type Monitor struct {
	settings Settings
	checks   safetyChecks

	// State received from discovery (discovery.go).
	endpoints       map[string]*endpoint
	purges          []purge // in the order in which they were received
	disconnected    bool
	checkDrainsFrom int64 // drains are not checked before this time
	drainsSeen      int
	purgesSeen      int

	processes map[uint64]*process

	Dropped int // entries, reports and records that exceeded a bound, here or in the processes
}

// process is a process that reports its activity.
type process struct {
	pending    []pendingActivity
	violations [ruleCount]violationLog
}

type pendingActivity struct {
	receivedAt int64
	activity   *Activity
}

// New returns a monitor without endpoints, purges or processes.
func New(settings Settings) *Monitor {
	return &Monitor{
		settings:  settings,
		checks:    defaultSafetyChecks(),
		endpoints: map[string]*endpoint{},
		processes: map[uint64]*process{},
	}
}

// Observe adds the report of a process, under an identifier that the caller chooses. It
// checks slow-start budgets; a later Tick checks the other rules.
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
	// A budget depends on the endpoint's age, which its first entry in the endpoint list
	// holds, so this check needs no settle delay.
	for i := range activity.Endpoints {
		m.checkBudget(now, p, &activity.Endpoints[i])
	}
}

// ProcessEnded discards the state of a process.
func (m *Monitor) ProcessEnded(processID uint64) { delete(m.processes, processID) }

// Tick checks the reports that have waited for settleDelay, and expires old violations.
// The caller calls it about ten times per second.
func (m *Monitor) Tick(now int64) {
	for _, p := range m.processes {
		for len(p.pending) > 0 && m.checks.settled(now-p.pending[0].receivedAt) {
			activity := p.pending[0].activity
			p.pending = p.pending[1:]
			m.check(now, p, activity)
		}
		for r := range p.violations {
			p.violations[r].expire(now)
		}
	}
}

func (m *Monitor) check(now int64, p *process, activity *Activity) {
	for range activity.DuplicateAttempts {
		p.violations[RuleDuplicate].add(now, "an attempt beside one that may have been executed")
	}
	for i := range activity.Endpoints {
		m.checkDrained(now, p, &activity.Endpoints[i])
	}
	for i := range activity.Responses {
		m.checkStale(p, &activity.Responses[i])
	}
}

// checkDrained adds a violation if an endpoint was used after its drain or removal, past
// the grace period and the skew of discovery.
func (m *Monitor) checkDrained(now int64, p *process, use *EndpointUse) {
	e := m.endpoints[use.Endpoint]
	if e == nil || e.unusableSince == 0 || !m.checks.drainsKnown(m.disconnected, now, m.checkDrainsFrom) {
		return
	}
	action, at := "sent to", use.LastSentMicros
	if use.LastSourcedMicros > at {
		action, at = "filled from", use.LastSourcedMicros
	}
	if delay := at - e.unusableSince; delay > m.settings.DrainGraceMicros+maxDiscoverySkew {
		p.violations[RuleDrained].add(at,
			fmt.Sprintf("%s %s %d ms after it began to drain or was removed", action, use.Endpoint, delay/millisecond))
	}
}

// checkStale adds a violation if a copy is older than a purge, and its attempt was sent
// after the purge, past the grace period and the skew of discovery.
func (m *Monitor) checkStale(p *process, response *Response) {
	for i := range m.purges {
		purge := &m.purges[i]
		delay := response.SentMicros - purge.receivedAt
		if purge.covers(response) && response.IssuedMicros < purge.issuedAt &&
			delay > m.settings.PurgeGraceMicros+maxDiscoverySkew {
			p.violations[RuleStale].add(response.SentMicros,
				fmt.Sprintf("a copy %d ms older than a purge, requested %d ms after the purge was received",
					(purge.issuedAt-response.IssuedMicros)/millisecond, delay/millisecond))
			return
		}
	}
}

// checkBudget adds the work of a report to that of all processes of this router for an
// endpoint in slow start, and adds a violation if the sum exceeds the allowance. The work
// of one report alone may exceed it, since it may be a single attempt.
func (m *Monitor) checkBudget(now int64, p *process, use *EndpointUse) {
	e := m.endpoints[use.Endpoint]
	if e == nil || e.startedAt == 0 || use.WorkMicros == 0 {
		return
	}
	budget, hasSlowStart := m.settings.SlowStart[e.kind]
	at := m.checks.workTime(max(use.LastSentMicros, use.LastSourcedMicros), now)
	age := at - e.startedAt
	if !hasSlowStart || age >= budget.DurationMicros || age < 0 {
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
