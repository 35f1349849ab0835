package upgrade

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ChangeMode a key changes.
type ChangeMode uint8

// Ways for a key to change.
const (
	ModeLive    ChangeMode = iota // while the router runs, as by SIGHUP
	ModeHandoff                   // by a new generation
	ModeNever                     // not on this router: it would be another one
	ModeIgnored                   // it means nothing for a change: drawn or told anew at each start
)

var howNames = [...]string{"live", "hand-over", "not at all", "at each start"}

func (h ChangeMode) String() string { return howNames[h] }

// ways say of keys how they change, the first that fits; what stands in none changes
// by hand-over.
var ways = []struct {
	prefix string
	how    ChangeMode
}{
	{"config.name", ModeNever},
	{"config.listen", ModeNever},
	{"config.seed", ModeIgnored},
	{"config.known", ModeIgnored},
	{"config.board", ModeLive},
	{"config.limits.", ModeNever}, // the machine's: the keeper has divided them
	{"operator.keep.folder", ModeNever},
	{"operator.members.name", ModeNever},
	{"operator.members.listen", ModeNever},
	{"operator.gateway.name", ModeNever},
	{"operator.gateway.listen", ModeNever},
}

// ModeOf tells how a key changes.
func ModeOf(key string) ChangeMode {
	for _, w := range ways {
		if strings.HasPrefix(key, w.prefix) {
			return w.how
		}
	}
	return ModeHandoff
}

// Change is of one key. Old or New is "" where it is not set.
type Change struct {
	Key, Old, New string
	Mode          ChangeMode
}

func (c Change) String() string {
	return fmt.Sprintf("%s: %s, was %s (%v)", c.Key, cmp.Or(c.New, "not set"), cmp.Or(c.Old, "not set"), c.Mode)
}

// Diff names the keys in which flat settings differ, sorted.
func Diff(old, now map[string]string) (list []Change) {
	keys := map[string]bool{}
	for k := range old {
		keys[k] = true
	}
	for k := range now {
		keys[k] = true
	}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		if how := ModeOf(k); old[k] != now[k] && how != ModeIgnored {
			list = append(list, Change{k, old[k], now[k], how})
		}
	}
	return list
}

// HardestMode is the way that the hardest of the changes takes. ok: it can be taken.
func HardestMode(list []Change) (how ChangeMode, ok bool) {
	for _, c := range list {
		how = max(how, c.Mode)
	}
	return how, how != ModeNever
}

// ownKeys are a router's own: those of others with the same settings differ.
var ownKeys = []string{
	"config.name", "config.listen", "config.seed", "config.known", "config.board", "config.limits", "config.settings.Rank", "config.settings.Zone",
	"operator.members.name", "operator.members.listen", "operator.members.place", "operator.members.peers", "operator.gateway.name",
	"operator.gateway.listen", "operator.gateway.site", "operator.gateway.peers", "operator.gateway.cert", "operator.gateway.key", "operator.keep.folder", "operator.keep.plan", "operator.metrics.file",
	"operator.disk.path", "operator.gateway.status_file",
}

// Digest of flat settings, the same at all routers that shall act alike.
func Digest(flat map[string]string) uint64 {
	d := xxhash.New()
	for _, k := range slices.Sorted(maps.Keys(flat)) {
		if slices.ContainsFunc(ownKeys, func(p string) bool { return k == p || strings.HasPrefix(k, p+".") || strings.HasPrefix(k, p+"[") }) {
			continue
		}
		d.WriteString(k)
		d.WriteString("=")
		d.WriteString(flat[k])
		d.WriteString("\n")
	}
	return d.Sum64()
}

// Flatten writes nested settings as keys with dots and places. More than mostKeys
// are an error.
func Flatten(prefix string, v any, out map[string]string) error {
	const mostKeys = 50_000
	if len(out) > mostKeys {
		return fmt.Errorf("%s: more than %d keys", prefix, mostKeys)
	}
	switch x := v.(type) {
	case map[string]any:
		for k, e := range x {
			if err := Flatten(prefix+"."+k, e, out); err != nil {
				return err
			}
		}
	case []any:
		for i, e := range x {
			if err := Flatten(fmt.Sprintf("%s[%d]", prefix, i), e, out); err != nil {
				return err
			}
		}
	case nil:
	default:
		out[prefix] = fmt.Sprint(x)
	}
	return nil
}
