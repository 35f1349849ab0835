package diskstore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"quilldoor/internal/diskcache"
)

// The format, version 1. Numbers are little-endian, sums are CRC-32C.
//
//	store    head of the folder, 64 bytes: magic, version, bytes of a slot, seed
//	         of the names, sum; never changed once it is there
//	data     slots side by side; a record takes a chain of them
//	index-N  frames of 64 bytes; the file with the highest N counts
//	lock     held by the process that writes
const (
	storeName, dataName, lockName = "store", "data", "lock"
	indexName, newSuffix          = "index-%016x", ".new"

	magic   = "quilldoor disk\r\n"
	version = 1

	frameSize = 64
	headSize  = 40 // of a record, before its names
	// MaxNameLength bounds each of a record's names: one byte tells its length.
	MaxNameLength = 255
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Errors that tell what a folder or a record is.
var (
	ErrNotStore      = errors.New("not a store of quilldoor")
	ErrNewerVersion  = errors.New("a store of a newer version")
	ErrCorruptStore  = errors.New("broken store")
	ErrCorruptRecord = errors.New("broken record")
)

// Superblock is the folder's head.
type Superblock struct {
	SlotBytes int    // bytes
	Seed      uint64 // of the hashes of names
}

func (s Superblock) encode() []byte {
	b := make([]byte, frameSize)
	copy(b, magic)
	binary.LittleEndian.PutUint32(b[16:], version)
	binary.LittleEndian.PutUint32(b[20:], uint32(s.SlotBytes))
	binary.LittleEndian.PutUint64(b[24:], s.Seed)
	binary.LittleEndian.PutUint32(b[60:], crc32.Checksum(b[:60], table))
	return b
}

// The bounds of a slot: under them the index outweighs the data, above them
// short parts waste the disk.
const (
	MinSlotBytes = 1 << 10
	MaxSlotBytes = 1 << 20
)

func decodeSuper(b []byte) (s Superblock, err error) {
	if len(b) < 20 || !bytes.HasPrefix(b, []byte(magic)) {
		return s, ErrNotStore
	}
	// The version comes first: a newer one may look otherwise behind it.
	if v := binary.LittleEndian.Uint32(b[16:]); v > version {
		return s, fmt.Errorf("%w: %d, this is %d", ErrNewerVersion, v, version)
	}
	if len(b) < frameSize || crc32.Checksum(b[:60], table) != binary.LittleEndian.Uint32(b[60:]) {
		return s, fmt.Errorf("%w: head", ErrCorruptStore)
	}
	s.SlotBytes, s.Seed = int(binary.LittleEndian.Uint32(b[20:])), binary.LittleEndian.Uint64(b[24:])
	if s.SlotBytes < MinSlotBytes || s.SlotBytes > MaxSlotBytes {
		return s, fmt.Errorf("%w: slots of %d bytes", ErrCorruptStore, s.SlotBytes)
	}
	return s, nil
}

// kind is what a frame says.
type kind uint8

const (
	kindPut  kind = 1 + iota // a record lies in these slots
	kindMore                 // more runs of the record before
	kindDrop                 // forget a record
)

const runsInMore = 7

// A frame: sum (4), kind, group, runs in it, runs of the record (2 bytes of it
// in a put), then by kind. The sum starts from the index's own number, so that a
// frame of an older index that lay in the same blocks is none of this one's.
//
//	put   key 8, object 16, issued 24, seq 32, length 40, rule 44, runs 48, first run 52
//	more  seq 8, runs from 16 on, seven at the most
//	drop  key 8, seq 32
func frame(b []byte, number uint64, k kind, fill func(f []byte)) []byte {
	at := len(b)
	b = append(b, make([]byte, frameSize)...)
	f := b[at:]
	f[4] = byte(k)
	fill(f)
	binary.LittleEndian.PutUint32(f, frameSum(number, f))
	return b
}

func frameSum(number uint64, f []byte) uint32 {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], number)
	return crc32.Update(crc32.Checksum(n[:], table), table, f[4:frameSize])
}

// Entry is a record as the index knows it.
type Entry struct {
	Key, Object uint64
	Issued      int64
	Seq         uint64
	Length      int
	ClassHash   uint32 // RuleHash of its name
	Group       uint8
	Extents     []diskcache.Extent
}

// ClassHash names a remap rule in the index, as rules may stand in another order
// at the next start. The record itself holds the name.
func ClassHash(name string) uint32 { return crc32.Checksum([]byte(name), table) }

func appendPut(b []byte, number uint64, e *Entry) []byte {
	le := binary.LittleEndian
	b = frame(b, number, kindPut, func(f []byte) {
		f[5] = e.Group
		le.PutUint64(f[8:], e.Key)
		le.PutUint64(f[16:], e.Object)
		le.PutUint64(f[24:], uint64(e.Issued))
		le.PutUint64(f[32:], e.Seq)
		le.PutUint32(f[40:], uint32(e.Length))
		le.PutUint32(f[44:], e.ClassHash)
		le.PutUint32(f[48:], uint32(len(e.Extents)))
		le.PutUint32(f[52:], e.Extents[0].Start)
		le.PutUint32(f[56:], e.Extents[0].Count)
	})
	for rest := e.Extents[1:]; len(rest) > 0; {
		n := min(len(rest), runsInMore-1)
		b = frame(b, number, kindMore, func(f []byte) {
			f[6] = byte(n)
			le.PutUint64(f[8:], e.Seq)
			for i, r := range rest[:n] {
				le.PutUint32(f[16+8*i:], r.Start)
				le.PutUint32(f[20+8*i:], r.Count)
			}
		})
		rest = rest[n:]
	}
	return b
}

func appendDrop(b []byte, number uint64, d diskcache.Drop) []byte {
	return frame(b, number, kindDrop, func(f []byte) {
		binary.LittleEndian.PutUint64(f[8:], d.Key)
		binary.LittleEndian.PutUint64(f[32:], d.Seq)
	})
}

// Sink takes what an index says, in its order. Runs are the store's own and hold
// until Put returns.
type Sink interface {
	Put(e *Entry) // it takes the place of one of the same key and a lower number
	Drop(d diskcache.Drop)
}

// replay tells a sink what the frames of an index say. A frame that is no good is
// counted and passed over: what a lost drop leaves behind is a copy that has to
// be proven like any other, and its sum and number tell it from what lies in its
// slots now.
type replay struct {
	number uint64
	sink   Sink
	put    Entry // the one whose runs are being gathered
	wanted int   // runs of it; 0: none is
	frames int
	bad    int
	top    uint64 // the highest number of a record
}

func (r *replay) frame(f []byte) {
	r.frames++
	le := binary.LittleEndian
	if frameSum(r.number, f) != le.Uint32(f) {
		r.bad++
		r.wanted = 0
		return
	}
	switch kind(f[4]) {
	case kindPut: // one before it that stayed incomplete is none
		r.put = Entry{
			Group: f[5], Key: le.Uint64(f[8:]), Object: le.Uint64(f[16:]), Issued: int64(le.Uint64(f[24:])),
			Seq: le.Uint64(f[32:]), Length: int(le.Uint32(f[40:])), ClassHash: le.Uint32(f[44:]),
			Extents: append(r.put.Extents[:0], diskcache.Extent{Start: le.Uint32(f[52:]), Count: le.Uint32(f[56:])}),
		}
		r.top = max(r.top, r.put.Seq)
		r.wanted = int(le.Uint32(f[48:]))
	case kindMore:
		if r.wanted == 0 || r.put.Seq != le.Uint64(f[8:]) {
			return
		}
		for i := range min(int(f[6]), runsInMore-1) {
			r.put.Extents = append(r.put.Extents, diskcache.Extent{Start: le.Uint32(f[16+8*i:]), Count: le.Uint32(f[20+8*i:])})
		}
	case kindDrop:
		d := diskcache.Drop{Key: le.Uint64(f[8:]), Seq: le.Uint64(f[32:])}
		r.top = max(r.top, d.Seq)
		r.wanted = 0
		r.sink.Drop(d)
	}
	if r.wanted > 0 && len(r.put.Extents) >= r.wanted {
		r.wanted = 0
		r.sink.Put(&r.put)
	}
}

// Record is a copy with all that names it.
type Record struct {
	Seq                uint64
	Issued             int64 // Unix milliseconds
	Part               int64
	Class, Object, Tag string
	Group              uint8
	BodyBytes          int // bytes
}

// Length is the record's on disk, or 0 if a name is too long for it.
func (r *Record) Length() int {
	if len(r.Class) > MaxNameLength || len(r.Object) > MaxNameLength || len(r.Tag) > MaxNameLength {
		return 0
	}
	return headSize + len(r.Class) + len(r.Object) + len(r.Tag) + r.BodyBytes
}

// appendHead writes the head for a body in pieces:
//
//	sum of all behind it 0, seq 4, issued 12, part 20, body's length 28,
//	lengths of rule, object and tag 32, group 35, magic 36, the names
func appendHead(b []byte, r *Record, body [][]byte) []byte {
	le := binary.LittleEndian
	at := len(b)
	b = append(b, make([]byte, headSize)...)
	h := b[at:]
	le.PutUint64(h[4:], r.Seq)
	le.PutUint64(h[12:], uint64(r.Issued))
	le.PutUint64(h[20:], uint64(r.Part))
	le.PutUint32(h[28:], uint32(r.BodyBytes))
	h[32], h[33], h[34], h[35] = byte(len(r.Class)), byte(len(r.Object)), byte(len(r.Tag)), r.Group
	copy(h[36:], "QDR\x01")
	b = append(append(append(b, r.Class...), r.Object...), r.Tag...)
	sum := crc32.Checksum(b[at+4:], table)
	for _, piece := range body {
		sum = crc32.Update(sum, table, piece)
	}
	le.PutUint32(b[at:], sum)
	return b
}

// decodeHead reads a head; names must have all of its names' bytes.
func decodeHead(h []byte) (r Record, names int, err error) {
	le := binary.LittleEndian
	if len(h) < headSize || string(h[36:40]) != "QDR\x01" {
		return r, 0, fmt.Errorf("%w: no head", ErrCorruptRecord)
	}
	r = Record{
		Seq: le.Uint64(h[4:]), Issued: int64(le.Uint64(h[12:])), Part: int64(le.Uint64(h[20:])),
		BodyBytes: int(le.Uint32(h[28:])), Group: h[35],
	}
	return r, int(h[32]) + int(h[33]) + int(h[34]), nil
}
