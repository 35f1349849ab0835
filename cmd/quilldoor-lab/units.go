package main

const (
	microsPerMilli  = 1000
	microsPerSecond = 1_000_000
	millisPerSecond = 1000

	kbPerMB = 1024

	// logBufferBytes is the size of the buffers between an event log's file and its encoding.
	logBufferBytes = 1 << 20
)
