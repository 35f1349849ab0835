package upgradeagent

import (
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// servingLock is a file lock that the processes of a router share. Only the process that
// holds it accepts clients. The operating system releases it when that process ends.
type servingLock struct {
	file *os.File
	held bool
}

func openServingLock(path string) (*servingLock, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("serving lock: %w", err)
	}
	return &servingLock{file: file}, nil
}

// tryAcquire acquires the lock if it is free. It reports whether this process holds it.
func (l *servingLock) tryAcquire() bool {
	if !l.held {
		l.held = unix.Flock(int(l.file.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil
	}
	return l.held
}

func (l *servingLock) release() {
	if l.held {
		_ = unix.Flock(int(l.file.Fd()), unix.LOCK_UN) // does not fail for an open file
		l.held = false
	}
}
