package diskstore

import (
	"fmt"
	"hash/crc32"
)

// MaxNameLength bounds each of a record's names: the header has one byte for its length.
const MaxNameLength = 255

// Byte offsets of the fields of a record's header. The names and the body follow the header.
// The checksum covers all bytes of the record after itself.
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

// Record describes a cached copy: the names and numbers that are stored with its body.
type Record struct {
	Seq                uint64
	Issued             int64 // Unix milliseconds
	Part               int64
	Class, Object, Tag string
	Group              uint8
	BodyBytes          int
}

// Length returns the record's length on disk in bytes, or 0 if a name is too long.
func (r *Record) Length() int {
	if len(r.Class) > MaxNameLength || len(r.Object) > MaxNameLength || len(r.Tag) > MaxNameLength {
		return 0
	}
	return headerSize + len(r.Class) + len(r.Object) + len(r.Tag) + r.BodyBytes
}

// appendHeader appends the header and the names of a record, with the checksum over the
// pieces of its body.
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

// decodeHeader decodes a header. nameBytes is the total length of the names that follow it.
func decodeHeader(h []byte) (r Record, nameBytes int, err error) {
	if len(h) < headerSize || string(h[recordMagicAt:headerSize]) != recordMagic {
		return r, 0, fmt.Errorf("%w: no valid header", ErrCorruptRecord)
	}
	r = Record{
		Seq:       le.Uint64(h[recordSeq:]),
		Issued:    int64(le.Uint64(h[recordIssued:])),
		Part:      int64(le.Uint64(h[recordPart:])),
		BodyBytes: int(le.Uint32(h[recordBodyBytes:])),
		Group:     h[recordGroup],
	}
	nameBytes = int(h[recordClassLength]) + int(h[recordObjectLength]) + int(h[recordTagLength])
	return r, nameBytes, nil
}

// setNames sets the names from the bytes that follow the header.
func (r *Record) setNames(h, names []byte) {
	classEnd := int(h[recordClassLength])
	objectEnd := classEnd + int(h[recordObjectLength])
	r.Class = string(names[:classEnd])
	r.Object = string(names[classEnd:objectEnd])
	r.Tag = string(names[objectEnd:])
}
