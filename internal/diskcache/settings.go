package diskcache

const second = int64(1_000_000) // microseconds

// TrafficClass is what the disk cache needs to know of a class of requests. Times are
// microseconds.
type TrafficClass struct {
	Name             string
	FreshFor         int64 // a copy may be served as it is for so long after its issue
	StaleGrace       int64 // and for so long after that in place of a failure (stale-if-error)
	LatencyObjective int64 // the latency objective: a copy whose transfer would end later is not served from here
	Cacheable        bool  // idempotent, no write, with a fresh time, and wanted by the operator
}

// Settings size and bound the disk cache. Sizes are bytes, times microseconds. There are
// no defaults.
type Settings struct {
	Classes []TrafficClass // 256 at most

	SlotBytes  int // the unit of space on disk: a record takes whole slots
	Slots      int // on the disk
	MaxEntries int // cached parts known at most

	WriteBytesPerSecond int64 // write budget, over time
	QueueBytes          int64 // bytes that may wait to be written
	SyncInterval        int64 // after which what was written is made durable
	MaxReads            int   // reads at the same time, waiting ones included

	FlowBytesPerSecond int64 // one transfer to a client; 0: not limited
	LinkBytesPerSecond int64 // the router's own link; 0: not limited

	PurgeTime          int64 // after a purge, until caches have dropped what it covers
	MaxRequestTime     int64 // a response may arrive so long after it was requested
	DiscoveryLossLimit int64 // discovery unreachable for so long: purges may be missed

	// Seed of the hashes that name parts and objects (Key and Object). It keeps clients from choosing names that collide,
	// and must be the one that the index on disk was written with.
	Seed uint64

	Variant Variant
}

// Variant selects an admission policy to compare with. The zero value is the one that
// routers use.
type Variant struct {
	AdmitAll             bool // no frequency estimate: plain LRU
	AdmitOnFirstRequest  bool // write what is requested for the first time, too
	WeighByRequests      bool // compare numbers of requests, not requests times bytes
	AdmitOnSecondRequest bool // from the second request on, whatever gives way
	EstimateWholeObject  bool // estimate the object's frequency, not the part's
}
