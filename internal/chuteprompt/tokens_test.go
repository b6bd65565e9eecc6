package chuteprompt

import (
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a malformed header field that becomes a cost: what is no whole number of tokens counts as absent.
func TestTokenNumbers(t *testing.T) {
	for _, test := range []struct {
		name, value string
		want        int64
	}{
		{"a number", "300", 300},
		{"spaces around it", " 300\t", 300},
		{"nothing", "", 0},
		{"zero", "0", 0},
		{"negative", "-5", 0},
		{"with a sign", "+5", 0},
		{"a fraction", "300.5", 0},
		{"letters", "many", 0},
		{"a number and letters", "300 tokens", 0},
		{"the largest", strconv.Itoa(maxTokens), maxTokens},
		{"above the largest", strconv.Itoa(maxTokens + 1), 0},
		{"above int64", "9223372036854775808", 0},
		{"above uint64", "99999999999999999999999", 0},
		{"two numbers", "300,400", 0},
	} {
		t.Run("hint: "+test.name, func(t *testing.T) {
			qt.Assert(t, LengthHint([]string{test.value}), qt.Equals, test.want)
		})
		t.Run("maximum: "+test.name, func(t *testing.T) {
			qt.Assert(t, MaxOutputTokens("1000,"+test.value), qt.Equals, test.want)
		})
	}

	t.Run("no hint, and two hints", func(t *testing.T) {
		qt.Assert(t, LengthHint(nil), qt.Equals, int64(0))
		qt.Assert(t, LengthHint([]string{"300", "400"}), qt.Equals, int64(0))
	})

	t.Run("a prompt without a maximum", func(t *testing.T) {
		qt.Assert(t, MaxOutputTokens("1000"), qt.Equals, int64(0))
		qt.Assert(t, MaxOutputTokens(""), qt.Equals, int64(0))
	})
}

// Guards against a shared part of a prompt that is larger than the prompt, or below zero.
func TestSharedPromptTokens(t *testing.T) {
	for _, test := range []struct {
		name   string
		fields []string
		prompt int64
		want   int64
	}{
		{"no field", nil, 1000, 0},
		{"an empty field", []string{""}, 1000, 0},
		{"only commas", []string{", ,,"}, 1000, 0},
		{"the last part is the request's own", []string{"5c:800"}, 1000, 0},
		{"all but the last one", []string{"5c:800,91:100,e4:100"}, 1000, 900},
		{"several fields", []string{"5c:800", "91:100,e4:100"}, 1000, 900},
		{"a comma at the end makes no part", []string{"5c:800,91:100, ,"}, 1000, 800},
		{"spaces", []string{" 5c:800 , 91: 100 ,e4:100"}, 1000, 900},
		{"more than the prompt", []string{"5c:800,91:900,e4:100"}, 1000, 1000},
		{"the last part's number does not count", []string{"5c:800,e4:-1"}, 1000, 800},
		{"without numbers", []string{"5c,91,e4"}, 1000, 0},
		{"one that is negative", []string{"5c:800,91:-100,e4:100"}, 1000, 0},
		{"one in letters", []string{"5c:800,91:x,e4:100"}, 1000, 0},
		{"one above int64", []string{"5c:99999999999999999999,91:100,e4:100"}, 1000, 0},
		{"an unknown prompt", []string{"5c:800,e4:100"}, 0, 0},
		{"a negative prompt", []string{"5c:800,e4:100"}, -5, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, SharedTokens(test.fields, test.prompt), qt.Equals, test.want)
		})
	}
}

// FuzzTokenFields looks for header fields whose numbers of tokens are out of bounds.
func FuzzTokenFields(f *testing.F) {
	f.Add("1000,256", "300", "5c:800,91:100,e4:100")
	f.Add("-1,-1", "-1", "5c:-800,:,,")
	f.Add("9223372036854775807,99999999999", "1e9", "5c:9223372036854775807,5c:9223372036854775807,x")
	f.Add(",", "", strings.Repeat("a:10000000,", 1000))
	f.Fuzz(func(t *testing.T, usage, hint, parts string) {
		for _, n := range []int64{MaxOutputTokens(usage), LengthHint([]string{hint})} {
			if n < 0 || n > maxTokens {
				t.Fatalf("%q and %q count as %d tokens", usage, hint, n)
			}
		}
		prompt := PromptTokens(usage)
		if shared := SharedTokens([]string{parts}, prompt); shared < 0 || shared > max(0, prompt) {
			t.Fatalf("%q shares %d of %d tokens", parts, shared, prompt)
		}
	})
}
