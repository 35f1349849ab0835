package diskbench

import "quilldoor/internal/diskcache"

const (
	slotBytes    = 16 << 10
	epoch        = int64(1e12) // simulated time of the start, microseconds
	requestGap   = 1000        // microseconds from one request to the next
	requestTime  = 1e6         // microseconds that a request has left
	recordHeader = 60          // bytes of a record beside the part's body
	unlimited    = 1 << 40     // bytes, where the policy is not to be limited
)

// Run plays a workload against a variant of the policy.
func Run(workload Workload, variant diskcache.Variant) Result {
	g := newGenerator(workload)
	slots := int(float64(g.bytes) * workload.DiskShare / slotBytes)
	policy := diskcache.New(epoch, policySettings(slots, variant))
	warmUp := workload.Requests / 3
	now := epoch
	var result Result
	var writtenBefore int64
	for n := 0; n < workload.Requests; {
		o := g.nextObject()
		for part := 0; part < o.parts && (part == 0 || g.continues()); part++ {
			n++
			now += requestGap
			if workload.DriftInterval > 0 && n%workload.DriftInterval == 0 {
				g.drift()
			}
			if n == warmUp {
				result = Result{}
				writtenBefore = policy.Counts.BytesWritten
			}
			size := o.size(part)
			hit := request(policy, now, o.name, part, size)
			result.count(size, hit)
		}
	}
	result.BytesWritten = policy.Counts.BytesWritten - writtenBefore
	return result
}

// policySettings limit the policy by its number of slots alone.
func policySettings(slots int, variant diskcache.Variant) diskcache.Settings {
	return diskcache.Settings{
		Classes:             []diskcache.TrafficClass{{Name: "page", FreshFor: 1 << 60, LatencyObjective: 1e6, Cacheable: true}},
		SlotBytes:           slotBytes,
		Slots:               slots,
		MaxEntries:          slots,
		WriteBytesPerSecond: unlimited,
		QueueBytes:          unlimited,
		MaxReads:            1,
		PurgeTime:           1,
		MaxRequestTime:      1,
		Variant:             variant,
	}
}

// request looks a part up, offers it if it is missing, and reports whether it was a hit.
func request(policy *diskcache.Policy, now int64, name string, part, size int) (hit bool) {
	r := diskcache.Request{Object: name, Part: int64(part), Remaining: requestTime}
	verdict, found := policy.Lookup(now, &r)
	if verdict != diskcache.VerdictMiss {
		policy.FinishRead(now, found.Ref, diskcache.ReadIntact)
		return true
	}
	length := size + recordHeader
	candidate := diskcache.Candidate{Request: r, Issued: now / 1000, Length: length}
	put, reason := policy.Offer(now, &candidate)
	if reason == diskcache.ReasonOK {
		policy.FinishWrite(put.Ref, length, true)
		policy.TakeDrops()
		policy.Synced()
	}
	return false
}
