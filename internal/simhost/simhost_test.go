package simhost

import (
	"bytes"
	"strings"
	"testing"
)

const start = `{"verb":"PowerOn","I":1,"Seed":5,"Setup":{"Zone":"z","Zones":["h","z"],"Kinds":["box","parent","origin"],` +
	`"Siblings":1,"Classes":[{"Name":"page","Effect":"safe","TargetMs":200,"Value":1}],` +
	`"FamilyInfo":{"MasterKind":2,"SecondTierKind":1,"FlowKbPerS":1000},"Limits":{"MostTries":4}}},` +
	`{"verb":"Inventory","Page":2,"NodesList":[{"Server":"c:1","Site":"z","Kind":"box","Availability":"active","Heft":8},` +
	`{"Server":"o:1","Site":"h","Kind":"origin","Availability":"active","Heft":1}]},` +
	`{"verb":"Discovery","I":1,"Index":1,"Scope":"disk","Page":2}`

const request = `{"verb":"NewRequest","I":1,"OpId":"rq_1","Grade":"page","ContentId":"x","RemainingMs":900,"LengthKb":10,"UnknownMember":1}`

func batch(turn, events string) string {
	return `{"ClockMs":1000,"turn":` + turn + `,"input":[` + events + "]}\n"
}

func run(t *testing.T, input string) (out, warnings string, err error) {
	t.Helper()
	var o, w bytes.Buffer
	err = New(&w).Run(strings.NewReader(input), &o)
	return o.String(), w.String(), err
}

func TestRunRepliesToEachBatch(t *testing.T) {
	answer := `{"verb":"Answer","I":1,"OpId":"rq_1","Server":"c:1","RoundNo":0,"RttMs":12,"Rc":"done","Final":true}`
	out, warnings, err := run(t, batch("1", "")+batch("2", start+","+request+`,{"verb":"UnknownVerb","I":1}`)+
		batch("3", answer+`,{"verb":"Detach","I":1}`)+batch("4", answer))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 4 || lines[0] != `{"turn":1,"decisions":[]}` || lines[3] != `{"turn":4,"decisions":[]}` {
		t.Fatalf("replies %q", lines)
	}
	get := `{"verb":"Get","I":1,"OpId":"rq_1","Server":"c:1","FillFrom":"o:1","Rank":2,"CapMs":400}`
	if !strings.Contains(lines[1], get) {
		t.Errorf("reply %s lacks %s", lines[1], get)
	}
	if want := `batch 2, event 4: unknown verb "UnknownVerb" skipped`; !strings.Contains(warnings, want) {
		t.Errorf("warnings %q lack %q", warnings, want)
	}
}

func TestBadInput(t *testing.T) {
	for _, test := range []struct{ input, want string }{
		{"{nonsense\n", "malformed batch"},
		{`{"turn":1,"input":[]}` + "\n", "missing member ClockMs"},
		{batch("7", start+`,{"verb":"NewRequest","I":1,"OpId":5}`), "batch 7, event 3: NewRequest"},
		{batch("7", start+`,{"verb":"Discovery","I":1,"Scope":"diff","Page":9}`), "list 9, which was never sent"},
		{batch("7", request), "instance 1, which was never started"},
	} {
		if _, _, err := run(t, test.input); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: error %v, want %q", test.input, err, test.want)
		}
	}
}
