package transport

import (
	"bytes"
	"fmt"
	"os"
)

// ReadKey reads the key that all routers of a site share from a file. White space around the key is ignored.
func ReadKey(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("members.key_file: %w", err)
	}
	key := bytes.TrimSpace(text)
	if len(key) < minKeyLength {
		return nil, fmt.Errorf("members.key_file: key in %s has %d bytes, want at least %d", path, len(key), minKeyLength)
	}
	return key, nil
}
