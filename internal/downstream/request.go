package downstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/cacheproto"
	"quilldoor/internal/http1"
	"quilldoor/internal/policy"
)

const (
	pathPrefix      = "/rpc/"
	partPrefix      = "n-"
	firstPart       = partPrefix + "0"
	maxPart         = 1 << 31
	maxGroup        = 255
	requestIDLength = 16 // hex digits
)

// clientRequest is a parsed request of a client, or one that a peer forwarded.
type clientRequest struct {
	event          policy.Event
	tag            string // ETag of the client's copy, without quotes; "": none
	idempotencyKey string
	body           *bufferpool.Body
	arrivedAt      time.Time // when its first byte was received
	timeout        time.Duration
	stalled        time.Duration // how long it may have been unread before arrivedAt while the process stalled
}

// parse reads a request's target and header fields. For an invalid request it
// returns nil and the status to answer with. Every value that it accepts must fit
// the request line of the cache protocol: an endpoint closes its connection, with
// all attempts in flight on it, if it can't parse a line.
func (s *Server) parse(head *http1.Head) (*clientRequest, int) {
	className, object, part, ok := splitTarget(head.Target)
	if !ok {
		return nil, http.StatusNotFound
	}
	class, known := s.engine.Class(className)
	if !known {
		return nil, http.StatusNotFound
	}
	if head.Method != methodOf(class) {
		return nil, http.StatusMethodNotAllowed
	}
	if _, given := head.Get("content-length"); class.Write && !given {
		return nil, http.StatusLengthRequired
	}
	request := &clientRequest{event: policy.Event{Class: class.Name, Object: object, Write: class.Write}}
	valid := cacheproto.IsValidValue(object) && (class.Write || head.ContentLength == 0) &&
		parsePart(part, &request.event.Part) && request.parseFields(head, s.limits.MaxRequestTimeout)
	if !valid {
		return nil, http.StatusBadRequest
	}
	if class.Effect == policy.EffectIdempotencyKey && request.idempotencyKey == "" {
		return nil, http.StatusBadRequest // without a key, servers can't recognize a retry
	}
	return request, 0
}

// splitTarget splits /rpc/CLASS/OBJECT/n-PART. /rpc/CLASS/OBJECT means part 0.
func splitTarget(target string) (class, object, part string, ok bool) {
	path, ok := strings.CutPrefix(target, pathPrefix)
	if !ok {
		return "", "", "", false
	}
	elements := strings.Split(path, "/")
	switch len(elements) {
	case 2:
		return elements[0], elements[1], firstPart, true
	case 3:
		return elements[0], elements[1], elements[2], true
	}
	return "", "", "", false
}

// parsePart reads a part number with its prefix.
func parsePart(text string, result *int64) bool {
	number, ok := strings.CutPrefix(text, partPrefix)
	return ok && parseNumber(number, maxPart, result)
}

func methodOf(class policy.TrafficClass) string {
	if class.Write {
		return http.MethodPut
	}
	return http.MethodGet
}

// parseFields reads the header fields and reports whether they are valid.
func (r *clientRequest) parseFields(head *http1.Head, maxTimeout time.Duration) bool {
	for _, name := range []string{"x-txn", "x-ttl-ms", "x-shard", "x-second-try", "if-none-match", "x-txn-key"} {
		if head.Count(name) > 1 {
			return false
		}
	}
	r.event.Request, _ = head.Get("x-txn")
	if !isRequestID(r.event.Request) {
		return false
	}
	timeoutMillis, _ := head.Get("x-ttl-ms")
	if !r.parseTimeout(timeoutMillis, maxTimeout) {
		return false
	}
	group, _ := head.Get("x-shard")
	if !parseNumber(group, maxGroup, &r.event.Group) {
		return false
	}
	if retry, given := head.Get("x-second-try"); given {
		if retry != "0" && retry != "1" {
			return false
		}
		r.event.ClientRetry = retry == "1"
	}
	if tag, given := head.Get("if-none-match"); given && !r.parseTag(tag) {
		return false
	}
	if key, given := head.Get("x-txn-key"); given {
		r.idempotencyKey = key
		return cacheproto.IsValidValue(key)
	}
	return true
}

// parseTimeout reads a timeout in milliseconds. One that exceeds maxTimeout by at
// most a millisecond is cut to it; a longer one, or 0, is invalid.
func (r *clientRequest) parseTimeout(text string, maxTimeout time.Duration) bool {
	var millis int64
	if !parseNumber(text, maxTimeout.Milliseconds()+1, &millis) || millis == 0 {
		return false
	}
	r.timeout = min(time.Duration(millis)*time.Millisecond, maxTimeout)
	return true
}

// parseTag reads the ETag of the client's copy. A list of tags, or a tag that can't
// be sent to an endpoint, counts as none. A text over MaxValueLen is invalid.
func (r *clientRequest) parseTag(text string) bool {
	tag := strings.Trim(strings.TrimPrefix(text, "W/"), `"`)
	if cacheproto.IsValidValue(tag) {
		r.tag = tag
	}
	return len(text) <= cacheproto.MaxValueLen
}

func isRequestID(id string) bool {
	return len(id) == requestIDLength && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

// parseNumber reads a decimal integer from 0 to maximum, without a sign or leading
// zeros.
func parseNumber(text string, maximum int64, result *int64) bool {
	number, err := strconv.ParseUint(text, 10, 63)
	*result = int64(number)
	return err == nil && *result <= maximum && (text[0] != '0' || len(text) == 1)
}
