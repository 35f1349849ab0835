package main

// Factors between the units of times and sizes.
const (
	microsPerMilli  = 1000
	microsPerSecond = 1_000_000
	millisPerSecond = 1000

	bytesPerKB = 1 << 10
	bytesPerMB = 1 << 20
)
