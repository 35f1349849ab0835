// Package diskbench compares variants of the disk cache's admission and eviction policy on a
// synthetic workload. It runs the policy alone, without a disk, sockets or a clock, so that its
// results depend on the workload's seed only.
package diskbench
