// Package simwire reads and writes the protocol of the simulator: a line of JSON for each batch of events, and a line
// for the reply to each batch. It converts the milliseconds of the wire to whole microseconds, and its names to the
// types of package policy. It makes no decisions and keeps no state.
package simwire
