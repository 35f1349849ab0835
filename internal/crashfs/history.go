package crashfs

import (
	"fmt"
	"maps"
	"slices"
)

// Op is a kind of operation.
type Op uint8

// The operations. All but reads are recorded in the history.
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

var opNames = [...]string{
	OpCreate:   "create",
	OpWrite:    "write",
	OpTruncate: "truncate",
	OpSync:     "sync",
	OpRename:   "rename",
	OpRemove:   "remove",
	OpSyncDir:  "syncdir",
	OpRead:     "read",
}

// String is the operation's name.
func (o Op) String() string {
	if int(o) >= len(opNames) {
		return fmt.Sprintf("Op(%d)", uint8(o))
	}
	return opNames[o]
}

// changesNames reports whether the operation changes the folder, not a file.
func (o Op) changesNames() bool { return o == OpCreate || o == OpRename || o == OpRemove }

// changesContent reports whether the operation changes a file's bytes or length.
func (o Op) changesContent() bool { return o == OpWrite || o == OpTruncate }

// step is an operation of the history.
type step struct {
	op      Op
	inode   int    // of creations and changes of content
	name    string // of changes of names
	newName string // of a renaming
	offset  int64  // of a write; of a truncation, the new length
	data    []byte // of a write
}

// state is the folder and the content of its files.
type state struct {
	inodes    map[string]int // by name
	content   map[int][]byte // by inode
	nextInode int
}

func newState() state { return state{inodes: map[string]int{}, content: map[int][]byte{}} }

// apply takes a step.
func (st *state) apply(s step) {
	switch s.op {
	case OpCreate:
		st.inodes[s.name] = s.inode
		st.createUnnamed(s.inode)
	case OpWrite:
		content := st.content[s.inode]
		if grow := int(s.offset) + len(s.data) - len(content); grow > 0 {
			content = append(content, make([]byte, grow)...)
		}
		copy(content[s.offset:], s.data)
		st.content[s.inode] = content
	case OpTruncate:
		content := st.content[s.inode]
		for int64(len(content)) < s.offset {
			content = append(content, 0)
		}
		st.content[s.inode] = content[:s.offset]
	case OpRename:
		if inode, exists := st.inodes[s.name]; exists {
			delete(st.inodes, s.name)
			st.inodes[s.newName] = inode
		}
	case OpRemove:
		delete(st.inodes, s.name)
	}
}

// createUnnamed makes an empty file that no name refers to.
func (st *state) createUnnamed(inode int) {
	st.content[inode] = nil
	st.nextInode = max(st.nextInode, inode+1)
}

func (st *state) clone() state {
	out := state{
		inodes:    maps.Clone(st.inodes),
		content:   make(map[int][]byte, len(st.content)),
		nextInode: st.nextInode,
	}
	for inode, content := range st.content {
		out.content[inode] = slices.Clone(content)
	}
	return out
}
