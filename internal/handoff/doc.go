// Package handoff defines the messages between a supervisor, its router processes and the
// command-line tools, and the state file that outlasts them all.
//
// Messages are sent over a Unix stream socket: a length of 4 bytes, big endian, then a
// CBOR map (RFC 8949) with small integer keys. Open descriptors may accompany a message.
// Processes of different versions exchange messages: unknown keys are ignored, missing
// keys are zero, and a key never changes its number or its meaning.
//
// Only the supervisor writes the state file (StateFile). It is JSON, and the same rules hold
// for its keys.
package handoff
