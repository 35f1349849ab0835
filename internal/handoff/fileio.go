package handoff

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
)

// WriteFileAtomic writes a file whole or not at all, and syncs it and its folder.
func WriteFileAtomic(path string, content []byte) error {
	folder := filepath.Dir(path)
	if err := renameio.WriteFile(path, content, 0o600, renameio.WithTempDir(folder)); err != nil {
		return err
	}
	openFolder, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer openFolder.Close()
	return openFolder.Sync()
}

// FileDigest returns the xxHash64 of a file's bytes, in hexadecimal.
func FileDigest(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	digest := xxhash.New()
	if _, err := io.Copy(digest, file); err != nil {
		return "", err
	}
	return fmt.Sprintf("%016x", digest.Sum64()), nil
}
