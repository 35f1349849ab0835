package diskbench

import "quilldoor/internal/diskcache"

const (
	slotBytes    = 16 << 10
	startTime    = int64(1e12) // simulated time of the start, microseconds
	requestGap   = 1000        // microseconds from one request to the next
	requestTime  = 1e6         // microseconds that remain for a request
	recordHeader = 60          // bytes of a record in addition to the part's body
	unlimited    = 1 << 40     // bytes, for limits that the workload must not reach
)

// Run runs a workload against a variant of the policy.
func Run(workload Workload, variant diskcache.Variant) Result {
	g := newGenerator(workload)
	slots := int(float64(g.catalogueBytes) * workload.DiskShare / slotBytes)
	policy := diskcache.New(startTime, policySettings(slots, variant))
	warmUp := workload.Requests / 3
	now := startTime
	var result Result
	var writtenBefore int64
	for requestCount := 0; requestCount < workload.Requests; {
		current := g.nextObject()
		for part := 0; part < current.parts && (part == 0 || g.continues()); part++ {
			requestCount++
			now += requestGap
			if workload.DriftInterval > 0 && requestCount%workload.DriftInterval == 0 {
				g.drift()
			}
			if requestCount == warmUp {
				result = Result{}
				writtenBefore = policy.Counts.BytesWritten
			}
			size := current.size(part)
			hit := request(policy, now, current.name, part, size)
			result.count(size, hit)
		}
	}
	result.BytesWritten = policy.Counts.BytesWritten - writtenBefore
	return result
}

// policySettings returns settings that limit the policy only by its number of slots.
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

// request looks up a part and reports whether it was a hit. A missing part is offered to the
// policy and, if accepted, written.
func request(policy *diskcache.Policy, now int64, name string, part, size int) (hit bool) {
	r := diskcache.Request{Object: name, Part: int64(part), Remaining: requestTime}
	verdict, found := policy.Lookup(now, &r)
	if verdict != diskcache.VerdictMiss {
		policy.FinishRead(now, found.Ref, diskcache.ReadIntact)
		return true
	}
	length := size + recordHeader
	candidate := diskcache.Candidate{Request: r, Issued: now / 1000, Length: length}
	placement, reason := policy.Offer(now, &candidate)
	if reason == diskcache.ReasonOK {
		policy.FinishWrite(placement.Ref, length, true)
		policy.TakeDrops()
		policy.Synced()
	}
	return false
}
