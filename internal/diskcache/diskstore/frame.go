package diskstore

import (
	"hash/crc32"

	"quilldoor/internal/diskcache"
)

// frameKind is what a frame of the index says.
type frameKind uint8

const (
	kindPut  frameKind = 1 + iota // a record lies in these slots
	kindMore                      // more extents of the record before
	kindDrop                      // forget a record
)

// A frame's bytes. Those of a put and a drop are at the same places.
const (
	frameChecksumAt  = 0
	frameKindAt      = 4
	frameGroup       = 5 // of a put
	frameMoreCount   = 6 // extents in a kindMore frame
	frameKey         = 8
	frameObject      = 16
	frameIssued      = 24
	frameSeq         = 32
	frameLength      = 40
	frameClassHash   = 44
	frameExtentCount = 48 // of the record
	frameFirstExtent = 52

	frameMoreSeq     = 8
	frameMoreExtents = 16
	extentSize       = 8
	// maxMoreExtents in a kindMore frame.
	maxMoreExtents = 6
)

// appendFrame appends a frame that fill has filled. Its checksum starts from the index's
// own number, so that a frame of an older index that lay in the same blocks is none of
// this one's.
func appendFrame(b []byte, number uint64, kind frameKind, fill func(frame []byte)) []byte {
	at := len(b)
	b = append(b, make([]byte, frameSize)...)
	frame := b[at:]
	frame[frameKindAt] = byte(kind)
	fill(frame)
	le.PutUint32(frame[frameChecksumAt:], frameChecksum(number, frame))
	return b
}

func frameChecksum(number uint64, frame []byte) uint32 {
	var prefix [8]byte
	le.PutUint64(prefix[:], number)
	return crc32.Update(crc32.Checksum(prefix[:], checksumTable), checksumTable, frame[frameKindAt:frameSize])
}

func putExtent(b []byte, extent diskcache.Extent) {
	le.PutUint32(b, extent.Start)
	le.PutUint32(b[4:], extent.Count)
}

func getExtent(b []byte) diskcache.Extent {
	return diskcache.Extent{Start: le.Uint32(b), Count: le.Uint32(b[4:])}
}

// Entry is a record as the index knows it.
type Entry struct {
	Key, Object uint64
	Issued      int64 // Unix milliseconds
	Seq         uint64
	Length      int // bytes on disk
	ClassHash   uint32
	Group       uint8
	Extents     []diskcache.Extent
}

// ClassHash names a traffic class in the index, as classes may be in another order at the
// next start. The record itself has the name.
func ClassHash(name string) uint32 { return crc32.Checksum([]byte(name), checksumTable) }

func appendPut(b []byte, number uint64, entry *Entry) []byte {
	b = appendFrame(b, number, kindPut, func(frame []byte) {
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
		n := min(len(rest), maxMoreExtents)
		b = appendMore(b, number, entry.Seq, rest[:n])
		rest = rest[n:]
	}
	return b
}

func appendMore(b []byte, number, seq uint64, extents []diskcache.Extent) []byte {
	return appendFrame(b, number, kindMore, func(frame []byte) {
		frame[frameMoreCount] = byte(len(extents))
		le.PutUint64(frame[frameMoreSeq:], seq)
		for i, extent := range extents {
			putExtent(frame[frameMoreExtents+extentSize*i:], extent)
		}
	})
}

func appendDrop(b []byte, number uint64, drop diskcache.Drop) []byte {
	return appendFrame(b, number, kindDrop, func(frame []byte) {
		le.PutUint64(frame[frameKey:], drop.Key)
		le.PutUint64(frame[frameSeq:], drop.Seq)
	})
}

// Sink takes what an index says, in its order. An entry's extents are valid until Put
// returns.
type Sink interface {
	Put(entry *Entry) // it replaces one of the same key and a lower number
	Drop(drop diskcache.Drop)
}

// frameReplay tells a sink what the frames of an index say. A bad frame is counted and
// skipped: what a lost drop leaves behind is a copy that is revalidated like any other,
// and its checksum and number tell it from what lies in its slots now.
type frameReplay struct {
	number        uint64
	sink          Sink
	pending       Entry // whose extents are being gathered
	extentsWanted int   // of pending; 0: there is none
	frames        int
	badFrames     int
	maxSeq        uint64
}

func (r *frameReplay) handle(frame []byte) {
	r.frames++
	if frameChecksum(r.number, frame) != le.Uint32(frame[frameChecksumAt:]) {
		r.badFrames++
		r.extentsWanted = 0
		return
	}
	switch frameKind(frame[frameKindAt]) {
	case kindPut:
		r.beginEntry(frame) // a pending one that stayed incomplete is forgotten
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
