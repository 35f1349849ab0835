package invariant

// safetyChecks are conditions that prevent false positives: a router is not held
// responsible for changes that it could not have received. They are fields so that a
// test can disable one of them and show that the monitor then reports a router that
// keeps the rules; nothing but tests replaces them.
type safetyChecks struct {
	// settled reports whether a report received that long ago may be checked.
	settled func(age int64) bool
	// outlastsStall reports whether violations over that duration can't come from a
	// connection to discovery that hangs.
	outlastsStall func(duration int64) bool
	// drainsKnown reports whether the endpoint list is current: the monitor is connected
	// to discovery, and the wait after a reconnection or clock jump ended at checkFrom.
	drainsKnown func(disconnected bool, now, checkFrom int64) bool
	// workTime returns the time at which work counts, from when it was sent and when its
	// report was received: several late reports may arrive together.
	workTime func(sent, received int64) int64
}

func defaultSafetyChecks() safetyChecks {
	return safetyChecks{
		settled:       func(age int64) bool { return age >= settleDelay },
		outlastsStall: func(duration int64) bool { return duration >= maxDiscoveryStall },
		drainsKnown:   func(disconnected bool, now, checkFrom int64) bool { return !disconnected && now >= checkFrom },
		workTime:      func(sent, _ int64) int64 { return sent },
	}
}
