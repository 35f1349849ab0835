package diskcache

// Health is what the disk can be used for.
type Health uint8

// The tier's states of health.
const (
	On        Health = 1 << iota
	Full             // no space: reads go on, writes are tried again after a while
	ReadsOnly        // a write or sync failed: what is there may still be read
	Off              // nothing is asked of the disk any more
)

// Fault is what the disk's side has to tell.
type Fault uint8

// Faults, and what ends them.
const (
	WriteFault Fault = iota // a write or sync failed: what the kernel still holds is not known
	NoSpace
	ReadFault // a record could not be read, or was not what was written
	ManyReadFaults
	Due // the time to try again has come
	Closed
)

func (h Health) String() string {
	return map[Health]string{On: "on", Full: "full", ReadsOnly: "reads only", Off: "off"}[h]
}

// healthTable says what a fault makes of the tier. After a failed sync the same
// pages may count as clean though they never came to the disk (Rebello et al.,
// "Can Applications Recover from fsync Failures?", USENIX ATC 2020), so that
// writing isn't tried again before a restart; a full disk does recover.
var healthTable = []struct {
	in   Health
	what Fault
	next Health
}{
	{On, NoSpace, Full},
	{Full, Due, On},
	{Full, NoSpace, Full},
	{On | Full, WriteFault, ReadsOnly},
	{On | Full | ReadsOnly, ManyReadFaults, Off},
	{On | Full | ReadsOnly, Closed, Off},
}

const (
	readFaultsMost = 8           // within faultWindow: a disk at its end, not one bad sector
	faultWindow    = 60 * second // as above
	tryAgain       = 30 * second // on a full disk
)

// Fault takes one and tells the state of health and whether it has changed.
func (t *Tier) Fault(now int64, what Fault) (Health, bool) {
	if what == ReadFault {
		t.Counts.ReadFaults++
		if now-t.faultsFrom > faultWindow || now < t.faultsFrom {
			t.faults, t.faultsFrom = 0, now
		}
		if t.faults++; t.faults < readFaultsMost {
			return t.health, false
		}
		what = ManyReadFaults
	}
	for _, row := range healthTable {
		if row.in&t.health != 0 && row.what == what {
			changed := t.health != row.next
			if t.health = row.next; t.health == Full {
				t.dueAt = now + tryAgain
			}
			return t.health, changed
		}
	}
	return t.health, false
}

// Health tells what the disk can be used for.
func (t *Tier) Health() Health { return t.health }
