package diskcache

// link is the router's own link, on which copies go to clients: one transfer
// runs at flow at most, and all of them share the whole in the order of their
// answers (the platform's protocol, "Copies of its own").
type link struct {
	flow, whole int64 // bytes a second; 0: not told, takes no time
	busy        int64 // until when the whole is taken
}

// over tells when a transfer that begins now would be over.
func (l *link) over(now, bytes int64) int64 {
	over := now
	if l.flow > 0 {
		over += bytes * second / l.flow
	}
	if l.whole > 0 {
		over = max(over, max(now, l.busy)+bytes*second/l.whole)
	}
	return over
}

func (l *link) take(now, bytes int64) {
	if l.whole > 0 {
		l.busy = max(now, l.busy) + bytes*second/l.whole
	}
}

// budget bounds the bytes written in any second to twice the rate, and to the
// rate in the long run: a bucket that holds one second.
type budget struct {
	rate int64 // bytes a second
	left int64
	at   int64
}

func (b *budget) has(now, bytes int64) bool {
	if now > b.at {
		// At most a second's worth, reckoned so that a long rest can't overflow.
		b.left = min(b.rate, b.left+min(now-b.at, second)*b.rate/second)
	}
	b.at = now
	return b.left >= bytes
}

// StepDetector watches the system's clock against one that only goes forward.
type StepDetector struct{ ahead, seen int64 }

// stepTolerance is above what slewing and reading two clocks apart bring about.
const stepTolerance = 50_000

// Stepped tells whether the wall clock has jumped since it was last asked, by
// both clocks' microseconds. The first call sets the start.
func (c *StepDetector) Stepped(wall, steady int64) bool {
	ahead := wall - steady
	jumped := c.seen > 0 && (ahead-c.ahead > stepTolerance || c.ahead-ahead > stepTolerance)
	if jumped || c.seen == 0 || steady-c.seen > second {
		// Slewing moves it slowly; a jump is told once.
		c.ahead, c.seen = ahead, max(steady, 1)
	}
	return jumped
}
