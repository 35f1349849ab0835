package diskcache

// linkModel estimates when a transfer on the router's own link to clients ends: one
// transfer runs at flowRate at most, and all share linkRate in the order of their
// responses.
type linkModel struct {
	flowRate  int64 // bytes a second; 0: not limited
	linkRate  int64 // bytes a second; 0: not limited
	busyUntil int64
}

// transferEnd tells when a transfer that begins now ends.
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

// tokenBucket bounds the bytes written in any second to twice the rate, and to the rate
// in the long run: it holds the tokens of one second.
type tokenBucket struct {
	rate     int64 // bytes a second
	tokens   int64 // bytes
	filledAt int64
}

func (b *tokenBucket) allows(now, bytes int64) bool {
	if now > b.filledAt {
		elapsed := min(now-b.filledAt, second) // more would fill it anyway, and may overflow
		b.tokens = min(b.rate, b.tokens+elapsed*b.rate/second)
	}
	b.filledAt = now
	return b.tokens >= bytes
}
