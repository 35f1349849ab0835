// Package checker judges an event log by the five rules. It knows neither the router nor
// the simulation: only what was requested, sent, executed, notified and answered.
//
// The rules, by their numbers: 1, one final answer in time; 2, no effect twice; 3, nothing
// new to draining or removed endpoints; 4, slow-start budgets; 5, no copy older than a
// purge.
package checker
