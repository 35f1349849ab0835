// Package crashfs is an in-memory file system for crash tests of the disk store. It records the
// history of changes. From any prefix of the history it derives the states in which a kill of the
// process (AfterKill) or a power loss (AfterPowerLoss) can leave a disk. Single operations can be
// made to fail (SetFail).
package crashfs
