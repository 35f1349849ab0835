// Package handoff has what goes between a supervisor, the router processes that it runs
// and the command-line tools, and the state file that outlasts them all.
//
// Messages go over a Unix stream socket: a length of 4 bytes, big endian, then a CBOR
// map (RFC 8949) with small integer keys. Open descriptors may go along. Unknown keys
// are ignored and missing ones are zero, so that processes of different versions
// understand each other: a key keeps its number and its meaning for good.
//
// The supervisor alone writes the state file (File). It is JSON, of which the same holds.
package handoff
