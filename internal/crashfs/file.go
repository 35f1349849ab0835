package crashfs

import (
	"io"
	"slices"
)

// file is an open file.
type file struct {
	fs    *FS
	name  string // the name under which it was opened
	inode int
}

func (h *file) ReadAt(b []byte, offset int64) (int, error) {
	h.fs.mu.Lock()
	fail := h.fs.fail
	h.fs.mu.Unlock()
	if fail != nil {
		if _, err := fail(OpRead, h.name, len(b)); err != nil {
			return 0, err
		}
	}
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	content := h.fs.current.content[h.inode]
	if offset >= int64(len(content)) {
		return 0, io.EOF
	}
	n := copy(b, content[offset:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (h *file) WriteAt(b []byte, offset int64) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	written, err := h.fs.checkFail(OpWrite, h.name, len(b))
	n := len(b)
	if written != nil {
		n = min(*written, n)
	} else if err != nil {
		return 0, err
	}
	h.fs.applyAndRecord(step{op: OpWrite, inode: h.inode, offset: offset, data: slices.Clone(b[:n])})
	return n, err
}

func (h *file) Truncate(size int64) error {
	return h.change(step{op: OpTruncate, inode: h.inode, offset: size})
}

func (h *file) Sync() error { return h.change(step{op: OpSync, inode: h.inode}) }

// change applies and records a step that has no data.
func (h *file) change(s step) error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if _, err := h.fs.checkFail(s.op, h.name, 0); err != nil {
		return err
	}
	h.fs.applyAndRecord(s)
	return nil
}

func (h *file) Size() (int64, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	return int64(len(h.fs.current.content[h.inode])), nil
}

func (h *file) Close() error { return nil }
