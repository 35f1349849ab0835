package invariant

import "fmt"

// violationLog has the violations of a rule by a process.
type violationLog struct {
	times    []int64 // by arrival
	lastText string
}

// add keeps the first time, which shows how long violations go on, and the latest ones.
func (l *violationLog) add(at int64, text string) {
	l.times = append(l.times, at)
	if len(l.times) > maxViolationTimes {
		l.times = append(l.times[:1], l.times[2:]...)
	}
	l.lastText = text
}

func (l *violationLog) expire(now int64) {
	for len(l.times) > 0 && now-l.times[0] > violationTTL {
		l.times = l.times[1:]
	}
}

// shift moves all times after a jump of the clock.
func (l *violationLog) shift(by int64) {
	for i := range l.times {
		l.times[i] += by
	}
}

// duration is the time from the first to the last violation. There must be one.
func (l *violationLog) duration() int64 { return l.times[len(l.times)-1] - l.times[0] }

// Violations are those proven of a process: at least three of a rule within the last
// minute, of RuleDrained and RuleStale over 7 s or more, of RuleDuplicate a single one.
type Violations struct {
	Rules uint8  // one bit for each, 1<<Rule
	Text  string // describes the first rule
}

// Violations returns what is proven of a process within the last minute.
func (m *Monitor) Violations(processID uint64) (v Violations) {
	p := m.processes[processID]
	if p == nil {
		return v
	}
	for r := RuleDuplicate; r < ruleCount; r++ {
		l := &p.violations[r]
		if !m.proven(r, l) {
			continue
		}
		v.Rules |= 1 << r
		if v.Text == "" {
			v.Text = fmt.Sprintf("%v: %d times in %.1f s, last: %s", r, len(l.times), float64(l.duration())/1e6, l.lastText)
		}
	}
	return v
}

// proven reports whether violations of a rule show a fault of the program, and no delay
// of discovery.
func (m *Monitor) proven(r Rule, l *violationLog) bool {
	switch r {
	case RuleDuplicate:
		return len(l.times) > 0
	case RuleOverBudget:
		return len(l.times) >= minViolations
	default:
		return len(l.times) >= minViolations && m.checks.outlastsStall(l.duration())
	}
}
