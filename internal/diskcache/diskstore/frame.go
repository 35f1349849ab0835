package diskstore

import (
	"hash/crc32"

	"quilldoor/internal/diskcache"
)

// frameKind is the type of a frame of the index.
type frameKind uint8

const (
	kindPut  frameKind = 1 + iota // adds a record, with its first extent
	kindMore                      // further extents of the record that was added last
	kindDrop                      // removes a record
)

// Byte offsets of a frame's fields. The key and the sequence number are at the same offsets
// in a put and a drop.
const (
	frameChecksumAt  = 0
	frameKindAt      = 4
	frameGroup       = 5 // in a kindPut frame
	frameMoreCount   = 6 // number of extents in a kindMore frame
	frameKey         = 8
	frameObject      = 16
	frameIssued      = 24
	frameSeq         = 32
	frameLength      = 40
	frameClassHash   = 44
	frameExtentCount = 48 // number of extents of the record
	frameFirstExtent = 52

	// In a kindMore frame:
	frameMoreSeq     = 8
	frameMoreExtents = 16
)

const (
	extentSize     = 8 // bytes
	maxMoreExtents = 6 // in a kindMore frame
)

// appendFrame appends a frame whose fields fill sets. The checksum also covers the number of
// the index, so that a frame that an older index left in the same disk blocks is not valid
// in this one.
func appendFrame(b []byte, indexNumber uint64, kind frameKind, fill func(frame []byte)) []byte {
	at := len(b)
	b = append(b, make([]byte, frameSize)...)
	frame := b[at:]
	frame[frameKindAt] = byte(kind)
	fill(frame)
	le.PutUint32(frame[frameChecksumAt:], frameChecksum(indexNumber, frame))
	return b
}

func frameChecksum(indexNumber uint64, frame []byte) uint32 {
	var prefix [8]byte
	le.PutUint64(prefix[:], indexNumber)
	return crc32.Update(crc32.Checksum(prefix[:], checksumTable), checksumTable, frame[frameKindAt:frameSize])
}

func putExtent(b []byte, extent diskcache.Extent) {
	le.PutUint32(b, extent.Start)
	le.PutUint32(b[4:], extent.Count)
}

func getExtent(b []byte) diskcache.Extent {
	return diskcache.Extent{Start: le.Uint32(b), Count: le.Uint32(b[4:])}
}

// Entry describes a record in the index.
type Entry struct {
	Key, Object uint64
	Issued      int64 // Unix milliseconds
	Seq         uint64
	Length      int // bytes on disk, without the unused rest of the last slot
	ClassHash   uint32
	Group       uint8
	Extents     []diskcache.Extent
}

// ClassHash returns the hash that identifies a traffic class in the index. An index into the
// list of classes would not do: their order may change between two starts. The record itself
// contains the name.
func ClassHash(name string) uint32 { return crc32.Checksum([]byte(name), checksumTable) }

func appendPut(b []byte, indexNumber uint64, entry *Entry) []byte {
	b = appendFrame(b, indexNumber, kindPut, func(frame []byte) {
		frame[frameGroup] = entry.Group
		le.PutUint64(frame[frameKey:], entry.Key)
		le.PutUint64(frame[frameObject:], entry.Object)
		le.PutUint64(frame[frameIssued:], uint64(entry.Issued))
		le.PutUint64(frame[frameSeq:], entry.Seq)
		le.PutUint32(frame[frameLength:], uint32(entry.Length))
		le.PutUint32(frame[frameClassHash:], entry.ClassHash)
		le.PutUint32(frame[frameExtentCount:], uint32(len(entry.Extents)))
		putExtent(frame[frameFirstExtent:], entry.Extents[0])
	})
	for rest := entry.Extents[1:]; len(rest) > 0; {
		count := min(len(rest), maxMoreExtents)
		b = appendMore(b, indexNumber, entry.Seq, rest[:count])
		rest = rest[count:]
	}
	return b
}

func appendMore(b []byte, indexNumber, seq uint64, extents []diskcache.Extent) []byte {
	return appendFrame(b, indexNumber, kindMore, func(frame []byte) {
		frame[frameMoreCount] = byte(len(extents))
		le.PutUint64(frame[frameMoreSeq:], seq)
		for i, extent := range extents {
			putExtent(frame[frameMoreExtents+extentSize*i:], extent)
		}
	})
}

func appendDrop(b []byte, indexNumber uint64, drop diskcache.Drop) []byte {
	return appendFrame(b, indexNumber, kindDrop, func(frame []byte) {
		le.PutUint64(frame[frameKey:], drop.Key)
		le.PutUint64(frame[frameSeq:], drop.Seq)
	})
}

// Sink receives the puts and drops of an index in their order. The extents of an entry are
// valid until Put returns.
type Sink interface {
	Put(entry *Entry) // replaces an entry of the same key with a lower Seq
	Drop(drop diskcache.Drop)
}

// frameReplay passes the puts and drops in the frames of an index to a sink. A bad frame is
// counted and skipped. If it was a drop, its entry remains. That is safe: the copy is
// revalidated like any other, and once another record is in its slots, the checksum and Seq
// no longer match.
type frameReplay struct {
	indexNumber   uint64
	sink          Sink
	pending       Entry // entry whose extents are not complete yet
	extentsWanted int   // number of extents of pending; 0: no entry is pending
	frames        int
	badFrames     int
	maxSeq        uint64
}

func (r *frameReplay) handle(frame []byte) {
	r.frames++
	if frameChecksum(r.indexNumber, frame) != le.Uint32(frame[frameChecksumAt:]) {
		r.badFrames++
		r.extentsWanted = 0
		return
	}
	switch frameKind(frame[frameKindAt]) {
	case kindPut:
		r.beginEntry(frame) // discards an incomplete pending entry
	case kindMore:
		if r.extentsWanted == 0 || r.pending.Seq != le.Uint64(frame[frameMoreSeq:]) {
			return
		}
		for i := range min(int(frame[frameMoreCount]), maxMoreExtents) {
			r.pending.Extents = append(r.pending.Extents, getExtent(frame[frameMoreExtents+extentSize*i:]))
		}
	case kindDrop:
		drop := diskcache.Drop{Key: le.Uint64(frame[frameKey:]), Seq: le.Uint64(frame[frameSeq:])}
		r.maxSeq = max(r.maxSeq, drop.Seq)
		r.extentsWanted = 0
		r.sink.Drop(drop)
	}
	if r.extentsWanted > 0 && len(r.pending.Extents) >= r.extentsWanted {
		r.extentsWanted = 0
		r.sink.Put(&r.pending)
	}
}

func (r *frameReplay) beginEntry(frame []byte) {
	r.pending = Entry{
		Group:     frame[frameGroup],
		Key:       le.Uint64(frame[frameKey:]),
		Object:    le.Uint64(frame[frameObject:]),
		Issued:    int64(le.Uint64(frame[frameIssued:])),
		Seq:       le.Uint64(frame[frameSeq:]),
		Length:    int(le.Uint32(frame[frameLength:])),
		ClassHash: le.Uint32(frame[frameClassHash:]),
		Extents:   append(r.pending.Extents[:0], getExtent(frame[frameFirstExtent:])),
	}
	r.maxSeq = max(r.maxSeq, r.pending.Seq)
	r.extentsWanted = int(le.Uint32(frame[frameExtentCount:]))
}
