package chuteprompt

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a part that is missed because it is spelled otherwise, and against work and memory that grow with
// what a caller invents.
func TestPromptParts(t *testing.T) {
	expectParts := func(t *testing.T, fields []string, want ...string) {
		t.Helper()
		qt.Assert(t, SharedParts(fields), qt.DeepEquals, want)
	}
	for _, test := range []struct {
		name   string
		fields []string
		want   []string
	}{
		{"no field", nil, nil},
		{"an empty field", []string{""}, nil},
		{"only commas", []string{", ,,"}, nil},
		{"the last part is the request's own", []string{"5c:800"}, nil},
		{"a comma at the end makes no part", []string{"5c:800,91:410, ,"}, []string{"5c"}},
		{"in order", []string{"5c:800,91:410,e4:250"}, []string{"5c", "91"}},
		{"without numbers", []string{"5c,91,e4"}, []string{"5c", "91"}},
		{"the same part twice", []string{"5c:800,5c:1,e4:250"}, []string{"5c"}},
		{"capitals and leading zeros", []string{"005C:800,5c:800,00:1,e4:250"}, []string{"5c", "0"}},
		{"several fields", []string{"5c:800", "91:410,e4:250"}, []string{"5c", "91"}},
	} {
		t.Run(test.name, func(t *testing.T) { expectParts(t, test.fields, test.want...) })
	}

	t.Run("a thousand parts", func(t *testing.T) {
		var list []string
		for i := range 1000 {
			list = append(list, fmt.Sprintf("%x:1", i+1))
		}
		parts := SharedParts([]string{strings.Join(list, ",")})
		qt.Assert(t, parts, qt.HasLen, maxPromptParts)
		qt.Assert(t, parts[0], qt.Equals, "1")
	})

	t.Run("ids that are not hexadecimal are the same in JSON and in keys", func(t *testing.T) {
		parts := SharedParts([]string{"\xff:1,\xfe:1,\x00/x:1,e4:250"})
		qt.Assert(t, parts, qt.HasLen, 3)
		for _, id := range parts {
			qt.Assert(t, id, qt.Matches, "hash:[0-9a-f]+")
		}
	})

	t.Run("long ids are told apart", func(t *testing.T) {
		long := strings.Repeat("a", 200)
		parts := SharedParts([]string{long + "1:1," + long + "2:1,e4:250"})
		qt.Assert(t, parts, qt.HasLen, 2)
		for _, id := range parts {
			qt.Assert(t, len(id) <= maxPartIDBytes, qt.IsTrue)
		}
	})
}
