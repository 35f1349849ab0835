package crashfs

import (
	"math/rand/v2"
	"slices"
)

// sectorBytes is what a disk writes as a whole: a write may be torn at its multiples.
const sectorBytes = 512

// AfterKill returns the state after the process was killed once the first n steps were taken and,
// if the next one is a write, partial bytes of it.
func (f *FS) AfterKill(n, partial int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashed := f.initial.clone()
	for _, s := range f.history[:n] {
		crashed.apply(s)
	}
	if n < len(f.history) && f.history[n].op == OpWrite && partial > 0 {
		s := f.history[n]
		s.data = s.data[:min(partial, len(s.data))]
		crashed.apply(s)
	}
	return restart(crashed)
}

// Unsynced returns which of the first n steps a loss of power could undo: changes of a file after
// its last sync, and changes of names after the folder's last sync.
func (f *FS) Unsynced(n int) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unsynced(n)
}

func (f *FS) unsynced(n int) []int {
	lastSync := map[int]int{} // step by inode
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
		synced, ever := lastSync[s.inode]
		switch {
		case s.op.changesContent() && (!ever || i > synced):
			unsynced = append(unsynced, i)
		case s.op.changesNames() && i > lastDirSync:
			unsynced = append(unsynced, i)
		}
	}
	return unsynced
}

// AfterPowerLoss returns the state after a loss of power behind the first n steps, of which those
// in lost did not reach the disk. Names change in order: with one change of a name all later ones
// are lost. If torn is not nil, it draws for each sector of an unsynced write that is not lost
// whether the sector reached the disk.
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
