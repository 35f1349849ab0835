// Package cacheproto encodes and decodes the line protocol of the cache servers. A
// line consists of words separated by spaces and ends in CR LF. The line of a response,
// or of a command with a body, states the length of the body that follows it. The body
// ends in CR LF, too.
// Routers write commands and read responses; emulated cache servers do the reverse.
//
// Only this package maps the protocol's words to the router's terms.
package cacheproto
