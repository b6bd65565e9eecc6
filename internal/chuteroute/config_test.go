package chuteroute

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func site() Config {
	return Config{Pipelines: []Pipeline{
		{Name: "wide", Host: "a.example", Prefix: "/x/"},
		{Name: "narrow", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}}.WithIndex()
}

func expectMatch(c *qt.C, host, path, want string) {
	c.Helper()
	got, ok := site().Match(host, path)
	c.Assert(ok, qt.Equals, want != "")
	c.Assert(got.Name, qt.Equals, want)
}

func TestMatch(t *testing.T) {
	t.Run("the longest prefix of the host wins", func(t *testing.T) {
		c := qt.New(t)
		expectMatch(c, "a.example", "/x/1", "wide")
		expectMatch(c, "a.example", "/x/y/1", "narrow")
		expectMatch(c, "b.example", "/x/y/1", "other")
	})

	t.Run("a port and the case of the host do not matter", func(t *testing.T) {
		expectMatch(qt.New(t), "A.Example:8080", "/x/1", "wide")
	})

	t.Run("nothing matches beside the prefixes", func(t *testing.T) {
		c := qt.New(t)
		expectMatch(c, "a.example", "/x", "")
		expectMatch(c, "c.example", "/x/1", "")
	})
}

func TestTarget(t *testing.T) {
	t.Run("pools share requests by weight", func(t *testing.T) {
		c := qt.New(t)
		p := Pipeline{Targets: []Target{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
		c.Assert(p.Target(0), qt.Equals, "a")
		c.Assert(p.Target(0.89), qt.Equals, "a")
		c.Assert(p.Target(0.91), qt.Equals, "b")
	})

	t.Run("a weight of 0 gets nothing", func(t *testing.T) {
		c := qt.New(t)
		p := Pipeline{Targets: []Target{{Pool: "a", Weight: 0}, {Pool: "b", Weight: 1}}}
		c.Assert(p.Target(0), qt.Equals, "b")
	})
}

func TestLeaves(t *testing.T) {
	c := qt.New(t)
	p := Pipeline{Stages: []Stage{{}, {}, {After: []int{1}}, {After: []int{2}}}}
	c.Assert(p.Leaves(), qt.DeepEquals, []int{0, 3})
}

// BenchmarkMatch has one host with many pipelines, as a configuration that has grown.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		var cfg Config
		for i := range n {
			cfg.Pipelines = append(cfg.Pipelines, Pipeline{Name: fmt.Sprint("p", i), Host: "h.example", Prefix: fmt.Sprint("/p", i, "/")})
		}
		cfg = cfg.WithIndex()
		b.Run(fmt.Sprint(n, " pipelines"), func(b *testing.B) {
			for b.Loop() {
				if _, ok := cfg.Match("h.example", "/p7/x/y"); !ok {
					b.Fatal("no pipeline matches")
				}
			}
		})
	}
}
