package diskstore

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"quilldoor/internal/diskcache"
)

// Reader reads a record from its slots.
type Reader struct {
	data         File
	slotBytes    int64
	extents      []diskcache.Extent // that are not read yet, or only in part
	offset       int64              // of the next byte in the first extent
	bytesLeft    int                // of the record
	checksum     uint32
	wantChecksum uint32
}

// Read reads the header and the names of a record, and returns a Reader for its body. The
// Reader's Intact is meaningful only after the whole body was read.
func (s *Store) Read(extents []diskcache.Extent, length int) (Record, *Reader, error) {
	return readRecord(s.data, s.superblock.SlotBytes, extents, length)
}

func readRecord(data File, slotBytes int, extents []diskcache.Extent, length int) (Record, *Reader, error) {
	const maxNameBytes = 3 * MaxNameLength
	r := &Reader{data: data, slotBytes: int64(slotBytes), extents: extents, bytesLeft: max(length, 0)}
	var buffer [headerSize + maxNameBytes]byte
	header := buffer[:headerSize]
	if _, err := io.ReadFull(r, header); err != nil {
		return Record{}, r, err
	}
	record, nameBytes, err := decodeHeader(header)
	if err != nil {
		return record, r, err
	}
	if recordLength := headerSize + nameBytes + record.BodyBytes; recordLength != length {
		return record, r, fmt.Errorf("%w: %d bytes long by its header, %d by the index",
			ErrCorruptRecord, recordLength, length)
	}
	names := buffer[headerSize : headerSize+nameBytes]
	if _, err := io.ReadFull(r, names); err != nil {
		return record, r, err
	}
	record.setNames(header, names)
	r.wantChecksum = le.Uint32(header[recordChecksum:])
	r.checksum = crc32.Update(crc32.Checksum(header[recordSeq:], checksumTable), checksumTable, names)
	return record, r, nil
}

// Read reads the record's next bytes.
func (r *Reader) Read(b []byte) (int, error) {
	if r.bytesLeft == 0 || len(r.extents) == 0 {
		return 0, io.EOF
	}
	extent := r.extents[0]
	extentBytes := int64(extent.Count) * r.slotBytes
	wanted := min(int64(len(b)), int64(r.bytesLeft), extentBytes-r.offset)
	n, err := r.data.ReadAt(b[:wanted], int64(extent.Start)*r.slotBytes+r.offset)
	if int64(n) < wanted {
		if errors.Is(err, io.EOF) { // the data file is truncated
			err = io.ErrUnexpectedEOF
		}
		return n, err
	}
	r.checksum = crc32.Update(r.checksum, checksumTable, b[:wanted])
	r.bytesLeft -= int(wanted)
	r.offset += wanted
	if r.offset == extentBytes {
		r.extents, r.offset = r.extents[1:], 0
	}
	return int(wanted), nil
}

// Intact reports whether the record was read to its end and its checksum is correct.
func (r *Reader) Intact() bool { return r.bytesLeft == 0 && r.checksum == r.wantChecksum }
