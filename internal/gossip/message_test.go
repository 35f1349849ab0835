package gossip_test

import (
	"strings"
	"testing"

	"quilldoor/internal/gossip"
)

// A decoder that accepts more lets a payload cost memory or stack; one that accepts less
// drops payloads of replicas of another version.
func TestPayloadLimits(t *testing.T) {
	const request = "\x01\xa1\x01\x80" // key 1, a request without digests
	withUnknownKey := func(value string) string { return "\xa2" + request + "\x03" + value }
	for name, c := range map[string]struct {
		encoded  string
		accepted bool
	}{
		"request":           {"\xa1" + request, true},
		"array at limit":    {withUnknownKey("\x99\x04\x00" + strings.Repeat("\x00", 1024)), true},
		"array over limit":  {withUnknownKey("\x99\x04\x01" + strings.Repeat("\x00", 1025)), false},
		"map at limit":      {withUnknownKey("\xb0" + strings.Repeat("\x00\x00", 16)), true},
		"map over limit":    {withUnknownKey("\xb1" + strings.Repeat("\x00\x00", 17)), false},
		"nested at limit":   {withUnknownKey(strings.Repeat("\x81", 5) + "\x00"), true},
		"nested over limit": {withUnknownKey(strings.Repeat("\x81", 6) + "\x00"), false},
		"duplicate key":     {"\xa2" + request + request, true},
		"indefinite array":  {withUnknownKey("\x9f\x00\xff"), false},
		"indefinite map":    {"\xbf" + request + "\xff", false},
		"indefinite string": {withUnknownKey("\x7f\x60\xff"), false},
		"tag":               {withUnknownKey("\xc1\x00"), false},
		"trailing byte":     {"\xa1" + request + "\x00", false},
		"truncated":         {"\xa1" + request[:len(request)-1], false},
		"empty":             {"", false},
		"neither part":      {"\xa1\x03\x00", false},
	} {
		if accepted := gossip.Decode([]byte(c.encoded)) != nil; accepted != c.accepted {
			t.Errorf("%s: accepted %t, want %t", name, accepted, c.accepted)
		}
	}
}
