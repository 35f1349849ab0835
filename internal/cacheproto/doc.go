// Package cacheproto is the codec of the cache servers' line protocol. A line
// is a few words that end in CR LF; commands with a body and responses name its
// length, and a body ends in CR LF, too. Routers write commands and read
// responses; the other direction serves stand-ins of cache servers.
//
// The protocol's words are mapped to the router's terms here and nowhere else.
package cacheproto
