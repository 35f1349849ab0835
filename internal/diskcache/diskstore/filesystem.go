package diskstore

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is what the store needs of a file system. Names are those of files in one folder.
type FS interface {
	// Open opens a file for reading and writing; create makes it if need be.
	Open(name string, create bool) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	// SyncDir makes creations, renames and removals durable.
	SyncDir() error
	// Lock keeps other processes out until it is closed; ErrInUse: another one holds it.
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

// ErrInUse is behind the error on a folder that another process holds.
var ErrInUse = errors.New("in use by another process")

// Dir is a folder of the operating system.
type Dir struct {
	Path     string
	ReadOnly bool // nothing is created or locked
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Sync leaves out the file's times, which nothing reads.
func (f osFile) Sync() error {
	for {
		if err := unix.Fdatasync(int(f.Fd())); !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

func (d Dir) name(n string) string { return filepath.Join(d.Path, n) }

// Open opens a file.
func (d Dir) Open(name string, create bool) (File, error) {
	flag := os.O_RDWR
	if create {
		flag |= os.O_CREATE
	}
	if d.ReadOnly {
		flag = os.O_RDONLY
	}
	f, err := os.OpenFile(d.name(name), flag, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename renames a file over another.
func (d Dir) Rename(from, to string) error { return os.Rename(d.name(from), d.name(to)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.name(name)) }

// List names the folder's files.
func (d Dir) List() ([]string, error) {
	list, err := os.ReadDir(d.Path)
	var names []string
	for _, e := range list {
		names = append(names, e.Name())
	}
	return names, err
}

// SyncDir syncs the folder.
func (d Dir) SyncDir() error {
	f, err := os.Open(d.Path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock takes the folder's lock, which the kernel gives back when the process ends.
func (d Dir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.name(name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", d.Path, ErrInUse)
		}
		return nil, fmt.Errorf("%s: lock: %w", d.Path, err)
	}
	return f, nil
}

// IsNoSpace tells whether an error says that the disk is full.
func IsNoSpace(err error) bool { return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) }
