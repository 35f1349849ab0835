package diskstore

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
)

// Bounds of the size of a slot, in bytes. With smaller slots the index takes too much space
// in relation to the data; with larger ones short parts waste the disk.
const (
	MinSlotBytes = 1 << 10
	MaxSlotBytes = 1 << 20
)

// The superblock's magic, and the byte offsets of the fields after it.
const (
	superblockMagic    = "quilldoor disk\r\n"
	superblockVersion  = 16
	superblockSlotSize = 20
	superblockSeed     = 24
	superblockChecksum = 60
)

// Superblock holds the fixed parameters of a store, in a file of its own.
type Superblock struct {
	SlotBytes int
	Seed      uint64 // of the hashes of names
}

func (s Superblock) encode() []byte {
	b := make([]byte, frameSize)
	copy(b, superblockMagic)
	le.PutUint32(b[superblockVersion:], version)
	le.PutUint32(b[superblockSlotSize:], uint32(s.SlotBytes))
	le.PutUint64(b[superblockSeed:], s.Seed)
	le.PutUint32(b[superblockChecksum:], crc32.Checksum(b[:superblockChecksum], checksumTable))
	return b
}

func decodeSuperblock(b []byte) (s Superblock, err error) {
	if len(b) < superblockSlotSize || !bytes.HasPrefix(b, []byte(superblockMagic)) {
		return s, ErrNotStore
	}
	// The version is checked first: the fields after it may differ in a newer version.
	if found := le.Uint32(b[superblockVersion:]); found > version {
		return s, fmt.Errorf("%w: %d, at most %d is supported", ErrNewerVersion, found, version)
	}
	if len(b) < frameSize ||
		crc32.Checksum(b[:superblockChecksum], checksumTable) != le.Uint32(b[superblockChecksum:]) {
		return s, fmt.Errorf("%w: file %s is truncated or its checksum is wrong", ErrCorruptStore, storeName)
	}
	s.SlotBytes = int(le.Uint32(b[superblockSlotSize:]))
	s.Seed = le.Uint64(b[superblockSeed:])
	if s.SlotBytes < MinSlotBytes || s.SlotBytes > MaxSlotBytes {
		return s, fmt.Errorf("%w: slots of %d bytes, allowed are %d to %d",
			ErrCorruptStore, s.SlotBytes, MinSlotBytes, MaxSlotBytes)
	}
	return s, nil
}

func readSuperblock(fsys FS) (Superblock, error) {
	file, err := fsys.Open(storeName, false)
	if errors.Is(err, fs.ErrNotExist) {
		return Superblock{}, fmt.Errorf("%w: no file %s", ErrNotStore, storeName)
	}
	if err != nil {
		return Superblock{}, err
	}
	defer file.Close()
	b := make([]byte, frameSize)
	n, err := file.ReadAt(b, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return Superblock{}, err
	}
	return decodeSuperblock(b[:n])
}
