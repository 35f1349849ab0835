package diskstore

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is a file system as the store uses it. Names are those of files in one directory.
type FS interface {
	// Open opens a file for reading and writing. With create, a missing file is created.
	Open(name string, create bool) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	// SyncDir makes creations, renames and removals durable.
	SyncDir() error
	// Lock locks the directory against other processes until the returned lock is closed.
	// It fails with ErrInUse if another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
}

// ErrInUse is wrapped by the error about a directory that another process has locked.
var ErrInUse = errors.New("in use by another process")

// Dir is a directory of the operating system's file system.
type Dir struct {
	Path     string
	ReadOnly bool // files are opened for reading and never created
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Sync syncs the file's data and size, but not its times, which are not used.
func (f osFile) Sync() error {
	for {
		if err := unix.Fdatasync(int(f.Fd())); !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

func (d Dir) pathOf(name string) string { return filepath.Join(d.Path, name) }

// Open opens a file. It ignores create if the directory is read-only.
func (d Dir) Open(name string, create bool) (File, error) {
	flag := os.O_RDWR
	if create {
		flag |= os.O_CREATE
	}
	if d.ReadOnly {
		flag = os.O_RDONLY
	}
	f, err := os.OpenFile(d.pathOf(name), flag, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename renames a file and replaces an existing one of the new name.
func (d Dir) Rename(from, to string) error { return os.Rename(d.pathOf(from), d.pathOf(to)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.pathOf(name)) }

// List returns the names of the files in the directory.
func (d Dir) List() ([]string, error) {
	list, err := os.ReadDir(d.Path)
	var names []string
	for _, file := range list {
		names = append(names, file.Name())
	}
	return names, err
}

// SyncDir syncs the directory.
func (d Dir) SyncDir() error {
	f, err := os.Open(d.Path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock locks the directory by a lock on the named file. The kernel releases the lock when
// the process ends.
func (d Dir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.pathOf(name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", d.Path, ErrInUse)
		}
		return nil, fmt.Errorf("%s: flock: %w", d.pathOf(name), err)
	}
	return f, nil
}

// IsNoSpace reports whether an error means that the disk or the quota is full.
func IsNoSpace(err error) bool { return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) }
