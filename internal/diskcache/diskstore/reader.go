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
	extents      []diskcache.Extent
	offset       int64 // in the first extent
	bytesLeft    int   // of the record
	checksum     uint32
	wantChecksum uint32
}

// Read starts reading a record: its header, then the body comes from the Reader. Only once
// all of the body was read does Intact tell whether the record is whole.
func (s *Store) Read(extents []diskcache.Extent, length int) (Record, *Reader, error) {
	return readRecord(s.data, s.superblock.SlotBytes, extents, length)
}

func readRecord(data File, slotBytes int, extents []diskcache.Extent, length int) (Record, *Reader, error) {
	const maxNames = 3 * MaxNameLength
	r := &Reader{data: data, slotBytes: int64(slotBytes), extents: extents, bytesLeft: max(length, 0)}
	var buffer [headerSize + maxNames]byte
	header := buffer[:headerSize]
	if _, err := io.ReadFull(r, header); err != nil {
		return Record{}, r, err
	}
	record, nameBytes, err := decodeHeader(header)
	if err != nil {
		return record, r, err
	}
	if found := headerSize + nameBytes + record.BodyBytes; found != length {
		return record, r, fmt.Errorf("%w: %d bytes where the index has %d", ErrCorruptRecord, found, length)
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

// Read gives the record's next bytes.
func (r *Reader) Read(b []byte) (int, error) {
	if r.bytesLeft == 0 || len(r.extents) == 0 {
		return 0, io.EOF
	}
	extent := r.extents[0]
	extentBytes := int64(extent.Count) * r.slotBytes
	n := min(int64(len(b)), int64(r.bytesLeft), extentBytes-r.offset)
	got, err := r.data.ReadAt(b[:n], int64(extent.Start)*r.slotBytes+r.offset)
	if int64(got) < n {
		if errors.Is(err, io.EOF) { // the file was cut
			err = io.ErrUnexpectedEOF
		}
		return got, err
	}
	r.checksum = crc32.Update(r.checksum, checksumTable, b[:n])
	r.bytesLeft -= int(n)
	r.offset += n
	if r.offset == extentBytes {
		r.extents, r.offset = r.extents[1:], 0
	}
	return int(n), nil
}

// Intact tells whether the record was read to its end and is what was written.
func (r *Reader) Intact() bool { return r.bytesLeft == 0 && r.checksum == r.wantChecksum }
