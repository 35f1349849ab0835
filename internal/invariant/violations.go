package invariant

import "fmt"

// violationLog holds the violations of one rule by one process.
type violationLog struct {
	times    []int64 // in the order in which they were added
	lastText string
}

// add records a violation. Beyond maxViolationTimes it keeps the first time, which shows
// how long the violations have gone on, and the latest ones.
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

// shift moves all times after the clock has jumped.
func (l *violationLog) shift(by int64) {
	for i := range l.times {
		l.times[i] += by
	}
}

// duration returns the time from the first to the last violation. The log must not be
// empty.
func (l *violationLog) duration() int64 { return l.times[len(l.times)-1] - l.times[0] }

// Violations are the rules that a process is proven to have violated within the last
// minute. RuleDuplicate takes a single violation, the other rules at least three; those of
// RuleDrained and RuleStale must also span 7 s or more.
type Violations struct {
	Rules uint8  // one bit for each, 1<<Rule
	Text  string // describes the first rule
}

// Violations returns the rules that a process is proven to have violated within the last
// minute.
func (m *Monitor) Violations(processID uint64) (violations Violations) {
	p := m.processes[processID]
	if p == nil {
		return violations
	}
	for rule := RuleDuplicate; rule < ruleCount; rule++ {
		log := &p.violations[rule]
		if !m.proven(rule, log) {
			continue
		}
		violations.Rules |= 1 << rule
		if violations.Text == "" {
			violations.Text = fmt.Sprintf("%v: %d times in %.1f s, last: %s",
				rule, len(log.times), float64(log.duration())/1e6, log.lastText)
		}
	}
	return violations
}

// proven reports whether violations of a rule show a fault of the program rather than a
// delay of discovery.
func (m *Monitor) proven(rule Rule, log *violationLog) bool {
	switch rule {
	case RuleDuplicate:
		return len(log.times) > 0
	case RuleOverBudget:
		return len(log.times) >= minViolations
	default:
		return len(log.times) >= minViolations && m.checks.outlastsStall(log.duration())
	}
}
