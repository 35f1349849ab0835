package simulation

// Spans of simulated time in microseconds, also used to convert settings in milliseconds and seconds.
const (
	millisecond = 1000
	second      = 1_000_000

	millisPerSecond = 1000

	// oneWay converts a round trip time in milliseconds to the one-way latency in microseconds.
	oneWay = millisecond / 2
)
