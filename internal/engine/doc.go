// Package engine connects the routing decisions of package policy with the
// sockets. It owns the open requests and their attempts, all timers, and the
// endpoints with their addresses. It does no I/O and reads no clock: every method
// that leads to a decision receives the current time, in microseconds of Unix time.
//
// # Flow
//
// Package downstream opens a Request and reads its queue of Commands in order.
// Package upstream carries out attempts and reports each result with AttemptEnded.
// Discovery, health checks and peers report through the other methods of Engine.
// Each report becomes a policy.Event; the policy.Actions that follow become
// Commands. A Command is a background command if it belongs to no request, or to
// one whose queue is no longer read: Run returns it to its caller.
//
// # Locking
//
//   - Engine.mu guards everything in this package except Attempt.state and
//     Attempt.Transport. It is held for decisions only, never during I/O.
//   - The exported methods of Engine and Request acquire the lock and may be
//     called from any goroutine. Only Class does not need the lock, since the
//     classes never change. Unexported methods expect the lock to be held.
//   - The callbacks requestRun (New) and notify (Open) are called with the lock
//     held: they must not block and must not call back into this package.
//   - Attempt.state is atomic. Of Begin and Withdraw only one can succeed, without
//     the lock, so that upstream can claim an attempt when it writes it.
//   - The exported fields of an Attempt, except Transport, are constant once its
//     CommandSend is in the queue. The reader of the queue sets Transport before
//     it sends the attempt. The reader of the CommandDrop, which comes later,
//     reads it.
//
// # Invariants
//
//   - A request that was opened gets exactly one of CommandRespond,
//     CommandReject and CommandFail, unless its client disconnects first.
//   - An attempt ends exactly once; later results are discarded and their
//     responses released.
//   - An attempt that has not begun when its request is closed never begins.
//   - The engine keeps a request until it is closed and all its attempts have
//     ended.
package engine
