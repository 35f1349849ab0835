package upgrade

import (
	"testing"
)

func TestDiffAndDigestOfSettings(t *testing.T) {
	flat := func(v any) map[string]string {
		out := map[string]string{}
		if err := Flatten("config", v, out); err != nil {
			t.Fatal(err)
		}
		return out
	}
	classes := []any{map[string]any{"TargetMs": 250.0}}
	a := flat(map[string]any{
		"name": "n1", "board": "b1", "seed": "1", "settings": map[string]any{"Zone": "z", "Classes": classes},
	})
	b := flat(map[string]any{
		"name": "n1", "board": "b2", "seed": "2", "settings": map[string]any{"Zone": "y", "Classes": classes},
	})
	list := Diff(a, b)
	if len(list) != 2 || list[0].String() != "config.board: b2, was b1 (live)" || list[1].Mode != ModeHandoff {
		t.Errorf("%v", list)
	}
	if mode, ok := HardestMode(list); mode != ModeHandoff || !ok {
		t.Error(mode, ok)
	}
	if mode, ok := HardestMode(list[:1]); mode != ModeLive || !ok {
		t.Error(mode, ok)
	}
	if Digest(a) != Digest(b) {
		t.Error("routers of two sites with the same settings differ")
	}
	b["config.settings.Classes[0].TargetMs"], b["config.name"] = "300", "n2"
	if Digest(a) == Digest(b) {
		t.Error("another latency objective has the same digest")
	}
	if _, ok := HardestMode(Diff(a, b)); ok {
		t.Error("another name is taken")
	}
}
