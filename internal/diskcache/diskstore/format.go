package diskstore

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// The format, version 1. Numbers are little-endian, checksums are CRC-32C.
//
//	store    the superblock, 64 bytes; never changed once it is written
//	data     adjacent slots of one size; a record occupies a chain of them
//	index-N  frames of 64 bytes; only the file with the highest N is valid
//	lock     locked by the process that writes
const (
	storeName = "store"
	dataName  = "data"
	indexName = "index-%016x"
	lockName  = "lock"
	newSuffix = ".new" // of a file that is renamed once it is complete

	version   = 1
	frameSize = 64 // bytes of a frame, and of the superblock
)

var (
	checksumTable = crc32.MakeTable(crc32.Castagnoli)
	le            = binary.LittleEndian
)

// Errors about the content of a directory or of a record.
var (
	ErrNotStore      = errors.New("not a quilldoor disk store")
	ErrNewerVersion  = errors.New("store of a newer format version")
	ErrCorruptStore  = errors.New("corrupt store")
	ErrCorruptRecord = errors.New("corrupt record")
)
