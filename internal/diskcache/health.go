package diskcache

// Health is the state of the disk, which decides what it is used for.
type Health uint8

// The states of health.
const (
	HealthOn       Health = 1 << iota // reads and writes
	HealthFull                        // no space: reads continue, writes are retried after fullDiskRetryInterval
	HealthReadOnly                    // a write or sync failed: records on disk may still be read
	HealthOff                         // neither reads nor writes
)

// String returns the state's name in logs and metrics: on, full, reads only or off.
func (h Health) String() string {
	switch h {
	case HealthOn:
		return "on"
	case HealthFull:
		return "full"
	case HealthReadOnly:
		return "reads only"
	case HealthOff:
		return "off"
	}
	return ""
}

// Event is an occurrence that may change the Health.
type Event uint8

// The events.
const (
	EventWriteFailed      Event = iota // a write or sync failed: the state of the kernel's page cache is unknown
	EventNoSpace                       // the file system is full
	EventReadFailed                    // a record could not be read, or was corrupt
	EventManyReadFailures              // raised by the eighth EventReadFailed within 60 s: the disk is no longer used
	EventRetryDue                      // raised by Sweep and Offer 30 s after EventNoSpace: writes are retried
	EventClosed                        // the disk cache is closed
)

// healthTransitions lists the changes of health by events. After a failed sync the kernel
// may mark pages as clean that never reached the disk (Rebello et al., "Can Applications
// Recover from fsync Failures?", USENIX ATC 2020), so writes are not retried before a
// restart. After a lack of space they are.
var healthTransitions = []struct {
	from  Health // one or more states
	event Event
	to    Health
}{
	{HealthOn, EventNoSpace, HealthFull},
	{HealthFull, EventRetryDue, HealthOn},
	{HealthFull, EventNoSpace, HealthFull},
	{HealthOn | HealthFull, EventWriteFailed, HealthReadOnly},
	{HealthOn | HealthFull | HealthReadOnly, EventManyReadFailures, HealthOff},
	{HealthOn | HealthFull | HealthReadOnly, EventClosed, HealthOff},
}

const (
	maxReadFailures       = 8           // within readFailureWindow; so many mean a failing disk rather than one bad sector
	readFailureWindow     = 60 * second // microseconds
	fullDiskRetryInterval = 30 * second // microseconds
)

// HandleEvent applies an event. It returns the resulting health and whether it has changed.
// An event without a transition from the current health changes nothing.
func (p *Policy) HandleEvent(now int64, event Event) (Health, bool) {
	if event == EventReadFailed {
		if !p.countReadFailure(now) {
			return p.health, false
		}
		event = EventManyReadFailures
	}
	for _, transition := range healthTransitions {
		if transition.from&p.health == 0 || transition.event != event {
			continue
		}
		changed := p.health != transition.to
		p.health = transition.to
		if p.health == HealthFull {
			p.retryAt = now + fullDiskRetryInterval
		}
		return p.health, changed
	}
	return p.health, false
}

// countReadFailure reports whether the window holds maxReadFailures or more failures.
func (p *Policy) countReadFailure(now int64) bool {
	p.Counts.ReadFailures++
	if now-p.readFailuresSince > readFailureWindow || now < p.readFailuresSince {
		p.readFailures = 0
		p.readFailuresSince = now
	}
	p.readFailures++
	return p.readFailures >= maxReadFailures
}

func (p *Policy) retryFullDisk(now int64) {
	if p.health == HealthFull && now >= p.retryAt {
		p.HandleEvent(now, EventRetryDue)
	}
}

// Health returns the current state of the disk.
func (p *Policy) Health() Health { return p.health }
