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

// FailFunc is called before each operation on a file, with the size of the operation's data in
// bytes. The operation returns the error of FailFunc. If FailFunc also returns written, a write
// stores that many bytes before it fails; with a nil error it is a short write.
type FailFunc func(op Op, name string, size int) (written *int, err error)

// FS is an in-memory file system of one folder. It is safe for concurrent use.
type FS struct {
	mu      sync.Mutex
	current state
	initial state // before the first step of the history
	history []step
	locked  bool     // the folder's lock is held
	fail    FailFunc // nil: nothing fails
}

// New returns an empty file system.
func New() *FS { return &FS{current: newState(), initial: newState()} }

// SetFail sets or, with nil, removes the function that makes operations fail. A call of the
// function for a read blocks no other operation.
func (f *FS) SetFail(fail FailFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = fail
}

// Steps is the number of steps in the history.
func (f *FS) Steps() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.history)
}

// Content returns a file's current content. It is not a copy, so that a test may corrupt it.
func (f *FS) Content(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.content[f.current.inodes[name]]
}

// AddFile creates a file with the given content and clears the history, so that the file is part
// of the initial state.
func (f *FS) AddFile(name string, content []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inode := f.current.nextInode
	f.current.createUnnamed(inode)
	f.current.inodes[name] = inode
	f.current.content[inode] = content
	f.clearHistory()
}

// Open opens a file. If the file does not exist and create is true, it creates the file.
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
		f.applyAndRecord(step{op: OpCreate, inode: inode, name: name})
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

// Lock acquires the folder's lock. There is one lock, whatever the name. Close releases it.
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

// changeDir applies a step that changes or syncs the folder's names.
func (f *FS) changeDir(s step) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, exists := f.current.inodes[s.name]; !exists && s.op != OpSyncDir {
		return fmt.Errorf("%s %s: %w", s.op, s.name, fs.ErrNotExist)
	}
	if _, err := f.checkFail(s.op, s.name, 0); err != nil {
		return err
	}
	f.applyAndRecord(s)
	return nil
}

// checkFail calls the FailFunc if one is set.
func (f *FS) checkFail(op Op, name string, size int) (written *int, err error) {
	if f.fail == nil {
		return nil, nil
	}
	return f.fail(op, name, size)
}

// applyAndRecord applies a step to the current state and appends it to the history.
func (f *FS) applyAndRecord(s step) {
	f.current.apply(s)
	f.history = append(f.history, s)
}

// clearHistory makes the current state the initial one.
func (f *FS) clearHistory() {
	f.initial = f.current.clone()
	f.history = nil
}
