package diskcache

// Health is what the disk can be used for.
type Health uint8

// The tier's states of health.
const (
	HealthOn       Health = 1 << iota
	HealthFull            // no space: reads go on, writes are tried again after a while
	HealthReadOnly        // a write or sync failed: what is there may still be read
	HealthOff             // nothing is asked of the disk any more
)

// Event is what the disk's side has to tell.
type Event uint8

// Faults, and what ends them.
const (
	EventWriteFailed Event = iota // a write or sync failed: what the kernel still holds is not known
	EventNoSpace
	EventReadFailed // a record could not be read, or was not what was written
	EventManyReadFailures
	EventRetryDue // the time to try again has come
	EventClosed
)

func (h Health) String() string {
	return map[Health]string{HealthOn: "on", HealthFull: "full", HealthReadOnly: "reads only", HealthOff: "off"}[h]
}

// healthTable says what a fault makes of the tier. After a failed sync the same
// pages may count as clean though they never came to the disk (Rebello et al.,
// "Can Applications Recover from fsync Failures?", USENIX ATC 2020), so that
// writing isn't tried again before a restart; a full disk does recover.
var healthTable = []struct {
	in   Health
	what Event
	next Health
}{
	{HealthOn, EventNoSpace, HealthFull},
	{HealthFull, EventRetryDue, HealthOn},
	{HealthFull, EventNoSpace, HealthFull},
	{HealthOn | HealthFull, EventWriteFailed, HealthReadOnly},
	{HealthOn | HealthFull | HealthReadOnly, EventManyReadFailures, HealthOff},
	{HealthOn | HealthFull | HealthReadOnly, EventClosed, HealthOff},
}

const (
	readFaultsMost = 8           // within faultWindow: a disk at its end, not one bad sector
	faultWindow    = 60 * second // as above
	tryAgain       = 30 * second // on a full disk
)

// HandleEvent takes one and tells the state of health and whether it has changed.
func (t *Tier) HandleEvent(now int64, what Event) (Health, bool) {
	if what == EventReadFailed {
		t.Counts.ReadFaults++
		if now-t.faultsFrom > faultWindow || now < t.faultsFrom {
			t.faults, t.faultsFrom = 0, now
		}
		if t.faults++; t.faults < readFaultsMost {
			return t.health, false
		}
		what = EventManyReadFailures
	}
	for _, row := range healthTable {
		if row.in&t.health != 0 && row.what == what {
			changed := t.health != row.next
			if t.health = row.next; t.health == HealthFull {
				t.dueAt = now + tryAgain
			}
			return t.health, changed
		}
	}
	return t.health, false
}

// Health tells what the disk can be used for.
func (t *Tier) Health() Health { return t.health }
