package chuteconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func readExample(c *qt.C, name string) File {
	body, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	c.Assert(err, qt.IsNil)

	return File{Name: name, Body: body}
}

func loadExample(c *qt.C, site string) Config {
	cfg, findings := Load(readExample(c, "base.json"), readExample(c, site+"/site.json"))
	c.Assert(findings, qt.HasLen, 0)

	return cfg
}

func TestExamplesLoad(t *testing.T) {
	for _, site := range []string{"kura", "hivatal"} {
		t.Run(site, func(t *testing.T) {
			c := qt.New(t)
			cfg := loadExample(c, site)
			c.Assert(cfg.Site, qt.Equals, site)
			c.Assert(cfg.Zones, qt.HasLen, 3)
			c.Assert(cfg.Workspaces, qt.HasLen, 5)
			c.Assert(cfg.Pools, qt.HasLen, 5)
			again, err := Decode(Encode(cfg))
			c.Assert(err, qt.IsNil)
			c.Assert(again, qt.DeepEquals, cfg)
		})
	}
}

// expectFile loads two small files and expects a finding with the file and the path.
func expectFile(t *testing.T, name, base, overlay, file, at, problem string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		c := qt.New(t)
		_, findings := Load(File{"base", []byte(base)}, File{"overlay", []byte(overlay)})
		for _, f := range findings {
			if f.File == file && f.Path == at && strings.Contains(f.Problem, problem) {
				c.Assert(f.Mend, qt.Not(qt.Equals), "")

				return
			}
		}
		c.Fatalf("no finding %s %s %q among:\n%v", file, at, problem, FindingsError(findings))
	})
}

func TestLoadFindsInFiles(t *testing.T) {
	expectFile(t, "unknown field", `{"Polic": {}}`, `{}`, "base", "Polic", "unknown field")
	expectFile(t, "unknown field below", `{}`, `{"Teams": {"a": {"weight": 1}}}`, "overlay", "Teams.a.weight", "unknown")
	expectFile(t, "stated twice", `{"Teams": {"a": {"Weight": 1}, "a": {"Weight": 2}}}`, `{}`, "base", "Teams.a", "twice")
	expectFile(t, "trailing data", `{} {}`, `{}`, "base", "line 1, column 4", "not valid JSON")
	expectFile(t, "broken JSON", "{\n  \"Site\": }", `{}`, "base", "line 2, column 11", "not valid JSON")
	expectFile(t, "not UTF-8", "{\"Site\": \"\xff\"}", `{}`, "base", "", "UTF-8")
	expectFile(t, "wrong type", `{"Policy": {"Admission": "yes"}}`, `{}`, "base", "Policy.Admission", "wrong type")
	expectFile(t, "bad span", `{"Policy": {"StallTimeout": 5}}`, `{}`, "base", "Policy.StallTimeout", "wrong type")
	expectFile(t, "fraction", `{"Teams": {"a": {"Weight": 1.5}}}`, `{}`, "base", "Teams.a.Weight", "wrong type")
	expectFile(t, "too large a number", `{"Teams": {"a": {"Weight": 1e30}}}`, `{}`, "base", "Teams.a.Weight", "wrong type")
	expectFile(t, "list for an object", `{"Teams": []}`, `{}`, "base", "Teams", "wrong type")
	expectFile(t, "null in the base", `{"Policy": null}`, `{}`, "base", "Policy", "null")
	expectFile(t, "null in a list", `{}`, `{"Pipelines": {"a": {"Stages": [null]}}}`, "overlay", "Pipelines.a.Stages[0]", "null")
	expectFile(t, "whole file null", `null`, `{}`, "base", "", "null")
	expectFile(t, "too deep", strings.Repeat(`{"a":`, 40)+"1"+strings.Repeat("}", 40), `{}`,
		"base", strings.Repeat("a.", maxDepth-1)+"a", "deeper")
	expectFile(t, "too large a file", `{"Site": "`+strings.Repeat("a", MaxFileBytes)+`"}`, `{}`, "base", "", "bytes")
}

func TestLoadNamesTheFileThatStatesTheValue(t *testing.T) {
	expectFile(t, "base", `{"Policy": {"MaxAttempts": 0}}`, `{"Site": "x"}`, "base", "Policy.MaxAttempts", "range")
	expectFile(t, "overlay", `{"Policy": {"MaxAttempts": 2}}`, `{"Policy": {"MaxAttempts": 0}}`,
		"overlay", "Policy.MaxAttempts", "range")
	expectFile(t, "missing below the overlay's object", `{}`, `{"Zones": {"a": {}}}`, "overlay", "Zones.a.Region", "no region")
	expectFile(t, "deleted by the overlay", `{"Zones": {"a": {"Region": "r"}}}`, `{"Zones": null}`,
		"overlay", "Zones", "no zone")
}

func TestLoadMergesAndFillsIn(t *testing.T) {
	c := qt.New(t)
	load := func(base, overlay string) Config {
		cfg, err := merge([]byte(base), []byte(overlay))
		c.Assert(err, qt.IsNil)

		return cfg
	}
	cfg := load(`{"Policy": {"Admission": false, "RetryBudget": 0.5}, "Teams": {"a": {"Weight": 1}, "b": {"Weight": 2}}}`,
		`{"Site": "x", "Policy": {"RetryBudget": null, "HedgeBudget": 0}, "Teams": {"a": null}}`)
	c.Assert(cfg.Policy.Admission, qt.IsFalse, qt.Commentf("false is meant, not absent"))
	c.Assert(cfg.Policy.RetryBudget, qt.Equals, DefaultPolicy().RetryBudget, qt.Commentf("null brings the default back"))
	c.Assert(cfg.Policy.HedgeBudget, qt.Equals, 0.0)
	c.Assert(cfg.Teams, qt.DeepEquals, map[string]Team{"b": {Weight: 2}})
	c.Assert(cfg.Limits, qt.Equals, DefaultLimits())
}

func TestLoadSetFindsSitesStatedTwice(t *testing.T) {
	c := qt.New(t)
	base, kura := readExample(c, "base.json"), readExample(c, "kura/site.json")
	set, findings := LoadSet(base, []File{kura, readExample(c, "hivatal/site.json")})
	c.Assert(findings, qt.HasLen, 0)
	c.Assert(set.Sites, qt.HasLen, 2)

	_, findings = LoadSet(base, []File{kura, kura})
	c.Assert(findings, qt.HasLen, 1)
	c.Assert(findings[0].Problem, qt.Contains, "the same site")
}
