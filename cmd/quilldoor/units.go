package main

// Conversion factors between units of time and size.
const (
	microsPerMilli  = 1000
	microsPerSecond = 1_000_000
	millisPerSecond = 1000

	bytesPerKB = 1 << 10
	bytesPerMB = 1 << 20
)
