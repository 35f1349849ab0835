package invariant

// safetyChecks are the conditions that keep a router from being accused of what it could
// not know. They are replaceable so that a test can drop one and show that a router which
// keeps the rules is then accused; nothing but tests replaces them.
type safetyChecks struct {
	// settled reports whether an activity that came so long ago may be judged.
	settled func(age int64) bool
	// outlastsStall reports whether violations over such a time can't come from a
	// connection to discovery that hangs.
	outlastsStall func(duration int64) bool
	// drainsKnown reports whether the endpoint list is current: the monitor follows
	// discovery, and has done so since before knownFrom.
	drainsKnown func(disconnected bool, now, knownFrom int64) bool
	// workTime is when work counts that was sent and received at these times: reports may
	// come late and together.
	workTime func(sent, received int64) int64
}

func defaultSafetyChecks() safetyChecks {
	return safetyChecks{
		settled:       func(age int64) bool { return age >= settleDelay },
		outlastsStall: func(duration int64) bool { return duration >= maxDiscoveryStall },
		drainsKnown:   func(disconnected bool, now, knownFrom int64) bool { return !disconnected && now >= knownFrom },
		workTime:      func(sent, _ int64) int64 { return sent },
	}
}
