// Package http1 parses and writes as much of HTTP/1.1 as clients, the health
// check and the discovery service need. It reads heads only; who calls it reads
// the body by the head's framing.
package http1

// Error is a malformed or unsupported message, with the status that answers it.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return e.Text }

// Head is a message without its body. Field names are in lower case.
type Head struct {
	Method         string // of a request
	Target         string // of a request
	Status         int    // of a response; 0 in a request
	ContentLength  int    // bytes of the body; -1 in a response: not given
	Chunked        bool   // the body of a response comes in chunks (RFC 9112, section 7.1)
	Close          bool   // the sender closes the connection behind this message
	ExpectContinue bool   // the client waits for 100 before it sends the body
	Fields         []Field
}

// Field is one header field.
type Field struct{ Name, Value string }

// Get finds a field by its name in lower case.
func (h *Head) Get(name string) (string, bool) {
	for _, field := range h.Fields {
		if field.Name == name {
			return field.Value, true
		}
	}
	return "", false
}

// Count returns how often a field stands in the head.
func (h *Head) Count(name string) (n int) {
	for _, field := range h.Fields {
		if field.Name == name {
			n++
		}
	}
	return n
}

// Limits bound a message.
type Limits struct {
	MaxBytes  int // all lines of the head together
	MaxFields int
	MaxBody   int // bytes
}
