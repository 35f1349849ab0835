package simulation

// Spans of simulated time in microseconds, also used to convert settings in milliseconds and seconds.
const (
	millisecond = 1000
	second      = 1_000_000

	millisPerSecond = 1000

	// oneWay is one way of a network path in microseconds per millisecond of its round trip.
	oneWay = millisecond / 2
)
