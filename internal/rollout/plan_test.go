package rollout

import (
	"reflect"
	"strings"
	"testing"
)

func TestPlanErrorsNameTheKey(t *testing.T) {
	for _, tc := range []struct{ old, replacement, want string }{
		{"name: small", "name: ''", "name: missing"},
		{"program: /opt/new", "operator: ''", "program: at least one of program, config and operator is required"},
		{"program: /opt/new", "program: opt/new", "program: \"opt/new\" is not an absolute path"},
		{"program: /opt/new", "config: opt/new", "config: \"opt/new\" is not an absolute path"},
		{"{name: a2, office: a}, {name: b1, office: b}", "", "routers: 1 listed, 2 to 512 are required"},
		{"name: a2", "name: a1", "routers[1]: name \"a1\" is empty, longer than 64 bytes or a duplicate, or office \"a\" is empty"},
		{"{name: a2, office: a}", "{name: a2}", "routers[1]: name \"a2\" is empty, longer than 64 bytes or a duplicate, or office \"\" is empty"},
		{"routers: [a1]", "routers: [c1]", "stages[0].routers: \"c1\" is not a router of the plan"},
		{"routers: [a1]", "routers: [a1], share: 0.5", "stages[0]: either routers or a share, above 0 and up to 1, is required"},
		{"share: 1,", "share: 1.5,", "stages[1]: either routers or a share, above 0 and up to 1, is required"},
		{"share: 1,", "share: 0.5,", "stages[1]: the last stage must have share 1"},
		{"{routers: [a1],", "{routers: [a1], drains: 10001,", "stages[0].drains: drains 10001 or purges 0 is not within 0 and 10000"},
		{"watch_s: 3, least_s: 1", "watch_s: 3, least_s: 4", "stages[0].watch_s: watch_s 3 and least_s 4 do not satisfy 0 < least_s <= watch_s <= 86400"},
		{"silent_s: 15", "silent_s: 14", "silent_s: 14 is not within 15 and 3600"},
		{"silent_s: 15", "at_once: 513", "at_once: 513 is not within 1 and 512"},
		{"silent_s: 15", "guards: {most_loss: 0.005}", "guards.most_loss: 0.005 is not within 0.01 and 1"},
		{"silent_s: 15", "guards: {chance: .nan}", "guards.chance: NaN is not within 0.0001 and 0.5"},
		{"silent_s: 15", "on_worse: keep", "on_worse: \"keep\" is neither back nor hold"},
		{"on_unsure: back", "on_unsure: keep", "on_unsure: \"keep\" is neither hold nor back"},
		{"silent_s: 15", "cut_off: hold", "cut_off: \"hold\" is neither back nor keep"},
	} {
		if !strings.Contains(threeRouterPlan, tc.old) {
			t.Fatalf("threeRouterPlan does not contain %q", tc.old)
		}
		_, err := ParsePlan("f", []byte(strings.Replace(threeRouterPlan, tc.old, tc.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), ": "+tc.want) {
			t.Errorf("plan with %q: error %v, want %q", tc.replacement, err, tc.want)
		}
	}
}

func TestPlanDefaults(t *testing.T) {
	p, err := ParsePlan("f", []byte(`
name: n
program: /p
routers: [{name: a, office: x}, {name: b, office: x}]
stages: [{routers: [a]}, {share: 1, watch_s: 20}]
`))
	if err != nil {
		t.Fatal(err)
	}
	p.Digest = 0
	want := &Plan{
		Name: "n", Program: "/p",
		Routers: []Router{{"a", "x"}, {"b", "x"}},
		Stages: []Stage{
			{Routers: []string{"a"}, MaxWatchSeconds: 300, MinWatchSeconds: 30},
			{Share: 1, MaxWatchSeconds: 20, MinWatchSeconds: 20},
		},
		MaxConcurrent: 1, MaxConcurrentRollback: 1,
		OnWorse: "back", OnInconclusive: "hold", OnIsolated: "back", SilentSeconds: 30,
		Guardrails: Guardrails{
			MaxLoss: 0.05, Loss: 0.01, Rejections: 0.005, Failures: 0.005, Slowdown: 0.05, Attempts: 0.05,
			ClassLoss: 0.03, FalseStopProbability: 0.05, MemoryRatio: 3,
		},
	}
	if !reflect.DeepEqual(p, want) {
		t.Errorf("plan %+v, want %+v", p, want)
	}
}

// A share is rounded up in each office and includes the routers of earlier stages.
func TestSharesAreRoundedUpInEachOffice(t *testing.T) {
	p, err := ParsePlan("f", []byte(sevenRouterPlan))
	if err != nil {
		t.Fatal(err)
	}
	for stage, want := range []string{"a1", "a1 b1 c1 c2", "a1 a2 b1 b2 c1 c2 c3"} {
		var names []string
		changed := p.ChangedThrough(stage)
		for i, r := range p.Routers {
			if changed.Has(i) {
				names = append(names, r.Name)
			}
		}
		if got := strings.Join(names, " "); got != want {
			t.Errorf("stage %d: %s, want %s", stage, got, want)
		}
	}
}
