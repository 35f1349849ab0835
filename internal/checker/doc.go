// Package checker checks an event log against the five rules of the platform. It depends on
// neither the router nor the simulation: its only input is the log's requests, attempts,
// executions, notifications and answers.
//
// The rules by number:
//
//  1. A request gets one final answer, in time.
//  2. No request has its effect twice.
//  3. A draining or removed endpoint gets no new work.
//  4. Slow-start budgets hold.
//  5. No answer is a copy older than a purge.
package checker
