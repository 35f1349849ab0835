package diskcache

// Health is what the disk can be used for.
type Health uint8

// The states of health.
const (
	HealthOn       Health = 1 << iota // for all
	HealthFull                        // no space: reads go on, writes are retried after a while
	HealthReadOnly                    // a write or sync failed: what is there may still be read
	HealthOff                         // the disk is not used any more
)

// String returns the state's name in logs and reports: on, full, reads only or off.
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

// Event is what the disk's side has to tell the Policy.
type Event uint8

// The events.
const (
	EventWriteFailed      Event = iota // a write or sync failed: what the kernel still holds is unknown
	EventNoSpace                       // the file system is full
	EventReadFailed                    // a record could not be read, or was corrupt
	EventManyReadFailures              // made of the eighth EventReadFailed within 60 s: the disk is used no more
	EventRetryDue                      // made by Sweep and Offer 30 s after EventNoSpace: writes are tried again
	EventClosed                        // the router ends
)

// healthTransitions says what an event makes of the health. After a failed sync the same
// pages may count as clean though they never reached the disk (Rebello et al., "Can
// Applications Recover from fsync Failures?", USENIX ATC 2020), so that writing is not
// retried before a restart; a full disk does recover.
var healthTransitions = []struct {
	from  Health // any of these
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
	maxReadFailures       = 8           // within readFailureWindow: a failing disk, not one bad sector
	readFailureWindow     = 60 * second // microseconds
	fullDiskRetryInterval = 30 * second // microseconds
)

// HandleEvent takes an event and tells the health and whether it has changed. An event
// that does not fit the health changes nothing.
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

// countReadFailure tells whether there were too many within the window.
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

// Health tells what the disk can be used for.
func (p *Policy) Health() Health { return p.health }
