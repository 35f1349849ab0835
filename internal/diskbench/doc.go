// Package diskbench compares variants of the disk cache's admission and eviction policy on a
// synthetic workload. It runs the policy alone, without a disk, sockets or a real clock, so that
// its results depend only on the workload, the variant and the seed.
package diskbench
