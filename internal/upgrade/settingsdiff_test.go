package upgrade

import (
	"testing"
)

// Guards against a change that is reported with the wrong mode, and against a digest that
// depends on the keys of one router or misses a shared setting.
func TestDiffAndDigestOfSettings(t *testing.T) {
	flatten := func(settings any) map[string]string {
		out := map[string]string{}
		if err := Flatten("config", settings, out); err != nil {
			t.Fatal(err)
		}
		return out
	}
	classes := []any{map[string]any{"TargetMs": 250.0}}
	a := flatten(map[string]any{
		"name": "n1", "board": "b1", "seed": "1", "settings": map[string]any{"Zone": "z", "Classes": classes},
	})
	b := flatten(map[string]any{
		"name": "n1", "board": "b2", "seed": "2", "settings": map[string]any{"Zone": "y", "Classes": classes},
	})
	changes := Diff(a, b)
	if len(changes) != 2 || changes[0].String() != "config.board: b2, was b1 (live)" || changes[1].Mode != ModeHandoff {
		t.Errorf("changes: %v", changes)
	}
	if mode, possible := MostRestrictiveMode(changes); mode != ModeHandoff || !possible {
		t.Errorf("all changes: mode %v, possible %v", mode, possible)
	}
	if mode, possible := MostRestrictiveMode(changes[:1]); mode != ModeLive || !possible {
		t.Errorf("the live change alone: mode %v, possible %v", mode, possible)
	}
	if Digest(a) != Digest(b) {
		t.Error("digests differ for routers of two zones with the same settings")
	}
	b["config.settings.Classes[0].TargetMs"], b["config.name"] = "300", "n2"
	if Digest(a) == Digest(b) {
		t.Error("digests are equal for two latency objectives")
	}
	if _, possible := MostRestrictiveMode(Diff(a, b)); possible {
		t.Error("a change of config.name is reported as possible")
	}
}
