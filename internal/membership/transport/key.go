package transport

import (
	"bytes"
	"fmt"
	"os"
)

// ReadKey reads the key that all routers of a site share. White space around it is ignored.
func ReadKey(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("members.key_file: %w", err)
	}
	key := bytes.TrimSpace(text)
	if len(key) < minKeyLength {
		return nil, fmt.Errorf("members.key_file: %d bytes, %d at least", len(key), minKeyLength)
	}
	return key, nil
}
