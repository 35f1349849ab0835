package crashfs

import (
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"sync"

	"quilldoor/internal/diskcache/diskstore"
)

// FailFunc is asked before each operation on a file, with the size of its data in bytes; the
// error that it returns is the operation's. If it returns written, too, a write stores that many
// bytes before it fails, or is a short write if the error is nil.
type FailFunc func(op Op, name string, size int) (written *int, err error)

// FS is the file system. Its methods may be called by several goroutines at once.
type FS struct {
	mu      sync.Mutex
	current state
	initial state // before the first step of the history
	history []step
	locked  bool
	fail    FailFunc // nil: nothing fails
}

// New returns an empty file system.
func New() *FS { return &FS{current: newState(), initial: newState()} }

// SetFail sets or, with nil, removes the function that makes operations fail. While it decides on
// a read it blocks no other operation.
func (f *FS) SetFail(fail FailFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = fail
}

// Steps is the length of the history.
func (f *FS) Steps() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.history)
}

// Content is a file's present content. It is not a copy: a test may corrupt it.
func (f *FS) Content(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.content[f.current.inodes[name]]
}

// AddFile makes a file of the given content and clears the history, as if the file had always
// been there.
func (f *FS) AddFile(name string, content []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inode := f.current.nextInode
	f.current.createUnnamed(inode)
	f.current.inodes[name] = inode
	f.current.content[inode] = content
	f.clearHistory()
}

// Open opens a file and, if asked to, creates one that does not exist.
func (f *FS) Open(name string, create bool) (diskstore.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inode, exists := f.current.inodes[name]
	if !exists && !create {
		return nil, fmt.Errorf("open %s: %w", name, fs.ErrNotExist)
	}
	if !exists {
		if _, err := f.checkFail(OpCreate, name, 0); err != nil {
			return nil, err
		}
		inode = f.current.nextInode
		f.take(step{op: OpCreate, inode: inode, name: name})
	}
	return &file{fs: f, name: name, inode: inode}, nil
}

// Rename renames a file.
func (f *FS) Rename(from, to string) error {
	return f.changeDir(step{op: OpRename, name: from, newName: to})
}

// Remove removes a file.
func (f *FS) Remove(name string) error { return f.changeDir(step{op: OpRemove, name: name}) }

// SyncDir makes the changes of names durable.
func (f *FS) SyncDir() error { return f.changeDir(step{op: OpSyncDir}) }

// List returns the names of the files in order.
func (f *FS) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.current.inodes)), nil
}

// Lock takes the folder's lock, of which there is one whatever its name. To close it releases it.
func (f *FS) Lock(string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked {
		return nil, diskstore.ErrInUse
	}
	f.locked = true
	return &lock{fs: f}, nil
}

type lock struct{ fs *FS }

func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	l.fs.locked = false
	return nil
}

func (f *FS) changeDir(s step) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, exists := f.current.inodes[s.name]; !exists && s.op != OpSyncDir {
		return fmt.Errorf("%s %s: %w", s.op, s.name, fs.ErrNotExist)
	}
	if _, err := f.checkFail(s.op, s.name, 0); err != nil {
		return err
	}
	f.take(s)
	return nil
}

// checkFail asks the FailFunc, if there is one.
func (f *FS) checkFail(op Op, name string, size int) (written *int, err error) {
	if f.fail == nil {
		return nil, nil
	}
	return f.fail(op, name, size)
}

// take applies a step and records it.
func (f *FS) take(s step) {
	f.current.apply(s)
	f.history = append(f.history, s)
}

// clearHistory makes the current state the initial one.
func (f *FS) clearHistory() {
	f.initial = f.current.clone()
	f.history = nil
}
