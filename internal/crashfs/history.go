package crashfs

import (
	"fmt"
	"maps"
	"slices"
)

// Op is a kind of operation.
type Op uint8

// The operations. The history records all of them except reads.
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

// changesNames reports whether the operation changes the folder's names.
func (o Op) changesNames() bool { return o == OpCreate || o == OpRename || o == OpRemove }

// changesContent reports whether the operation changes a file's bytes or length.
func (o Op) changesContent() bool { return o == OpWrite || o == OpTruncate }

// step is one recorded operation.
type step struct {
	op      Op
	inode   int    // for OpCreate, OpWrite, OpTruncate and OpSync
	name    string // for OpCreate, OpRename and OpRemove
	newName string // for OpRename
	offset  int64  // for OpWrite; for OpTruncate, the new length
	data    []byte // for OpWrite
}

// state is the folder and the content of its files.
type state struct {
	inodes    map[string]int // by name
	content   map[int][]byte // by inode
	nextInode int
}

func newState() state { return state{inodes: map[string]int{}, content: map[int][]byte{}} }

// apply changes the state by a step. A sync changes nothing.
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

// createUnnamed creates an empty file that no name refers to.
func (st *state) createUnnamed(inode int) {
	st.content[inode] = nil
	st.nextInode = max(st.nextInode, inode+1)
}

// clone returns a deep copy.
func (st *state) clone() state {
	copied := state{
		inodes:    maps.Clone(st.inodes),
		content:   make(map[int][]byte, len(st.content)),
		nextInode: st.nextInode,
	}
	for inode, content := range st.content {
		copied.content[inode] = slices.Clone(content)
	}
	return copied
}
