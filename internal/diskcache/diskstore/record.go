package diskstore

import (
	"fmt"
	"hash/crc32"
)

// MaxNameLength bounds each of a record's names: one byte tells its length.
const MaxNameLength = 255

// A record's header, before its names. The checksum is that of all behind it.
const (
	recordChecksum     = 0
	recordSeq          = 4
	recordIssued       = 12
	recordPart         = 20
	recordBodyBytes    = 28
	recordClassLength  = 32
	recordObjectLength = 33
	recordTagLength    = 34
	recordGroup        = 35
	recordMagicAt      = 36
	recordMagic        = "QDR\x01"
	headerSize         = 40
)

// Record is a copy with all that names it.
type Record struct {
	Seq                uint64
	Issued             int64 // Unix milliseconds
	Part               int64
	Class, Object, Tag string
	Group              uint8
	BodyBytes          int
}

// Length is the record's length on disk; 0: a name is too long.
func (r *Record) Length() int {
	if len(r.Class) > MaxNameLength || len(r.Object) > MaxNameLength || len(r.Tag) > MaxNameLength {
		return 0
	}
	return headerSize + len(r.Class) + len(r.Object) + len(r.Tag) + r.BodyBytes
}

// appendHeader appends the header and the names of a record with a body in pieces.
func appendHeader(b []byte, r *Record, body [][]byte) []byte {
	at := len(b)
	b = append(b, make([]byte, headerSize)...)
	h := b[at:]
	le.PutUint64(h[recordSeq:], r.Seq)
	le.PutUint64(h[recordIssued:], uint64(r.Issued))
	le.PutUint64(h[recordPart:], uint64(r.Part))
	le.PutUint32(h[recordBodyBytes:], uint32(r.BodyBytes))
	h[recordClassLength] = byte(len(r.Class))
	h[recordObjectLength] = byte(len(r.Object))
	h[recordTagLength] = byte(len(r.Tag))
	h[recordGroup] = r.Group
	copy(h[recordMagicAt:], recordMagic)
	b = append(b, r.Class...)
	b = append(b, r.Object...)
	b = append(b, r.Tag...)
	checksum := crc32.Checksum(b[at+recordSeq:], checksumTable)
	for _, piece := range body {
		checksum = crc32.Update(checksum, checksumTable, piece)
	}
	le.PutUint32(b[at+recordChecksum:], checksum)
	return b
}

// decodeHeader reads a header. Names is the length of the names behind it.
func decodeHeader(h []byte) (r Record, names int, err error) {
	if len(h) < headerSize || string(h[recordMagicAt:headerSize]) != recordMagic {
		return r, 0, fmt.Errorf("%w: no header", ErrCorruptRecord)
	}
	r = Record{
		Seq:       le.Uint64(h[recordSeq:]),
		Issued:    int64(le.Uint64(h[recordIssued:])),
		Part:      int64(le.Uint64(h[recordPart:])),
		BodyBytes: int(le.Uint32(h[recordBodyBytes:])),
		Group:     h[recordGroup],
	}
	names = int(h[recordClassLength]) + int(h[recordObjectLength]) + int(h[recordTagLength])
	return r, names, nil
}

// setNames takes the names that stand behind a header.
func (r *Record) setNames(h, names []byte) {
	class := int(h[recordClassLength])
	object := class + int(h[recordObjectLength])
	r.Class = string(names[:class])
	r.Object = string(names[class:object])
	r.Tag = string(names[object:])
}
