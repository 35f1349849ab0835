package crashfs

import (
	"math/rand/v2"
	"slices"
)

// sectorBytes is the unit that a disk writes atomically. A write may be torn at multiples of it.
const sectorBytes = 512

// AfterKill returns the file system after a kill of the process that followed the first n steps of
// the history. If the step after them is a write, its first partialBytes bytes were written too.
func (f *FS) AfterKill(n, partialBytes int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashed := f.initial.clone()
	for _, s := range f.history[:n] {
		crashed.apply(s)
	}
	if n < len(f.history) && f.history[n].op == OpWrite && partialBytes > 0 {
		s := f.history[n]
		s.data = s.data[:min(partialBytes, len(s.data))]
		crashed.apply(s)
	}
	return restart(crashed)
}

// Unsynced returns the indices of the steps, among the first n, that a power loss could undo:
// changes of a file's content after its last sync, and changes of names after the folder's last
// sync.
func (f *FS) Unsynced(n int) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unsynced(n)
}

func (f *FS) unsynced(n int) []int {
	lastSync := map[int]int{} // index of the step, by inode
	lastDirSync := -1
	for i, s := range f.history[:n] {
		switch s.op {
		case OpSync:
			lastSync[s.inode] = i
		case OpSyncDir:
			lastDirSync = i
		}
	}
	var unsynced []int
	for i, s := range f.history[:n] {
		lastSyncIndex, everSynced := lastSync[s.inode]
		switch {
		case s.op.changesContent() && (!everSynced || i > lastSyncIndex):
			unsynced = append(unsynced, i)
		case s.op.changesNames() && i > lastDirSync:
			unsynced = append(unsynced, i)
		}
	}
	return unsynced
}

// AfterPowerLoss returns the file system after a power loss that followed the first n steps of the
// history. The steps whose indices are in lost did not reach the disk. Changes of names reach the
// disk in order: if one is lost, so are all later ones. If torn is not nil, an unsynced write that
// is not lost may be torn: torn draws for each of its sectors whether the sector reached the disk.
func (f *FS) AfterPowerLoss(n int, lost []int, torn *rand.Rand) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashed := f.initial.clone()
	var unsynced []int
	if torn != nil {
		unsynced = f.unsynced(n)
	}
	namesKept := true
	for i, s := range f.history[:n] {
		isLost := slices.Contains(lost, i)
		switch {
		case s.op.changesNames():
			namesKept = namesKept && !isLost
			if namesKept {
				crashed.apply(s)
			} else if s.op == OpCreate {
				crashed.createUnnamed(s.inode)
			}
		case isLost:
		case s.op == OpWrite && slices.Contains(unsynced, i):
			applyTorn(&crashed, s, torn)
		default:
			crashed.apply(s)
		}
	}
	return restart(crashed)
}

// applyTorn applies a random choice of a write's sectors.
func applyTorn(st *state, write step, torn *rand.Rand) {
	for start := 0; start < len(write.data); start += sectorBytes {
		if torn.IntN(2) != 0 {
			continue
		}
		sector := write
		sector.offset += int64(start)
		sector.data = write.data[start:min(start+sectorBytes, len(write.data))]
		st.apply(sector)
	}
}

// restart returns a file system that begins with the given state.
func restart(st state) *FS { return &FS{current: st, initial: st.clone()} }
