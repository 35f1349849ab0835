package upgradeagent

import (
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// servingLock is held by the one process that accepts clients. The operating system
// releases it when the process ends.
type servingLock struct {
	file *os.File
	held bool
}

func openLock(path string) (*servingLock, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("serving lock: %w", err)
	}
	return &servingLock{file: f}, nil
}

// tryAcquire reports whether this process holds the lock now.
func (l *servingLock) tryAcquire() bool {
	if !l.held {
		l.held = unix.Flock(int(l.file.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil
	}
	return l.held
}

func (l *servingLock) release() {
	if l.held {
		_ = unix.Flock(int(l.file.Fd()), unix.LOCK_UN) // does not fail for a lock on an open file
		l.held = false
	}
}
