// Package engine stands between the routing decisions (package policy) and the
// sockets. It owns the open requests, their attempts, all timers and the
// endpoints with their addresses. It does no I/O and reads no clock: every call
// that decides something is handed the time, in microseconds of Unix time.
//
// # Flow
//
// Downstream opens a Request and reads its queue of Commands in order.
// Upstream carries out attempts and reports each with AttemptEnded. Discovery,
// health checks and peers report through the other methods of Engine. Each of
// them becomes a policy.Event; the policy.Actions that follow become Commands.
// A Command that belongs to no request, or to one whose queue is no longer
// read, is a background command: Run hands it to its caller.
//
// # Locking
//
//   - Engine.mu guards everything in this package except Attempt.state and
//     Attempt.Transport. It is held for decisions only, never over I/O.
//   - The exported methods of Engine and Request take the lock (but for Class,
//     which reads what never changes) and may be called from any goroutine.
//     Unexported methods expect the lock to be held.
//   - The callbacks kick (New) and wake (Open) are called with the lock held:
//     they must not block and must not call back into this package.
//   - Attempt.state is atomic. Begin and Withdraw exclude each other without
//     the lock, so that upstream can claim an attempt at the moment of writing.
//   - The other exported fields of an Attempt are constant once its CommandSend
//     is in the queue. Transport is set by the reader of the queue before
//     it sends the attempt, and read by the reader of its CommandDrop, which
//     comes later.
//
// # Invariants
//
//   - A request that was opened gets exactly one of CommandRespond,
//     CommandReject and CommandFail, unless its client leaves first.
//   - An attempt ends exactly once; later outcomes are discarded and their
//     responses released.
//   - An attempt of a closed request that has not begun will not begin.
//   - A request is remembered until it is closed and all its attempts ended.
package engine
