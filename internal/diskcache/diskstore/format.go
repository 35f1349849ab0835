package diskstore

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// The format, version 1. Numbers are little-endian, checksums are CRC-32C.
//
//	store    the superblock, 64 bytes; never changed once it is there
//	data     slots side by side; a record takes a chain of them
//	index-N  frames of 64 bytes; the file with the highest N counts
//	lock     held by the process that writes
const (
	storeName = "store"
	dataName  = "data"
	indexName = "index-%016x"
	lockName  = "lock"
	newSuffix = ".new" // of a file that is renamed once it is whole

	version   = 1
	frameSize = 64 // bytes, also of the superblock
)

var (
	checksumTable = crc32.MakeTable(crc32.Castagnoli)
	le            = binary.LittleEndian
)

// Errors that tell what a folder or a record is.
var (
	ErrNotStore      = errors.New("not a store of quilldoor")
	ErrNewerVersion  = errors.New("a store of a newer version")
	ErrCorruptStore  = errors.New("corrupt store")
	ErrCorruptRecord = errors.New("corrupt record")
)
