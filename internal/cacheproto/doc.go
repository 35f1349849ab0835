// Package cacheproto encodes and decodes the line protocol of the cache servers. A
// line consists of words separated by spaces and ends in CR LF. A command with a body
// states the body's length, and so does a response; CR LF follows the body, too.
// Routers write commands and read responses; emulated cache servers do the reverse.
//
// Only this package maps the protocol's words to the router's terms.
package cacheproto
