package emulator

const (
	microsPerMilli  = 1000
	microsPerSecond = 1_000_000

	bytesPerKB = 1000
)
