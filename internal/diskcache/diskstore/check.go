package diskstore

import (
	"fmt"
	"io"
	"slices"

	"quilldoor/internal/diskcache"
)

// Report is what a look into a folder found.
type Report struct {
	Slot       int    // bytes
	Index      uint64 // number of the index
	IndexBytes int64
	DataBytes  int64
	Frames     int
	BadFrames  int
	Parts      int
	Bytes      int64 // of records
	SlotsUsed  int
	Runs       int            // rows of slots; Parts, if each lies in one piece
	Overlaps   int            // records of which a slot belongs to another, too
	Broken     int            // records that are torn, flipped or cut; told by Check only
	ByRule     map[string]int // parts; told by Check only
	Oldest     int64          // issued, Unix milliseconds
	Newest     int64
}

// Sound tells whether all that the index names can be served.
func (r *Report) Sound() bool { return r.Overlaps == 0 && r.Broken == 0 }

// Entries gathers what an index says, by key. It takes some 200 bytes an entry;
// the tier installs what it is told without.
type Entries map[uint64]*Entry

// Put adds an entry.
func (m Entries) Put(e *Entry) {
	if old := m[e.Key]; old == nil || old.Seq < e.Seq {
		own := *e
		own.Runs = slices.Clone(e.Runs)
		m[e.Key] = &own
	}
}

// Drop removes one.
func (m Entries) Drop(d diskcache.Drop) {
	if e := m[d.Key]; e != nil && e.Seq == d.Seq {
		delete(m, d.Key)
	}
}

// Look reads a folder's index, and with deep all of its records. It writes
// nothing; a folder in use may change under it.
func Look(fsys FS, deep bool) (*Report, error) {
	super, err := readSuper(fsys)
	if err != nil {
		return nil, err
	}
	names, err := fsys.List()
	if err != nil {
		return nil, err
	}
	r := &Report{Slot: super.Slot, ByRule: map[string]int{}}
	numbers := indexes(names)
	if len(numbers) == 0 {
		return r, nil
	}
	r.Index = numbers[len(numbers)-1]
	index, err := fsys.Open(fmt.Sprintf(indexName, r.Index), false)
	if err != nil {
		return nil, err
	}
	defer index.Close()
	if r.IndexBytes, err = index.Size(); err != nil {
		return nil, err
	}
	entries := Entries{}
	found, err := readIndex(index, r.Index, entries)
	if err != nil {
		return nil, err
	}
	data, err := fsys.Open(dataName, false)
	if err != nil {
		return nil, err
	}
	defer data.Close()
	if r.DataBytes, err = data.Size(); err != nil {
		return nil, err
	}
	r.Frames, r.BadFrames, r.Parts = found.Frames, found.BadFrames, len(entries)
	taken := map[uint32]bool{}
	for _, e := range entries {
		r.Bytes += int64(e.Length)
		r.Runs += len(e.Runs)
		if r.Oldest == 0 || e.Issued < r.Oldest {
			r.Oldest = e.Issued
		}
		r.Newest = max(r.Newest, e.Issued)
		if !r.take(taken, e.Runs) {
			r.Overlaps++
		}
		if deep {
			rule, err := verify(data, super.Slot, e)
			if err != nil {
				r.Broken++
			} else {
				r.ByRule[rule]++
			}
		}
	}
	return r, nil
}

func (r *Report) take(taken map[uint32]bool, runs []diskcache.Run) bool {
	free := true
	for _, run := range runs {
		for i := range min(run.Count, MostSlot) { // a flipped count must not run on for minutes
			free = free && !taken[run.Start+i]
			taken[run.Start+i] = true
			r.SlotsUsed++
		}
	}
	return free
}

// verify reads a record whole and compares it with what the index says.
func verify(data File, slot int, e *Entry) (rule string, err error) {
	rec, from, err := read(data, slot, e.Runs, e.Length)
	if err != nil {
		return "", err
	}
	if _, err := io.Copy(io.Discard, from); err != nil {
		return "", err
	}
	if !from.Sound() || rec.Seq != e.Seq || RuleHash(rec.Rule) != e.Rule || rec.Group != e.Group {
		return "", ErrRecord
	}
	return rec.Rule, nil
}
