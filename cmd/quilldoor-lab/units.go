package main

const (
	microsPerMilli  = 1000
	microsPerSecond = 1_000_000
	millisPerSecond = 1000

	kbPerMB = 1024

	// logBufferBytes is the buffer size for reading and writing event log files.
	logBufferBytes = 1 << 20
)
