package emulator

import "sync"

// logTail is a writer that keeps only the last bytes written to it.
type logTail struct {
	mu   sync.Mutex
	text []byte
}

func (t *logTail) Write(b []byte) (int, error) {
	const maxBytes = 4 << 10
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	if over := len(t.text) - maxBytes; over > 0 {
		t.text = append(t.text[:0], t.text[over:]...)
	}
	return len(b), nil
}

func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}
