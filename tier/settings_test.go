package tier

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/result"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func golden(tb testing.TB, path, got string) {
	tb.Helper()
	if *update {
		qt.Assert(tb, os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(tb, err, qt.IsNil)
	qt.Assert(tb, got, qt.Equals, string(want))
}

// render returns settings as text, one field a line.
func render(se Settings) string {
	return strings.ReplaceAll(fmt.Sprintf("%+v\n", se), " ", "\n")
}

// Guards against settings with mistakes: without the checks, an instance would run with a
// default instead of the written value, or fail later with an error that names no field.
// Each file holds one mistake, or several that are reported together.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/settings/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			se, err := Parse(name+".yaml", data)
			qt.Assert(t, err == nil, qt.Equals, strings.HasPrefix(name, "good"))
			got := render(se)
			if err != nil {
				var re *result.Error
				qt.Assert(t, errors.As(err, &re) && re.Code == result.BadSettings, qt.IsTrue)
				got = err.Error() + "\n"
			}
			golden(t, strings.TrimSuffix(file, ".yaml")+".golden", got)
		})
	}
}

// TestDefaults checks the values of settings that a file may omit.
func TestDefaults(t *testing.T) {
	golden(t, "testdata/settings/defaults.golden", render(Defaults()))
}

func TestLinkSeeds(t *testing.T) {
	se := Settings{Address: "10.0.0.9", LinkPort: 7740, Seeds: []string{"10.0.0.1:80", "10.0.0.2:81", "none"}}
	qt.Assert(t, se.LinkSeeds(), qt.DeepEquals, []string{"10.0.0.1:7740", "10.0.0.2:7740"})
	qt.Assert(t, se.LinkAddress(), qt.Equals, "10.0.0.9:7740")
}

// section and placeholder match the parts of the template that the platform replaces.
var (
	section     = regexp.MustCompile(`(?s)\{\{#([^{}]*)\}\}(.*?)\{\{/([^{}]*)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^{}|]*)(\|json)?\}\}`)
)

// fill expands a template like the platform: a path is replaced by its value, by nothing
// if there is none, and by JSON if that is asked for. A section is kept if its path has a
// value.
func fill(tb testing.TB, template string, fields map[string]any) string {
	tb.Helper()
	template = section.ReplaceAllStringFunc(template, func(found string) string {
		parts := section.FindStringSubmatch(found)
		qt.Assert(tb, parts[3], qt.Equals, parts[1])
		if lookUp(fields, strings.Split(parts[1], ".")) == nil {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		qt.Assert(tb, strings.ContainsAny(parts[1][:1], "#^/@,."), qt.IsFalse, qt.Commentf("%s", found))
		value := lookUp(fields, strings.Split(parts[1], "."))
		if parts[2] == "" {
			return plain(value)
		}
		data, err := json.Marshal(value)
		qt.Assert(tb, err, qt.IsNil)
		return string(data)
	})
}

func lookUp(value any, path []string) any {
	for _, name := range path {
		switch va := value.(type) {
		case map[string]any:
			value = va[name]
		case []any:
			ix, err := strconv.Atoi(name)
			if err != nil || ix >= len(va) {
				return nil
			}
			value = va[ix]
		default:
			return nil
		}
	}
	return value
}

func plain(value any) string {
	switch va := value.(type) {
	case nil:
		return ""
	case []any:
		var out []string
		for _, el := range va {
			out = append(out, plain(el))
		}
		return strings.Join(out, ",")
	case map[string]any:
		data, _ := json.Marshal(va)
		return string(data)
	}
	return fmt.Sprint(value)
}

// Guards against a settings template that doesn't fit what the program reads or what the
// platform supplies, so that no instance starts or one starts with another's values. The
// files hold the example of the platform's page for an entry instance, the same for a
// control instance, one with fractions and unknown fields, and one without the limits of
// rules that are not in force.
func TestTemplate(t *testing.T) {
	template, err := os.ReadFile("../deploy/settings.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(template) < 64<<10, qt.IsTrue)
	for _, name := range []string{"entry", "control", "fractions", "sparse"} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("testdata/node/" + name + ".json")
			qt.Assert(t, err, qt.IsNil)
			de := json.NewDecoder(bytes.NewReader(data))
			de.UseNumber()
			var fields map[string]any
			qt.Assert(t, de.Decode(&fields), qt.IsNil)
			text := fill(t, string(template), fields)
			se, err := Parse("settings.yaml", []byte(text))
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", text))
			qt.Assert(t, se.Entry(), qt.Equals, name == "entry")
			qt.Assert(t, se.Control(), qt.Equals, name != "entry")
			golden(t, "testdata/node/"+name+".golden", render(se))
		})
	}
}

// Guards against an instance that doesn't start on a machine whose settings list no data
// centres.
func TestNoDataCentres(t *testing.T) {
	se, err := Parse("x.yaml", []byte("Name: a\nDataCentres: null\nAddress: 1.1.1.1\nLinkPort: 3\nSeeds: [\"1.1.1.1:3\"]\nListen:\n  Callers: \"1.1.1.1:4\"\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, se.DataCentres, qt.HasLen, 0)
}
