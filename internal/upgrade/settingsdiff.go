package upgrade

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ChangeMode is how a changed key takes effect. Modes are ordered: the larger value is the harder one.
type ChangeMode uint8

// Modes of change. The names of the first three are part of the output of `quilldoor change check`; Diff leaves out
// changes of the last one.
const (
	ModeLive    ChangeMode = iota // while the router runs, on SIGHUP
	ModeHandoff                   // by a new generation; every key that is not listed has this mode
	ModeNever                     // not on this router: it would be a different one
	ModeIgnored                   // differs at each start and is no change
	changeModeCount
)

var changeModeNames = [changeModeCount]string{"live", "hand-over", "not at all", "at each start"}

// String returns the mode's name: live, hand-over, not at all, or at each start.
func (m ChangeMode) String() string { return nameOf(changeModeNames[:], int(m), "change mode") }

// keyModes has modes by prefix of the key; the first that fits counts. Other keys
// change by ModeHandoff.
var keyModes = []struct {
	prefix string
	mode   ChangeMode
}{
	{"config.name", ModeNever},
	{"config.listen", ModeNever},
	{"config.seed", ModeIgnored},
	{"config.known", ModeIgnored},
	{"config.board", ModeLive},
	{"config.limits.", ModeNever}, // of the machine: the supervisor has divided them
	{"operator.keep.folder", ModeNever},
	{"operator.members.name", ModeNever},
	{"operator.members.listen", ModeNever},
	{"operator.gateway.name", ModeNever},
	{"operator.gateway.listen", ModeNever},
}

// ModeOf is how a flat key, as Flatten makes them, changes.
func ModeOf(key string) ChangeMode {
	for _, k := range keyModes {
		if strings.HasPrefix(key, k.prefix) {
			return k.mode
		}
	}
	return ModeHandoff
}

// Change of one flat key. Old or New is "" where the key is not set.
type Change struct {
	Key, Old, New string
	Mode          ChangeMode
}

// String returns the change as reports show it: key, new and old value, and the mode's name.
func (c Change) String() string {
	return fmt.Sprintf("%s: %s, was %s (%v)", c.Key, cmp.Or(c.New, "not set"), cmp.Or(c.Old, "not set"), c.Mode)
}

// Diff returns the changes between two flat settings, sorted by key, without those of
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

// HardestMode is the hardest mode among changes that Diff returned; ModeLive where there
// are none. It reports false when that is ModeNever, so that they can't be applied to
// this router.
func HardestMode(changes []Change) (hardest ChangeMode, possible bool) {
	for _, c := range changes {
		hardest = max(hardest, c.Mode)
	}
	return hardest, hardest != ModeNever
}

// routerKeys belong to one router: routers that share all other settings differ in them.
var routerKeys = []string{
	"config.name", "config.listen", "config.seed", "config.known", "config.board", "config.limits",
	"config.settings.Rank", "config.settings.Zone",
	"operator.members.name", "operator.members.listen", "operator.members.place", "operator.members.peers",
	"operator.gateway.name", "operator.gateway.listen", "operator.gateway.site", "operator.gateway.peers",
	"operator.gateway.cert", "operator.gateway.key", "operator.gateway.status_file",
	"operator.keep.folder", "operator.keep.plan", "operator.metrics.file", "operator.disk.path",
}

func isRouterKey(key string) bool {
	return slices.ContainsFunc(routerKeys, func(prefix string) bool {
		return key == prefix || strings.HasPrefix(key, prefix+".") || strings.HasPrefix(key, prefix+"[")
	})
}

// Digest is the xxHash64 of flat settings without the keys that belong to one router:
// it is the same at all routers that are to act alike.
func Digest(flat map[string]string) uint64 {
	d := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(flat)) {
		if isRouterKey(key) {
			continue
		}
		d.WriteString(key)
		d.WriteString("=")
		d.WriteString(flat[key])
		d.WriteString("\n")
	}
	return d.Sum64()
}

// maxFlatKeys bounds the settings of a program that may not be this one.
const maxFlatKeys = 50_000

// Flatten writes nested settings, as encoding/json decodes them into an any, into out, as
// keys of the form prefix.key[index]. What is null is left out. It fails when there are
// more than 50,000 keys; out has a part of them then.
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
