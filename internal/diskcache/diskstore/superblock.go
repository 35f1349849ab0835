package diskstore

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
)

// The bounds of a slot, in bytes. Below them the index outweighs the data, above them
// short parts waste the disk.
const (
	MinSlotBytes = 1 << 10
	MaxSlotBytes = 1 << 20
)

// The superblock's bytes.
const (
	superblockMagic    = "quilldoor disk\r\n"
	superblockVersion  = 16
	superblockSlots    = 20
	superblockSeed     = 24
	superblockChecksum = 60
)

// Superblock is the store's first file.
type Superblock struct {
	SlotBytes int
	Seed      uint64 // of the hashes of names
}

func (s Superblock) encode() []byte {
	b := make([]byte, frameSize)
	copy(b, superblockMagic)
	le.PutUint32(b[superblockVersion:], version)
	le.PutUint32(b[superblockSlots:], uint32(s.SlotBytes))
	le.PutUint64(b[superblockSeed:], s.Seed)
	le.PutUint32(b[superblockChecksum:], crc32.Checksum(b[:superblockChecksum], checksumTable))
	return b
}

func decodeSuperblock(b []byte) (s Superblock, err error) {
	if len(b) < superblockSlots || !bytes.HasPrefix(b, []byte(superblockMagic)) {
		return s, ErrNotStore
	}
	// The version comes first: a newer one may have another layout behind it.
	if v := le.Uint32(b[superblockVersion:]); v > version {
		return s, fmt.Errorf("%w: %d, this is %d", ErrNewerVersion, v, version)
	}
	if len(b) < frameSize ||
		crc32.Checksum(b[:superblockChecksum], checksumTable) != le.Uint32(b[superblockChecksum:]) {
		return s, fmt.Errorf("%w: superblock", ErrCorruptStore)
	}
	s.SlotBytes = int(le.Uint32(b[superblockSlots:]))
	s.Seed = le.Uint64(b[superblockSeed:])
	if s.SlotBytes < MinSlotBytes || s.SlotBytes > MaxSlotBytes {
		return s, fmt.Errorf("%w: slots of %d bytes", ErrCorruptStore, s.SlotBytes)
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
