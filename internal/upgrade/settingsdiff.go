package upgrade

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ChangeMode is how a changed key takes effect. The modes are ordered from the least to the
// most restrictive one.
type ChangeMode uint8

// Modes of change. The names of the first three are part of the output of
// `quilldoor change check`; Diff omits changes of the last one.
const (
	ModeLive      ChangeMode = iota // while the router runs, on SIGHUP
	ModeHandoff                     // by a new generation; keys without an entry in keyModes have this mode
	ModeImmutable                   // never: the key identifies this router or belongs to its machine
	ModeIgnored                     // the value differs at each start and is not compared
	changeModeCount
)

var changeModeNames = [changeModeCount]string{"live", "hand-over", "not at all", "at each start"}

// String returns the mode's name: live, hand-over, not at all, or at each start.
func (m ChangeMode) String() string { return nameOf(changeModeNames[:], int(m), "change mode") }

// keyModes maps prefixes of flat keys to modes. The first matching prefix applies; other
// keys have ModeHandoff.
var keyModes = []struct {
	prefix string
	mode   ChangeMode
}{
	{"config.name", ModeImmutable},
	{"config.listen", ModeImmutable},
	{"config.seed", ModeIgnored},
	{"config.known", ModeIgnored},
	{"config.board", ModeLive},
	{"config.limits.", ModeImmutable}, // of the machine, whose resources the supervisor has already divided
	{"operator.keep.folder", ModeImmutable},
	{"operator.members.name", ModeImmutable},
	{"operator.members.listen", ModeImmutable},
	{"operator.gateway.name", ModeImmutable},
	{"operator.gateway.listen", ModeImmutable},
}

// ModeOf returns the mode of a flat key in the form that Flatten produces.
func ModeOf(key string) ChangeMode {
	for _, entry := range keyModes {
		if strings.HasPrefix(key, entry.prefix) {
			return entry.mode
		}
	}
	return ModeHandoff
}

// Change is the change of one flat key. Old or New is "" if the key is not set there.
type Change struct {
	Key, Old, New string
	Mode          ChangeMode
}

// String returns the change as shown in reports: key, new value, old value and mode.
func (c Change) String() string {
	return fmt.Sprintf("%s: %s, was %s (%v)", c.Key, cmp.Or(c.New, "not set"), cmp.Or(c.Old, "not set"), c.Mode)
}

// Diff returns the changes between two flat settings, sorted by key. It omits changes of
// ModeIgnored.
func Diff(before, after map[string]string) []Change {
	keys := map[string]struct{}{}
	for key := range before {
		keys[key] = struct{}{}
	}
	for key := range after {
		keys[key] = struct{}{}
	}
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		mode := ModeOf(key)
		if before[key] != after[key] && mode != ModeIgnored {
			changes = append(changes, Change{Key: key, Old: before[key], New: after[key], Mode: mode})
		}
	}
	return changes
}

// MostRestrictiveMode returns the most restrictive mode among changes that Diff returned, and
// ModeLive without changes. It reports false for ModeImmutable, since the changes can't be
// applied to this router then.
func MostRestrictiveMode(changes []Change) (mostRestrictive ChangeMode, possible bool) {
	for _, c := range changes {
		mostRestrictive = max(mostRestrictive, c.Mode)
	}
	return mostRestrictive, mostRestrictive != ModeImmutable
}

// routerKeys are the keys that differ between routers with otherwise equal settings.
var routerKeys = []string{
	"config.name", "config.listen", "config.seed", "config.known", "config.board", "config.limits",
	"config.settings.Rank", "config.settings.Zone",
	"operator.members.name", "operator.members.listen", "operator.members.place", "operator.members.peers",
	"operator.gateway.name", "operator.gateway.listen", "operator.gateway.site", "operator.gateway.peers",
	"operator.gateway.cert", "operator.gateway.key", "operator.gateway.status_file",
	"operator.keep.folder", "operator.keep.plan", "operator.metrics.file", "operator.disk.path",
}

// isRouterKey reports whether a flat key is one of routerKeys, or nested in one.
func isRouterKey(key string) bool {
	return slices.ContainsFunc(routerKeys, func(prefix string) bool {
		return key == prefix || strings.HasPrefix(key, prefix+".") || strings.HasPrefix(key, prefix+"[")
	})
}

// Digest returns the xxHash64 of flat settings without routerKeys. Routers that are to
// behave alike have the same digest.
func Digest(flat map[string]string) uint64 {
	digest := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(flat)) {
		if isRouterKey(key) {
			continue
		}
		digest.WriteString(key)
		digest.WriteString("=")
		digest.WriteString(flat[key])
		digest.WriteString("\n")
	}
	return digest.Sum64()
}

// maxFlatKeys bounds the number of keys, since the settings may be written for another
// program than this one.
const maxFlatKeys = 50_000

// Flatten writes nested settings, as encoding/json decodes them into an any, to out under
// keys of the form prefix.key[index]. Null values, empty objects and empty arrays have no
// key. It returns an error when there are more than 50,000 keys; out then holds a part of
// them.
func Flatten(prefix string, value any, out map[string]string) error {
	if len(out) > maxFlatKeys {
		return fmt.Errorf("%s: more than %d keys", prefix, maxFlatKeys)
	}
	switch value := value.(type) {
	case map[string]any:
		for key, element := range value {
			if err := Flatten(prefix+"."+key, element, out); err != nil {
				return err
			}
		}
	case []any:
		for i, element := range value {
			if err := Flatten(fmt.Sprintf("%s[%d]", prefix, i), element, out); err != nil {
				return err
			}
		}
	case nil:
	default:
		out[prefix] = fmt.Sprint(value)
	}
	return nil
}
