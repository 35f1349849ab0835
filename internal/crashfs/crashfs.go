// Package crashfs is a file system in memory that records what was asked of it,
// and makes of any prefix of that history the states in which a crash could have
// left a disk. It stands in for one in tests; faults can be scripted.
package crashfs

import (
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"quilldoor/internal/diskcache/diskstore"
)

// Op is a kind of step in the history.
type Op uint8

// The steps. Reads are no part of the history, but can be made to fail.
const (
	OpCreate Op = iota
	OpWrite
	OpTruncate
	OpSync
	OpRename
	OpRemove
	OpSyncDir
	OpRead
)

func (o Op) String() string {
	return [...]string{"create", "write", "truncate", "sync", "rename", "remove", "syncdir", "read"}[o]
}

type step struct {
	op       Op
	inode    int
	name, to string
	at       int64
	data     []byte
}

// FS is the file system.
type FS struct {
	mu     sync.Mutex
	names  map[string]int
	files  map[int][]byte
	next   int
	steps  []step
	base   *FS // the state before the first step; nil: empty
	locked *bool

	// Fail, if set, is asked before each step; its error is the step's. A write of
	// which it returns part != nil is cut to so many bytes and fails with the error,
	// or comes back short if that is nil.
	Fail func(op Op, name string, size int) (part *int, err error)
}

// New makes an empty one.
func New() *FS { return &FS{names: map[string]int{}, files: map[int][]byte{}, locked: new(bool)} }

func (f *FS) fail(op Op, name string, size int) (*int, error) {
	if f.Fail == nil {
		return nil, nil
	}
	return f.Fail(op, name, size)
}

// do applies a step to the present state.
func (f *FS) do(s step) {
	switch s.op {
	case OpCreate:
		f.names[s.name], f.files[s.inode] = s.inode, nil
		f.next = max(f.next, s.inode+1)
	case OpWrite:
		b := f.files[s.inode]
		if grow := int(s.at) + len(s.data) - len(b); grow > 0 {
			b = append(b, make([]byte, grow)...)
		}
		copy(b[s.at:], s.data)
		f.files[s.inode] = b
	case OpTruncate:
		b := f.files[s.inode]
		for int64(len(b)) < s.at {
			b = append(b, 0)
		}
		f.files[s.inode] = b[:s.at]
	case OpRename:
		if i, there := f.names[s.name]; there {
			delete(f.names, s.name)
			f.names[s.to] = i
		}
	case OpRemove:
		delete(f.names, s.name)
	}
}

func (f *FS) step(s step) {
	f.do(s)
	f.steps = append(f.steps, s)
}

// from begins again at the state before the first step.
func (f *FS) from() *FS {
	out := New()
	if f.base != nil {
		out.next = f.base.next
		out.names = maps.Clone(f.base.names)
		for i, b := range f.base.files {
			out.files[i] = slices.Clone(b)
		}
	}
	return out
}

// settle makes the present state the one before the first step.
func (f *FS) settle() *FS {
	f.base = &FS{names: f.names, files: f.files, next: f.next}
	now := f.from()
	f.names, f.files, f.steps = now.names, now.files, nil
	return f
}

// Steps is how many steps the history has.
func (f *FS) Steps() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.steps)
}

// file is an open one.
type file struct {
	fs    *FS
	name  string
	inode int
}

// Open opens a file.
func (f *FS) Open(name string, create bool) (diskstore.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, there := f.names[name]
	if !there && !create {
		return nil, fmt.Errorf("open %s: %w", name, fs.ErrNotExist)
	}
	if !there {
		if _, err := f.fail(OpCreate, name, 0); err != nil {
			return nil, err
		}
		i = f.next
		f.step(step{op: OpCreate, inode: i, name: name})
	}
	return &file{f, name, i}, nil
}

// Rename renames a file.
func (f *FS) Rename(from, to string) error { return f.dir(step{op: OpRename, name: from, to: to}) }

// Remove removes a file.
func (f *FS) Remove(name string) error { return f.dir(step{op: OpRemove, name: name}) }

// SyncDir makes the names last.
func (f *FS) SyncDir() error { return f.dir(step{op: OpSyncDir}) }

func (f *FS) dir(s step) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, there := f.names[s.name]; !there && s.op != OpSyncDir {
		return fmt.Errorf("%s %s: %w", s.op, s.name, fs.ErrNotExist)
	}
	if _, err := f.fail(s.op, s.name, 0); err != nil {
		return err
	}
	f.step(s)
	return nil
}

// List names the files.
func (f *FS) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.names)), nil
}

type lock struct{ held *bool }

func (l lock) Close() error {
	*l.held = false
	return nil
}

// Lock takes the lock.
func (f *FS) Lock(string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *f.locked {
		return nil, diskstore.ErrInUse
	}
	*f.locked = true
	return lock{f.locked}, nil
}

func (h *file) ReadAt(b []byte, at int64) (int, error) {
	h.fs.mu.Lock()
	fail := h.fs.Fail
	h.fs.mu.Unlock()
	if fail != nil {
		if _, err := fail(OpRead, h.name, len(b)); err != nil {
			return 0, err
		}
	}
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	all := h.fs.files[h.inode]
	if at >= int64(len(all)) {
		return 0, io.EOF
	}
	n := copy(b, all[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (h *file) WriteAt(b []byte, at int64) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	part, err := h.fs.fail(OpWrite, h.name, len(b))
	n := len(b)
	if part != nil {
		n = min(*part, n)
	} else if err != nil {
		return 0, err
	}
	h.fs.step(step{op: OpWrite, inode: h.inode, name: h.name, at: at, data: slices.Clone(b[:n])})
	return n, err
}

func (h *file) Truncate(size int64) error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if _, err := h.fs.fail(OpTruncate, h.name, 0); err != nil {
		return err
	}
	h.fs.step(step{op: OpTruncate, inode: h.inode, at: size})
	return nil
}

func (h *file) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if _, err := h.fs.fail(OpSync, h.name, 0); err != nil {
		return err
	}
	h.fs.step(step{op: OpSync, inode: h.inode})
	return nil
}

func (h *file) Size() (int64, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	return int64(len(h.fs.files[h.inode])), nil
}

func (h *file) Close() error { return nil }

// Content is a file's present content, to look into or to spoil.
func (f *FS) Content(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.files[f.names[name]]
}

// AddFile makes a file of the given content, as if it had always been there.
func (f *FS) AddFile(name string, content []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names[name], f.files[f.next] = f.next, content
	f.next++
	f.settle()
}

// AfterKill is the state after the process was killed once the first n steps were
// taken and, if the next is a write, cut bytes of it.
func (f *FS) AfterKill(n, cut int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.from()
	for _, s := range f.steps[:n] {
		out.do(s)
	}
	if n < len(f.steps) && f.steps[n].op == OpWrite && cut > 0 {
		s := f.steps[n]
		s.data = s.data[:min(cut, len(s.data))]
		out.do(s)
	}
	return out.settle()
}

// Unsynced names the steps among the first n that a loss of power could undo:
// writes to a file behind its last sync, and changes of names behind the last
// sync of the folder.
func (f *FS) Unsynced(n int) (open []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	synced := map[int]int{}
	dir := -1
	for i, s := range f.steps[:n] {
		switch s.op {
		case OpSync:
			synced[s.inode] = i
		case OpSyncDir:
			dir = i
		}
	}
	for i, s := range f.steps[:n] {
		switch s.op {
		case OpWrite, OpTruncate:
			if at, ever := synced[s.inode]; !ever || i > at {
				open = append(open, i)
			}
		case OpCreate, OpRename, OpRemove:
			if i > dir {
				open = append(open, i)
			}
		}
	}
	return open
}

// AfterPowerLoss is the state after a loss of power behind the first n steps, of which
// those in lost never came to the disk. Names are changed in order, so that with
// one change of a name all later ones are lost; sectors of a write come singly:
// torn, if not nil, draws which of those that are not lost come.
func (f *FS) AfterPowerLoss(n int, lost []int, torn *rand.Rand) *FS {
	const sector = 512
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.from()
	names := true
	var open []int
	if torn != nil {
		f.mu.Unlock()
		open = f.Unsynced(n)
		f.mu.Lock()
	}
	for i, s := range f.steps[:n] {
		gone := slices.Contains(lost, i)
		switch s.op {
		case OpCreate, OpRename, OpRemove:
			if names = names && !gone; names {
				out.do(s)
			} else if s.op == OpCreate { // the file is there, without a name
				out.files[s.inode] = nil
				out.next = max(out.next, s.inode+1)
			}
		case OpWrite:
			switch {
			case gone:
			case torn != nil && slices.Contains(open, i):
				for at := 0; at < len(s.data); at += sector {
					if torn.IntN(2) == 0 {
						piece := s
						piece.at += int64(at)
						piece.data = s.data[at:min(at+sector, len(s.data))]
						out.do(piece)
					}
				}
			default:
				out.do(s)
			}
		default:
			if !gone {
				out.do(s)
			}
		}
	}
	return out.settle()
}

// SetFail sets Fail while the file system is in use. Reads that Fail holds up hold
// up nothing else.
func (f *FS) SetFail(fail func(op Op, name string, size int) (part *int, err error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Fail = fail
}
