package diskcache

// linkModel estimates when a transfer on the router's own link to clients ends. One
// transfer runs at flowRate at most. All transfers share linkRate, in the order of their
// responses.
type linkModel struct {
	flowRate  int64 // bytes per second; 0: unlimited
	linkRate  int64 // bytes per second; 0: unlimited
	busyUntil int64 // when the transfers reserved so far end at linkRate
}

// transferEnd returns the time at which a transfer that begins now ends.
func (l *linkModel) transferEnd(now, bytes int64) int64 {
	end := now
	if l.flowRate > 0 {
		end += bytes * second / l.flowRate
	}
	if l.linkRate > 0 {
		end = max(end, max(now, l.busyUntil)+bytes*second/l.linkRate)
	}
	return end
}

func (l *linkModel) reserve(now, bytes int64) {
	if l.linkRate > 0 {
		l.busyUntil = max(now, l.busyUntil) + bytes*second/l.linkRate
	}
}

// tokenBucket limits the bytes written to the rate in the long run, and within any second
// to twice the rate: it holds the tokens of one second at most.
type tokenBucket struct {
	rate     int64 // bytes per second
	tokens   int64 // bytes
	filledAt int64
}

func (b *tokenBucket) allows(now, bytes int64) bool {
	if now > b.filledAt {
		elapsed := min(now-b.filledAt, second) // one second fills the bucket; the product of more may overflow
		b.tokens = min(b.rate, b.tokens+elapsed*b.rate/second)
	}
	b.filledAt = now
	return b.tokens >= bytes
}
