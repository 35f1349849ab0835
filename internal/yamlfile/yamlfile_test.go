package yamlfile

import (
	"errors"
	"math"
	"strings"
	"testing"
)

type document struct {
	Name  string `yaml:"name"`
	Parts []struct {
		Size int `yaml:"size"`
	} `yaml:"parts"`
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ name, text, invalidKey, want string }{
		{"valid", "name: x\n", "", ""},
		{"empty", "# nothing\n", "", ""},
		{"unknown key", "name: x\nsize: 1\n", "", "f:2: size: "},
		{"duplicate key", "name: x\nname: y\n", "", "f:2: "},
		{"second document", "name: x\n---\nname: y\n", "", "f:3: file: more than one YAML document"},
		{"not YAML", "\tname: x\n", "", "f:1: "},
		{"too long", strings.Repeat("#", maxFileBytes+1), "", "f:1: file: 1048577 bytes, at most 1048576 are allowed"},
		{"invalid value", "name: x\nparts:\n  - size: 1\n  - size: 2\n", "parts[1].size", "f:4: parts[1].size: wrong"},
		{"missing key with a parent", "name: x\nparts:\n  - {}\n", "parts[0].size", "f:3: parts[0].size: wrong"},
		{"missing key", "# first\nname: x\n", "parts", "f:1: parts: wrong"},
	} {
		err := Decode("f", []byte(c.text), new(document), func() error {
			if c.invalidKey == "" {
				return nil
			}
			return Errorf(c.invalidKey, "wrong")
		})
		if c.want == "" {
			if err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
			continue
		}
		var e *Error
		if !errors.As(err, &e) || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}

func TestCheckRangeIncludesItsBoundsAndRefusesNaN(t *testing.T) {
	for _, value := range []float64{0.5, 1, 2} {
		if err := CheckRange("k", value, 0.5, 2); err != nil {
			t.Error(err)
		}
	}
	for _, value := range []float64{0.49, 2.01, math.NaN(), math.Inf(1)} {
		if CheckRange("k", value, 0.5, 2) == nil {
			t.Errorf("%g is accepted as between 0.5 and 2", value)
		}
	}
	if err := CheckRange("k", 7, 1, 6); err == nil || err.Error() != ":0: k: 7 is not within 1 and 6" {
		t.Errorf("7 as between 1 and 6: %v", err)
	}
}
