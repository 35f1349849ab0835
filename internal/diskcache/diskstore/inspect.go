package diskstore

import (
	"fmt"
	"io"
	"slices"

	"quilldoor/internal/diskcache"
)

// Report is the result of an inspection of a directory.
type Report struct {
	SlotBytes          int
	IndexNumber        uint64
	IndexBytes         int64
	DataBytes          int64
	Frames             int
	BadFrames          int
	Parts              int
	RecordBytes        int64
	SlotsUsed          int
	Extents            int            // equal to Parts if each record is contiguous
	OverlappingRecords int            // records with a slot that also belongs to another record
	CorruptRecords     int            // torn, truncated or with flipped bits; only if records are read
	PartsByClass       map[string]int // only if records are read
	OldestIssuedMillis int64          // Unix milliseconds
	NewestIssuedMillis int64
}

// Intact reports whether all records in the index can be served, as far as they were checked.
func (r *Report) Intact() bool { return r.OverlappingRecords == 0 && r.CorruptRecords == 0 }

// Entries is a Sink that collects the entries of an index by key, in about 200 bytes each.
type Entries map[uint64]*Entry

// Put adds an entry, unless the map has a later one of the same key.
func (m Entries) Put(entry *Entry) {
	if old := m[entry.Key]; old == nil || old.Seq < entry.Seq {
		clone := *entry
		clone.Extents = slices.Clone(entry.Extents)
		m[entry.Key] = &clone
	}
}

// Drop removes the entry with the key and the Seq of the drop.
func (m Entries) Drop(drop diskcache.Drop) {
	if entry := m[drop.Key]; entry != nil && entry.Seq == drop.Seq {
		delete(m, drop.Key)
	}
}

// Inspect reads the index of a directory, and with readRecords also all records. It writes
// nothing and takes no lock, so that a router that uses the directory may change it meanwhile.
func Inspect(fsys FS, readRecords bool) (*Report, error) {
	superblock, err := readSuperblock(fsys)
	if err != nil {
		return nil, err
	}
	names, err := fsys.List()
	if err != nil {
		return nil, err
	}
	report := &Report{SlotBytes: superblock.SlotBytes, PartsByClass: map[string]int{}}
	numbers := sortedIndexNumbers(names)
	if len(numbers) == 0 {
		return report, nil
	}
	report.IndexNumber = numbers[len(numbers)-1]
	entries, err := report.readIndex(fsys)
	if err != nil {
		return nil, err
	}
	data, err := fsys.Open(dataName, false)
	if err != nil {
		return nil, err
	}
	defer data.Close()
	if report.DataBytes, err = data.Size(); err != nil {
		return nil, err
	}
	report.countEntries(entries)
	if readRecords {
		report.verifyRecords(data, entries)
	}
	return report, nil
}

func (r *Report) readIndex(fsys FS) (Entries, error) {
	index, err := fsys.Open(fmt.Sprintf(indexName, r.IndexNumber), false)
	if err != nil {
		return nil, err
	}
	defer index.Close()
	if r.IndexBytes, err = index.Size(); err != nil {
		return nil, err
	}
	entries := Entries{}
	recovery, err := readIndex(index, r.IndexNumber, entries)
	if err != nil {
		return nil, err
	}
	r.Frames = recovery.Frames
	r.BadFrames = recovery.BadFrames
	r.Parts = len(entries)
	return entries, nil
}

func (r *Report) countEntries(entries Entries) {
	taken := map[uint32]bool{}
	for _, entry := range entries {
		r.RecordBytes += int64(entry.Length)
		r.Extents += len(entry.Extents)
		if r.OldestIssuedMillis == 0 || entry.Issued < r.OldestIssuedMillis {
			r.OldestIssuedMillis = entry.Issued
		}
		r.NewestIssuedMillis = max(r.NewestIssuedMillis, entry.Issued)
		if !r.markSlots(taken, entry.Extents) {
			r.OverlappingRecords++
		}
	}
}

// markSlots marks the slots of the extents as taken and reports whether all of them were
// free.
func (r *Report) markSlots(taken map[uint32]bool, extents []diskcache.Extent) bool {
	free := true
	for _, extent := range extents {
		for i := range min(extent.Count, MaxSlotBytes) { // a corrupt count would take minutes without the bound
			slot := extent.Start + i
			free = free && !taken[slot]
			taken[slot] = true
			r.SlotsUsed++
		}
	}
	return free
}

func (r *Report) verifyRecords(data File, entries Entries) {
	for _, entry := range entries {
		class, err := verifyRecord(data, r.SlotBytes, entry)
		if err != nil {
			r.CorruptRecords++
		} else {
			r.PartsByClass[class]++
		}
	}
}

// verifyRecord reads a whole record, verifies its checksum and compares it with its entry.
func verifyRecord(data File, slotBytes int, entry *Entry) (class string, err error) {
	record, reader, err := readRecord(data, slotBytes, entry.Extents, entry.Length)
	if err != nil {
		return "", err
	}
	if _, err := io.Copy(io.Discard, reader); err != nil {
		return "", err
	}
	if !reader.Intact() || record.Seq != entry.Seq || ClassHash(record.Class) != entry.ClassHash || record.Group != entry.Group {
		return "", ErrCorruptRecord
	}
	return record.Class, nil
}
