package diskstore

import (
	"fmt"
	"io"
	"slices"

	"quilldoor/internal/diskcache"
)

// Report is what a look into a folder found.
type Report struct {
	SlotBytes          int    // bytes
	IndexNumber        uint64 // number of the index
	IndexBytes         int64
	DataBytes          int64
	Frames             int
	BadFrames          int
	Parts              int
	RecordBytes        int64 // of records
	SlotsUsed          int
	Extents            int            // rows of slots; Parts, if each lies in one piece
	OverlappingRecords int            // records of which a slot belongs to another, too
	CorruptRecords     int            // records that are torn, flipped or cut; told by Check only
	PartsByClass       map[string]int // parts; told by Check only
	OldestIssuedMillis int64          // issued, Unix milliseconds
	NewestIssuedMillis int64
}

// Intact tells whether all that the index names can be served.
func (r *Report) Intact() bool { return r.OverlappingRecords == 0 && r.CorruptRecords == 0 }

// Entries gathers what an index says, by key. It takes some 200 bytes an entry;
// the tier installs what it is told without.
type Entries map[uint64]*Entry

// Put adds an entry.
func (m Entries) Put(e *Entry) {
	if old := m[e.Key]; old == nil || old.Seq < e.Seq {
		own := *e
		own.Extents = slices.Clone(e.Extents)
		m[e.Key] = &own
	}
}

// Drop removes one.
func (m Entries) Drop(d diskcache.Drop) {
	if e := m[d.Key]; e != nil && e.Seq == d.Seq {
		delete(m, d.Key)
	}
}

// Inspect reads a folder's index, and with deep all of its records. It writes
// nothing; a folder in use may change under it.
func Inspect(fsys FS, deep bool) (*Report, error) {
	super, err := readSuper(fsys)
	if err != nil {
		return nil, err
	}
	names, err := fsys.List()
	if err != nil {
		return nil, err
	}
	r := &Report{SlotBytes: super.SlotBytes, PartsByClass: map[string]int{}}
	numbers := indexes(names)
	if len(numbers) == 0 {
		return r, nil
	}
	r.IndexNumber = numbers[len(numbers)-1]
	index, err := fsys.Open(fmt.Sprintf(indexName, r.IndexNumber), false)
	if err != nil {
		return nil, err
	}
	defer index.Close()
	if r.IndexBytes, err = index.Size(); err != nil {
		return nil, err
	}
	entries := Entries{}
	found, err := readIndex(index, r.IndexNumber, entries)
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
		r.RecordBytes += int64(e.Length)
		r.Extents += len(e.Extents)
		if r.OldestIssuedMillis == 0 || e.Issued < r.OldestIssuedMillis {
			r.OldestIssuedMillis = e.Issued
		}
		r.NewestIssuedMillis = max(r.NewestIssuedMillis, e.Issued)
		if !r.take(taken, e.Extents) {
			r.OverlappingRecords++
		}
		if deep {
			rule, err := verify(data, super.SlotBytes, e)
			if err != nil {
				r.CorruptRecords++
			} else {
				r.PartsByClass[rule]++
			}
		}
	}
	return r, nil
}

func (r *Report) take(taken map[uint32]bool, runs []diskcache.Extent) bool {
	free := true
	for _, run := range runs {
		for i := range min(run.Count, MaxSlotBytes) { // a flipped count must not run on for minutes
			free = free && !taken[run.Start+i]
			taken[run.Start+i] = true
			r.SlotsUsed++
		}
	}
	return free
}

// verify reads a record whole and compares it with what the index says.
func verify(data File, slot int, e *Entry) (rule string, err error) {
	rec, from, err := read(data, slot, e.Extents, e.Length)
	if err != nil {
		return "", err
	}
	if _, err := io.Copy(io.Discard, from); err != nil {
		return "", err
	}
	if !from.Intact() || rec.Seq != e.Seq || ClassHash(rec.Class) != e.ClassHash || rec.Group != e.Group {
		return "", ErrCorruptRecord
	}
	return rec.Class, nil
}
