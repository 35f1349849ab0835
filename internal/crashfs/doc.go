// Package crashfs is an in-memory file system for crash tests of the disk store. It records the
// history of changes and derives from any prefix of it the states in which the death of the
// process (AfterKill) or a loss of power (AfterPowerLoss) can leave a disk. Single operations
// can be made to fail (SetFail).
package crashfs
