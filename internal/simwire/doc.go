// Package simwire reads and writes the simulator's wire: a line of JSON for each batch of events, and a line for
// the reply to it. It turns the wire's milliseconds into whole microseconds, and its words into the types of
// package policy; it decides nothing and keeps no state.
package simwire
