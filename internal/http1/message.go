// Package http1 reads and writes the subset of HTTP/1.1 that clients, the router's
// health check and the discovery service need. It reads only the head of a message;
// the caller reads the body according to the head's framing.
package http1

// Error reports a malformed or unsupported message.
type Error struct {
	Status int // HTTP status to answer the request with
	Text   string
}

// Error returns the text without the status.
func (e *Error) Error() string { return e.Text }

// Head is a message without its body. Field names are in lower case.
type Head struct {
	Method         string // of a request
	Target         string // of a request
	Status         int    // of a response; 0 in a request
	ContentLength  int    // bytes of the body; -1 in a response: not stated
	Chunked        bool   // the body of a response is chunked (RFC 9112, section 7.1)
	Close          bool   // the sender closes the connection after this message
	ExpectContinue bool   // the client waits for status 100 before it sends the body
	Fields         []Field
}

// Field is one header field.
type Field struct{ Name, Value string }

// Get returns the value of the first field with the given name, which is in lower
// case.
func (h *Head) Get(name string) (string, bool) {
	for _, field := range h.Fields {
		if field.Name == name {
			return field.Value, true
		}
	}
	return "", false
}

// Count returns the number of fields with the given name, which is in lower case.
func (h *Head) Count(name string) (count int) {
	for _, field := range h.Fields {
		if field.Name == name {
			count++
		}
	}
	return count
}

// Limits bounds the size of a message.
type Limits struct {
	MaxBytes  int // bytes of all lines of the head together
	MaxFields int // number of header fields
	MaxBody   int // greatest Content-Length, in bytes
}
