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
	pathPrefix = "/rpc/"
	partPrefix = "n-"
	firstPart  = partPrefix + "0"
	maxPart    = 1 << 31
	maxGroup   = 255
	idLength   = 16 // hex digits
)

// clientRequest is a parsed request.
type clientRequest struct {
	event          policy.Event
	tag            string // of the client's copy, without quotes; "": none
	idempotencyKey string
	body           *bufferpool.Body
	arrivedAt      time.Time // of its first byte
	timeout        time.Duration
	stalled        time.Duration // how long it may have waited unread before arrivedAt, as the process stalled
}

// parse reads a request's target and fields. The status answers one that is
// wrong. What passes must fit a cache server's line: a server closes its
// connection, with all attempts in flight on it, over what it can't read.
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
	valid := cacheproto.IsPlain(object) && (class.Write || head.ContentLength == 0) &&
		parsePart(part, &request.event.Part) && request.parseFields(head, s.limits.MaxRequestTimeout)
	if !valid {
		return nil, http.StatusBadRequest
	}
	if class.Effect == policy.EffectIdempotencyKey && request.idempotencyKey == "" {
		return nil, http.StatusBadRequest // nothing would tell a retry from another request
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

func parsePart(text string, to *int64) bool {
	number, ok := strings.CutPrefix(text, partPrefix)
	return ok && parseNumber(number, maxPart, to)
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
		return cacheproto.IsPlain(key)
	}
	return true
}

// parseTimeout reads milliseconds and cuts them to the longest timeout.
func (r *clientRequest) parseTimeout(text string, longest time.Duration) bool {
	var millis int64
	if !parseNumber(text, longest.Milliseconds()+1, &millis) || millis == 0 {
		return false
	}
	r.timeout = min(time.Duration(millis)*time.Millisecond, longest)
	return true
}

// parseTag reads the tag of the client's copy. A list, or a tag that can't be
// passed on, counts as none.
func (r *clientRequest) parseTag(text string) bool {
	tag := strings.Trim(strings.TrimPrefix(text, "W/"), `"`)
	if cacheproto.IsPlain(tag) {
		r.tag = tag
	}
	return len(text) <= cacheproto.MaxValueLen
}

func isRequestID(id string) bool {
	return len(id) == idLength && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

// parseNumber reads a whole number of digits only, without leading zeros.
func parseNumber(text string, most int64, to *int64) bool {
	v, err := strconv.ParseUint(text, 10, 63)
	*to = int64(v)
	return err == nil && *to <= most && (text[0] != '0' || len(text) == 1)
}
